#include <toucanmill/cluster/command.hpp>

#include <CppUTest/TestHarness.h>

#include "test_support.hpp"

using namespace toucanmill;
using namespace toucanmill::support;

namespace
{

// kj allocates its root exception callback on the first exception and never
// frees it. CppUTest would report that as a leak in the first test that throws.
const bool root_callback_allocated =
    decode_command(std::string(8, '\xff')).has_error();

std::vector<command> sample_commands()
{
  const claim_key key{service_id{3}, std::string("k\0ey", 4)};
  return {
      operator_request{
          "id", 4, create_service{"s", address_of(1), service_kind::http, 64},
          99},
      operator_request{"id", 4, change_service{"s", address_of(2)}, 99},
      operator_request{"id", 4, delete_service{"s"}, 99},
      operator_request{"id", 4, drain_node{"n"}, 99},
      operator_request{"id", 4, restore_node{"n"}, 99},
      operator_request{"id", 4, retire_node{"n"}, 99},
      operator_request{"id", 4, evacuate_data_centre{"d"}, 99},
      operator_request{"id", 4, restore_data_centre{"d"}, 99},
      register_node{agent(1, "s")},
      set_node_state{node_id{1}, incarnation{2}, node_state::suspect},
      release_buckets{node_id{1}, incarnation{2}, 77, {1, 2, 65535}},
      rebalance{"s", {{node_id{1}, 250}, {node_id{2}, 4000}}, {3, 9}},
      claim_request{key, claim_id{8}, {1, 2, 3}, 99},
      claim_completion{key, claim_id{8}, std::string("a\0b", 3)},
      claim_release{key, claim_id{8}},
      set_evacuation{"d", true, 99},
      set_evacuation{"d", false, 99},
      raise_version{2},
      declare_configuration{{}, 77},
  };
}

} // namespace

TEST_GROUP(codec){};

// Guards against a settled index that is higher than the one that was written.
TEST(codec, settled_index_beyond_its_field_is_lowered)
{
  const auto read_back = [](std::uint64_t index)
  {
    const auto decoded =
        decode_command(encode(declare_configuration{{}, index}));
    return std::get<declare_configuration>(decoded.value()).settled_index;
  };
  CHECK_EQUAL(77U, read_back(77));
  CHECK_EQUAL(0xFFFFFFFFU, read_back(0x1'0000'0005));
}

// Guards against a field that one instance writes to the log and another does
// not read back.
TEST(codec, commands_round_trip)
{
  for (const auto& value : sample_commands())
  {
    const auto bytes = encode(value);
    const auto decoded = decode_command(bytes);
    CHECK_TRUE(decoded.has_value());
    CHECK_EQUAL(value.index(), decoded.value().index());
    CHECK_TRUE(encode(decoded.value()) == bytes);
  }
  const auto decoded = decode_command(encode(sample_commands()[11]));
  const auto& step = std::get<rebalance>(decoded.value());
  STRCMP_EQUAL("s", step.service.c_str());
  CHECK_EQUAL(4000U, step.weights[1].per_mille);
  CHECK_TRUE(step.idle == (std::vector<std::uint16_t>{3, 9}));
}

// Guards against an outcome that is altered on its way from control to the
// operator.
TEST(codec, outcomes_round_trip)
{
  const std::vector<command_outcome> outcomes{
      no_outcome{},
      change_outcome{false, error_code::version_conflict, "why", 6, 0},
      claim_outcome{claim_verdict::completed, std::string("a\0b", 3)}};
  for (const auto& value : outcomes)
  {
    const auto decoded = decode_command_outcome(encode(value));
    CHECK_TRUE(decoded.has_value());
    CHECK_TRUE(encode(decoded.value()) == encode(value));
  }
}

// Guards against a crash or wrong state caused by a damaged log entry or
// snapshot when the checksum does not detect the damage.
TEST(codec, damaged_bytes_do_not_crash)
{
  CHECK_TRUE(root_callback_allocated);
  state_machine_fixture control;
  control.change(create_service{"s", address_of(1), {}, 16});
  control.apply(register_node{agent(1, "s")});
  control.claim("k", 1);
  control.apply(set_evacuation{"spata", true, 1});
  const auto snapshot = control.state.snapshot();
  for (std::size_t i = 0; i < snapshot.size(); ++i)
  {
    auto damaged = snapshot;
    damaged[i] = static_cast<char>(damaged[i] ^ 0x55);
    (void)state_machine::restore(damaged);
    (void)decode_command(damaged);
  }
  CHECK_TRUE(state_machine::restore("").has_error());
  CHECK_TRUE(state_machine::restore(snapshot.substr(0, 64)).has_error());
  CHECK_TRUE(decode_command(snapshot.substr(0, 13)).has_error());
}
