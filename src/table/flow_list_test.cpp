#include <toucanmill/table/flow_list.hpp>

#include <CppUTest/TestHarness.h>

using namespace toucanmill;

namespace
{

flow_list list_of(std::size_t flows)
{
  flow_list list{{0xFEDCBA9876543210, 1'780'000'000'123}, {}};
  for (std::uint16_t i = 0; i < flows; ++i)
    list.flows.push_back(
        {{{{0x64400007}, i}, {{0xC6120001}, 443}}, 0xFFFFFF00U + i});
  return list;
}

} // namespace

TEST_GROUP(flow_list){};

// Guards against flows of which a field is lost between two processes.
TEST(flow_list, list_is_the_same_after_decoding)
{
  for (const std::size_t flows : {0U, 1U, 300U})
    CHECK_TRUE(decode_flow_list(encode(list_of(flows))).value() ==
               list_of(flows));
}

// Guards against a last list that loses its number, and against another list
// that is taken for one.
TEST(flow_list, last_list_is_the_same_after_decoding)
{
  for (const std::size_t flows : {0U, 1U, 300U, 4095U})
  {
    auto list = list_of(flows);
    const auto octets = encode(list).size();
    list.last_announcement = 0x0102030405060708;
    CHECK_TRUE(decode_flow_list(encode(list)).value() == list);
    CHECK_EQUAL(octets + 8, encode(list).size());
  }
}

// Guards against a last list of which flows were left out.
TEST(flow_list, list_without_room_for_all_flows_is_no_last_one)
{
  auto list = list_of(4096);
  list.last_announcement = 7;
  const auto bytes = encode(list);
  CHECK_EQUAL(max_flow_list_octets, bytes.size());
  CHECK_EQUAL(0U, decode_flow_list(bytes).value().last_announcement);
}

// Guards against a list that the receiver would refuse whole.
TEST(flow_list, flows_beyond_the_limit_are_left_out)
{
  const auto bytes = encode(list_of(5000));
  CHECK_EQUAL(max_flow_list_octets, bytes.size());
  CHECK_EQUAL(4096U, decode_flow_list(bytes).value().flows.size());
}

// Guards against flows read from a truncated list, or from one of a later
// format.
TEST(flow_list, invalid_octets_are_refused)
{
  const auto bytes = encode(list_of(2));
  for (std::size_t size = 0; size < bytes.size(); ++size)
    if (size != 20 && size != 36)
      CHECK_TRUE(decode_flow_list(bytes.substr(0, size)).has_error());
  auto later = bytes;
  later[3] = 3;
  CHECK_TRUE(decode_flow_list(later).has_error());
  auto last = list_of(2);
  last.last_announcement = 7;
  const auto last_bytes = encode(last);
  for (std::size_t size = 0; size < last_bytes.size(); ++size)
    if (size != 28 && size != 44)
      CHECK_TRUE(decode_flow_list(last_bytes.substr(0, size)).has_error());
}
