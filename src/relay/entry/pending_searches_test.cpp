#include "pending_searches.hpp"

#include <CppUTest/TestHarness.h>

#include "../relay_fixture_test.hpp"

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
  pending_searches pending{{2, 100, 3, 2}};
};

// Guards against callers' retransmissions that start searches beyond the limit
// and keep a full link full: their flows waited for their turn.
TEST(pending_searches, further_packet_of_a_waiting_flow_waits_too)
{
  pending_searches searches{{4, 100, 3, 2}};
  searches.hold(flow(1), packet);
  CHECK_FALSE(searches.must_wait(flow(3)));
  searches.hold(flow(2), packet);
  CHECK_TRUE(searches.must_wait(flow(3)));
  CHECK_TRUE(searches.wait(flow(3), packet));
  CHECK_TRUE(searches.must_wait(flow(3)));
  CHECK_FALSE(searches.must_wait(flow(2)));
}

// Guards against a packet that is lost at a dead agent and not sent again until
// the caller retransmits.
TEST(pending_searches, overdue_packet_is_returned)
{
  pending.hold(flow(1), packet);
  CHECK_TRUE(pending.take_due(all(search_progress::waiting)).empty());
  const auto due = pending.take_due(all(search_progress::overdue));
  CHECK_EQUAL(1U, due.size());
  CHECK_EQUAL(packet.size, due[0].size());
}

// Guards against packets that are sent for a flow that was already found, and
// against endless repetition for one that nobody holds.
TEST(pending_searches, ended_or_often_repeated_search_is_dropped)
{
  pending.hold(flow(1), packet);
  CHECK_TRUE(pending.take_due(all(search_progress::ended)).empty());
  CHECK_TRUE(pending.empty());
  pending.hold(flow(1), packet);
  for (int i = 0; i < 3; ++i)
    CHECK_EQUAL(1U, pending.take_due(all(search_progress::overdue)).size());
  CHECK_TRUE(pending.take_due(all(search_progress::overdue)).empty());
  CHECK_TRUE(pending.empty());
  CHECK_EQUAL(0U, pending.octets());
}

// Guards against a search that is given up because many of its questions were
// lost and repeated.
TEST(pending_searches, repeated_questions_are_no_retries)
{
  pending.hold(flow(1), packet);
  for (int i = 0; i < 10; ++i)
    CHECK_EQUAL(1U, pending.take_due(all(search_progress::repeats)).size());
  CHECK_EQUAL(1U, pending.take_due(all(search_progress::overdue)).size());
}

// Guards against unbounded memory when a balancer restarts and searches for all
// of its flows.
TEST(pending_searches, number_of_flows_is_bounded)
{
  for (std::uint16_t port = 1; port <= 5; ++port)
    pending.hold(flow(port), packet);
  CHECK_EQUAL(2U, pending.take_due(all(search_progress::overdue)).size());
}

// Guards against unbounded memory when callers send much on a flow that is not
// found.
TEST(pending_searches, octets_are_bounded)
{
  pending.hold(flow(1), packet);
  std::size_t kept = 0;
  for (int i = 0; i < 100; ++i)
    kept += pending.wait(flow(1), packet) ? 1 : 0;
  CHECK_EQUAL(32U, kept);
  CHECK_EQUAL(99U, pending.octets());
}

// Guards against a request whose later packets are lost: they arrive while the
// first one searches for the flow.
TEST(pending_searches, waiting_packets_follow_in_order_once_the_flow_is_found)
{
  pending.hold(flow(1), packet);
  constexpr std::uint8_t second[] = {4};
  constexpr std::uint8_t third[] = {5};
  pending.wait(flow(1), {second, 1});
  pending.wait(flow(1), {third, 1});
  const auto waiting = pending.take_waiting(flow(1));
  CHECK_EQUAL(2U, waiting.size());
  CHECK_EQUAL(4, waiting[0][0]);
  CHECK_EQUAL(5, waiting[1][0]);
  CHECK_TRUE(pending.empty());
  CHECK_EQUAL(0U, pending.octets());
}

// Guards against a request of several packets that is never answered: its
// upstream sends nothing before it has them all, so the agent, which has
// restarted, cannot report the flow.
TEST(pending_searches, packets_of_a_flow_take_turns_in_its_attempts)
{
  pending.hold(flow(1), packet);
  constexpr std::uint8_t second[] = {4};
  pending.wait(flow(1), {second, 1});
  const auto due = pending.take_due(all(search_progress::overdue));
  CHECK_EQUAL(1U, due.size());
  CHECK_EQUAL(4, due[0][0]);
  // The first packet may have been lost, so it waits.
  CHECK_EQUAL(1, pending.take_waiting(flow(1)).at(0)[0]);
}

// Guards against packets of a flow that was reset being sent to agents.
TEST(pending_searches, dropped_flow_leaves_nothing)
{
  pending.hold(flow(1), packet);
  pending.wait(flow(1), packet);
  pending.drop(flow(1));
  CHECK_TRUE(pending.empty());
  CHECK_EQUAL(0U, pending.octets());
}

// Guards against searches for all flows at once after a loss of power: they
// fill the link, answers come late, and each search is repeated.
TEST(pending_searches, flows_are_searched_for_in_turn)
{
  pending_searches few({100, 10'000, 3, 2});
  few.hold(flow(1), packet);
  few.hold(flow(2), packet);
  CHECK_TRUE(few.is_full());
  for (std::uint8_t i = 3; i <= 5; ++i)
    few.wait(flow(i), {&i, 1});
  CHECK_TRUE(few.take_due(all(search_progress::waiting)).empty());
  few.drop(flow(1));
  auto due = few.take_due(all(search_progress::waiting));
  CHECK_EQUAL(1U, due.size());
  CHECK_EQUAL(3, due[0][0]);
  few.take_all(flow(2));
  few.take_all(flow(3));
  due = few.take_due(all(search_progress::waiting));
  CHECK_EQUAL(2U, due.size());
  CHECK_EQUAL(4, due[0][0]);
  CHECK_EQUAL(5, due[1][0]);
}

// Guards against a read of a packet that was given up while it was handled: a
// reset drops the flow before the decision is logged.
TEST(pending_searches, sent_packet_outlives_its_flow)
{
  pending.hold(flow(1), packet);
  const auto sent = pending.sent_packet(flow(1));
  pending.drop(flow(1));
  CHECK_EQUAL(packet.size, sent.size());
  CHECK_EQUAL(1, sent[0]);
  CHECK_TRUE(pending.sent_packet(flow(1)).empty());
}
