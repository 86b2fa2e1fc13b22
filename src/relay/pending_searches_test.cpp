#include "pending_searches.hpp"

#include <CppUTest/TestHarness.h>

#include "relay_fixture_test.hpp"

using namespace toucanmill;
using namespace toucanmill::relay_test;

namespace
{

constexpr std::uint8_t content[] = {1, 2, 3};
constexpr byte_view packet{content, sizeof content};

flow_key flow(std::uint16_t port)
{
  return data(port).from_caller();
}

/// Says the same of every flow.
auto all(search_progress progress)
{
  return [progress](const flow_key&)
  {
    return progress;
  };
}

} // namespace

TEST_GROUP(pending_searches)
{
  pending_searches pending{{2, 3}};
};

// Guards against a packet that is lost at a dead agent and not sent again until
// the caller retransmits.
TEST(pending_searches, overdue_packet_is_returned)
{
  pending.hold(flow(1), packet, 0);
  CHECK_TRUE(pending.take_overdue(all(search_progress::waiting)).empty());
  const auto due = pending.take_overdue(all(search_progress::overdue));
  CHECK_EQUAL(1U, due.size());
  CHECK_EQUAL(packet.size, due[0].bytes.size());
  CHECK_TRUE(pending.empty());
}

// Guards against packets that are sent for a flow that was already found, and
// against endless repetition for one that nobody holds.
TEST(pending_searches, ended_or_often_repeated_search_is_dropped)
{
  pending.hold(flow(1), packet, 0);
  CHECK_TRUE(pending.take_overdue(all(search_progress::ended)).empty());
  CHECK_TRUE(pending.empty());
  pending.hold(flow(1), packet, 3);
  CHECK_TRUE(pending.take_overdue(all(search_progress::overdue)).empty());
  CHECK_TRUE(pending.empty());
}

// Guards against unbounded memory when a balancer restarts and searches for all
// of its flows.
TEST(pending_searches, number_of_packets_is_bounded)
{
  for (std::uint16_t port = 1; port <= 5; ++port)
    pending.hold(flow(port), packet, 0);
  CHECK_EQUAL(2U, pending.take_overdue(all(search_progress::overdue)).size());
}
