#include <toucanmill/relay/returned_flows.hpp>

#include <CppUTest/TestHarness.h>

using namespace toucanmill;

namespace
{

flow_key flow(std::uint16_t port)
{
  return {{{0x64400007}, port}, {{0xC6120001}, 443}};
}

} // namespace

TEST_GROUP(returned_flows)
{
  returned_flows flows{3};
};

// Guards against memory that grows with each search after a loss of power, and
// against eviction of the flows that are searched for now.
TEST(returned_flows, oldest_flow_is_evicted_when_it_is_full)
{
  for (std::uint16_t port = 1; port <= 4; ++port)
    flows.add(flow(port));
  CHECK_EQUAL(3U, flows.size());
  CHECK_FALSE(flows.contains(flow(1)));
  for (std::uint16_t port = 2; port <= 4; ++port)
    CHECK_TRUE(flows.contains(flow(port)));
  flows.add(flow(5));
  CHECK_FALSE(flows.contains(flow(2)));
}

// Guards against a flow that takes several places and evicts the others, since
// its upstream returns each packet of it.
TEST(returned_flows, flow_that_is_returned_again_takes_one_place)
{
  flows.add(flow(1));
  for (int i = 0; i < 5; ++i)
    flows.add(flow(2));
  CHECK_TRUE(flows.contains(flow(1)));
  CHECK_EQUAL(2U, flows.size());
}

// Guards against the denial of a flow that was opened after it had been
// returned, and against an eviction that hits the wrong flow because of it.
TEST(returned_flows, erased_flow_can_be_added_again)
{
  flows.add(flow(1));
  flows.erase(flow(1));
  CHECK_FALSE(flows.contains(flow(1)));
  flows.add(flow(2));
  flows.add(flow(1));
  // Takes the first place, which flow 1 had before.
  flows.add(flow(3));
  for (std::uint16_t port = 1; port <= 3; ++port)
    CHECK_TRUE(flows.contains(flow(port)));
  flows.add(flow(4));
  CHECK_FALSE(flows.contains(flow(2)));
  CHECK_TRUE(flows.contains(flow(1)));
}

// Guards against the denial of flows that an upstream opened after it started
// again.
TEST(returned_flows, cleared_memory_contains_no_flow_and_can_be_filled)
{
  for (std::uint16_t port = 1; port <= 4; ++port)
    flows.add(flow(port));
  flows.clear();
  CHECK_EQUAL(0U, flows.size());
  for (std::uint16_t port = 1; port <= 4; ++port)
    flows.add(flow(port));
  CHECK_EQUAL(3U, flows.size());
  CHECK_FALSE(flows.contains(flow(1)));
}
