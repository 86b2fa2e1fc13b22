#include <CppUTest/TestHarness.h>

#include "../base/recorded_octets_test.hpp"
#include "cluster_samples_test.hpp"

using namespace toucanmill;
using namespace toucanmill::support;

namespace
{

const std::string earlier_build = "faf1efe";

template <class Root>
auto decode_wire(const std::string& octets)
{
  using value =
      decltype(wire::read(std::declval<typename Root::Reader>()).value());
  return detail::deserialize<Root, std::decay_t<value>>(
      octets,
      [](typename Root::Reader from)
      {
        return wire::read(from);
      });
}

} // namespace

TEST_GROUP(cluster_compatibility){};

// Guards against replicas of two builds that apply an entry in different ways.
TEST(cluster_compatibility, log_of_the_earlier_build_gives_its_state)
{
  const auto recorded = test::recorded_octets("cluster", earlier_build);
  state_machine_fixture control;
  for (std::size_t i = 0; i < sample_log().size(); ++i)
  {
    const auto decoded = decode_command(recorded.at(numbered("log_", i)));
    CHECK_TRUE(decoded.has_value());
    const auto outcome = encode(control.apply(decoded.value()));
    const auto name = numbered("outcome_", i);
    CHECK_TRUE_TEXT(outcome == recorded.at(name), name.c_str());
  }
  CHECK_TRUE(control.state.snapshot() == recorded.at("snapshot"));
}

// Guards against a snapshot that loses part of the state in an upgrade.
TEST(cluster_compatibility, snapshot_of_the_earlier_build_is_read)
{
  const auto recorded = test::recorded_octets("cluster", earlier_build);
  const auto restored = state_machine::restore(recorded.at("snapshot"));
  CHECK_TRUE(restored.has_value());
  CHECK_TRUE(restored.value().snapshot() == recorded.at("snapshot"));
}

// Guards against nodes and control instances of different builds that
// misunderstand each other.
TEST(cluster_compatibility, reports_and_updates_of_the_earlier_build_are_read)
{
  const auto recorded = test::recorded_octets("cluster", earlier_build);
  const auto report = decode_wire<schema::NodeReport>(recorded.at("report"));
  CHECK_TRUE(report.value() == sample_report());
  for (const auto& [name, octets] : recorded)
  {
    if (name.compare(0, 7, "update_") != 0)
      continue;
    const auto update = decode_wire<schema::TableUpdate>(octets);
    CHECK_TRUE_TEXT(update.has_value(), name.c_str());
    CHECK_TRUE_TEXT(encode_wire<schema::TableUpdate>(update.value()) == octets,
                    name.c_str());
  }
}

// Guards against entries, snapshots and messages that an earlier build cannot
// read.
TEST(cluster_compatibility, octets_are_written_as_by_the_earlier_build)
{
  const auto recorded = test::recorded_octets("cluster", earlier_build);
  STRCMP_EQUAL("", test::differences(recorded, encoded_samples()).c_str());
}
