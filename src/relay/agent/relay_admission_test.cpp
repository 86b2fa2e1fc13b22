#include "relay_admission_fixture_test.hpp"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace toucanmill;
using namespace toucanmill::relay_test;

TEST_GROUP(relay_admission)
{
  agent tested;
};

// Guards against requests on open flows that a full upstream answers with "not
// run" although a slot is free a moment later.
TEST(relay_admission, requests_beyond_the_capacity_wait_for_a_response)
{
  tested.load(6);
  CHECK_EQUAL(capacity, tested.status().busy);
  CHECK_EQUAL(2U, tested.status().held_requests);
  const auto before = tested.sink.delivered.size();
  tested.answer_to(data(1), start + 30ms);
  CHECK_EQUAL(before + 1, tested.sink.delivered.size());
  CHECK_EQUAL(1U, tested.status().held_requests);
  // The end of a flow frees its place, too.
  auto reset = data(2);
  reset.resets = true;
  tested.answer_to(reset, start + 40ms);
  CHECK_EQUAL(0U, tested.status().held_requests);
  CHECK_EQUAL(capacity, tested.status().busy);
  CHECK_TRUE(tested.sink.timings.back() ==
             std::make_pair(relay_timing::held, duration(40ms)));
}

// Guards against the new mode taking effect where it is not asked for (R8).
TEST(relay_admission, nothing_waits_in_mode_slots)
{
  agent slots(admission_mode::slots);
  slots.load(6);
  CHECK_EQUAL(6U, slots.status().busy);
  CHECK_EQUAL(0U, slots.status().held_requests);
  CHECK_EQUAL(0U, slots.take(opening(7), start));
  CHECK_TRUE(slots.last_header().kind == relay_kind::missed);
  CHECK_EQUAL(no_stop, slots.last_header().best_stop);
  CHECK_EQUAL(0U, slots.status().held_openings);
}

// Guards against acknowledgements that wait behind a request, and against a
// caller whose retransmission of a request that the upstream lost is held.
TEST(relay_admission, what_starts_no_request_passes_at_once)
{
  tested.load(6);
  auto acknowledgement = data(6);
  acknowledgement.payload_size = 0;
  CHECK_EQUAL(1U, tested.take(acknowledgement, start));
  CHECK_EQUAL(1U, tested.take(data(1), start));         // passed on before
  CHECK_EQUAL(1U, tested.take(data_at(1, 100), start)); // same request goes on
  CHECK_EQUAL(1U, tested.take(data(99), start - 1ms) +
                      tested.count_of(relay_event::not_held));
  CHECK_EQUAL(2U, tested.status().held_requests);
}

// Guards against a retransmission of a finished request that counts as another
// request, and takes the place of one until the flow ends.
TEST(relay_admission, late_retransmission_of_an_answered_request_counts_nothing)
{
  tested.load(1);
  tested.answer_to(data(1), start + 10ms);
  CHECK_EQUAL(1U, tested.take(data(1), start + 20ms));
  CHECK_EQUAL(0U, tested.status().busy);
  tested.take(data_at(1, 100), start + 30ms);
  CHECK_EQUAL(1U, tested.status().busy);
}

// Guards against an open flow that is reset, or a request that reaches the
// upstream after its caller has given up.
TEST(relay_admission, request_past_its_limit_is_dropped_without_an_answer)
{
  agent tested(admission_mode::objectives, 3000); // nothing is overdue before
  tested.load(6);
  const auto before = tested.sink.delivered.size();
  tested.core.serve_held(start + 2979ms, tested.sink);
  CHECK_EQUAL(2U, tested.status().held_requests);
  tested.core.serve_held(start + 2980ms, tested.sink);
  CHECK_EQUAL(0U, tested.status().held_requests);
  CHECK_EQUAL(0U, tested.status().held_data);
  CHECK_EQUAL(2U, tested.count_of(relay_event::request_expired));
  CHECK_TRUE(tested.sink.resets.empty());
  tested.answer_to(data(1), start + 2990ms);
  // A retransmission that was under way.
  CHECK_EQUAL(0U, tested.take(data(6), start + 3100ms));
  CHECK_EQUAL(before, tested.sink.delivered.size());
  CHECK_EQUAL(1U, tested.take(data_at(6, 100), start + 3100ms));
}

// Guards against an upstream that hangs and holds up all requests behind it for
// as long as its flows exist.
TEST(relay_admission, overdue_requests_do_not_count)
{
  tested.load(4);
  tested.core.on_tick(start + 3001ms, tested.sink);
  CHECK_EQUAL(1U, tested.take(data(5), start + 3001ms) +
                      tested.count_of(relay_event::not_held));
  tested.open_flows(6, start + 4000ms);
  CHECK_EQUAL(1U, tested.take(data(6), start + 4000ms));
  // A late response does not count twice.
  tested.answer_to(data(1), start + 4100ms);
  CHECK_EQUAL(4U, tested.status().busy);
}

// Guards against requests that wait for as long as callers do behind one that
// the upstream does not answer.
TEST(relay_admission, unanswered_request_counts_for_its_objective_only)
{
  tested.load(5);
  CHECK_EQUAL(1U, tested.status().held_requests);
  const auto before = tested.sink.delivered.size();
  tested.core.serve_held(start + 200ms, tested.sink);
  CHECK_EQUAL(before, tested.sink.delivered.size());
  tested.core.serve_held(start + 201ms, tested.sink);
  CHECK_EQUAL(before + 1, tested.sink.delivered.size());
}

// Guards against a late copy of a request that an earlier process of this agent
// had passed on: it got no response and counted as in progress for seconds,
// during which the upstream stood idle (seen after all agents were killed).
TEST(relay_admission, late_copy_of_an_answered_request_does_not_count)
{
  auto response = answer(data(7));
  response.acknowledges = true;
  response.acknowledged = data(7).sequence + data(7).payload_size;
  tested.core.on_upstream_packet({}, response, start, tested.sink);
  CHECK_EQUAL(1U, tested.take(data(7), start + 80ms));
  CHECK_EQUAL(0U, tested.status().busy);
  CHECK_EQUAL(1U, tested.take(data_at(7, 100), start + 90ms));
  CHECK_EQUAL(1U, tested.status().busy);
}

// Guards against an agent that lets through what has been waiting while the
// process was paused.
TEST(relay_admission, agent_paused_for_seconds_drops_before_it_admits)
{
  tested.load(40);
  tested.take(opening(50), start);
  CHECK_EQUAL(1U, tested.status().held_openings);
  const auto before = tested.sink.delivered.size();
  tested.core.announce(announcement(2), 1, start + 5s, tested.sink);
  tested.answer_to(data(1), start + 5s);
  CHECK_EQUAL(before, tested.sink.delivered.size());
  CHECK_EQUAL(36U, tested.count_of(relay_event::request_expired));
  CHECK_EQUAL(1U, tested.count_of(relay_event::opening_expired));
}

// Guards against a reset of a caller that the upstream could serve a moment
// later, and against a balancer that gives the packet to another agent.
TEST(relay_admission, opening_packet_is_held_and_admitted_later)
{
  tested.load(30);
  tested.sink.messages.clear();
  CHECK_EQUAL(0U, tested.take(opening(50), start));
  CHECK_EQUAL(1U, tested.status().held_openings);
  CHECK_EQUAL(1U, tested.sink.messages.size());
  CHECK_TRUE(tested.last_header().kind == relay_kind::found);
  // A copy is merged, and its balancer is told.
  auto copy = visit();
  copy.header.balancer = other_balancer;
  CHECK_EQUAL(0U, tested.take(opening(50, 1), start + 50ms, copy));
  CHECK_EQUAL(1U, tested.status().held_openings);
  CHECK_TRUE(tested.sink.messages.back().to == other_balancer);
  CHECK_TRUE(tested.last_header().kind == relay_kind::found);
  for (std::uint16_t port = 1; port <= 30; ++port)
    tested.answer_to(data(port), start + 60ms + port * 1ms);
  CHECK_EQUAL(0U, tested.status().held_openings);
  const auto before = tested.sink.delivered.size();
  tested.accept(50, start + 100ms);
  CHECK_EQUAL(1U, tested.take(data(50), start + 100ms));
  CHECK_EQUAL(before + 1, tested.sink.delivered.size());
}

// Guards against a caller that waits for an agent without hearing of it, and a
// refusal that goes to another balancer than the visit's.
TEST(relay_admission, held_opening_packet_is_dropped_when_its_time_is_up)
{
  tested.load(250); // a backlog of 2.5 s
  tested.take(opening(400), start);
  const auto before = tested.sink.messages.size();
  tested.core.serve_held(start + 999ms, tested.sink);
  CHECK_EQUAL(1U, tested.status().held_openings);
  tested.core.serve_held(start + 1000ms, tested.sink);
  CHECK_EQUAL(0U, tested.status().held_openings);
  // Its balancer would reset the flow, of which a copy may be open elsewhere
  // (fault soak, seed 356).
  CHECK_EQUAL(before, tested.sink.messages.size());
  CHECK_TRUE(tested.sink.decisions.back().event ==
             relay_event::opening_expired);
  CHECK_TRUE(tested.sink.decisions.back().waited == duration(1000ms));
}

// Guards against a refusal of what can be served in the time left: the caller
// comes back and competes with new ones.
TEST(relay_admission, held_opening_packet_is_admitted_at_the_end_of_its_hold)
{
  tested.load(30);
  tested.take(opening(50), start);
  const auto before = tested.sink.delivered.size();
  tested.core.serve_held(start + 1000ms, tested.sink);
  CHECK_EQUAL(before + 1, tested.sink.delivered.size());
  CHECK_EQUAL(0U, tested.status().held_openings);
}

// Guards against a flow that was held and whose request then ranks as if its
// caller had only begun to wait.
TEST(relay_admission, time_of_the_first_request_counts_from_the_opening_packet)
{
  agent tested(admission_mode::objectives, 3000); // nothing is overdue before
  tested.load(30);
  tested.take(opening(50), start + 100ms);
  for (std::uint16_t port = 1; port <= 27; ++port)
    tested.answer_to(data(port), start + 150ms);
  tested.accept(50, start + 150ms);
  tested.open_flows(2, start + 150ms); // two more requests fill the upstream
  tested.take(data_at(1, 100), start + 151ms);
  CHECK_EQUAL(0U, tested.take(data(50), start + 152ms));
  CHECK_EQUAL(0U, tested.take(data_at(2, 100), start + 152ms));
  // A request must start its measured service time before the limit of 3 s.
  tested.core.serve_held(start + 3000ms, tested.sink);
  CHECK_EQUAL(2U, tested.status().held_requests);
  tested.core.serve_held(start + 3100ms, tested.sink);
  CHECK_EQUAL(1U, tested.status().held_requests);
  tested.core.serve_held(start + 3152ms, tested.sink);
  CHECK_EQUAL(0U, tested.status().held_requests);
}

// Guards against new flows that reach an upstream after it was evacuated, began
// to drain or ended, because they had been waiting.
TEST(relay_admission, held_packets_are_returned_when_no_new_flows_are_admitted)
{
  const std::array<void (*)(agent&), 4> changes = {
      [](agent& of)
      {
        of.core.set_evacuated(true);
      },
      [](agent& of)
      {
        auto draining = announcement(2);
        draining.draining = true;
        of.core.announce(draining, 1, start, of.sink);
      },
      [](agent& of)
      {
        of.core.set_stopping();
      },
      [](agent& of)
      {
        of.core.leave("i-1", start, of.sink);
      }};
  for (const auto change : changes)
  {
    agent one;
    one.load(30);
    one.take(opening(50), start);
    one.take(opening(51), start);
    const auto before = one.sink.delivered.size();
    change(one);
    one.core.serve_held(start + 20ms, one.sink);
    CHECK_EQUAL(before, one.sink.delivered.size());
    CHECK_EQUAL(0U, one.status().held_openings);
    CHECK_EQUAL(2U, one.count_of(relay_event::opening_returned));
    CHECK_TRUE(one.last_header().kind == relay_kind::missed);
  }
}

// Guards against a held flow that is admitted on a route that was moved.
TEST(relay_admission, held_packet_of_a_replaced_route_is_returned)
{
  tested.load(30);
  tested.take(opening(50), start);
  tested.core.set_configuration(routes_to(8, {{"other", 1}}));
  for (std::uint16_t port = 1; port <= 30; ++port)
    tested.answer_to(data(port), start + 50ms);
  CHECK_EQUAL(0U, tested.status().held_openings);
  CHECK_TRUE(
      std::any_of(tested.sink.messages.begin(), tested.sink.messages.end(),
                  [](const recording_sink::sent& sent)
                  {
                    return sent.header.kind == relay_kind::missed &&
                           sent.header.reason == miss_reason::route_replaced;
                  }));
}

// Guards against requests that are run although their caller has ended the
// flow.
TEST(relay_admission, reset_by_the_caller_drops_its_held_request)
{
  tested.load(5);
  auto reset = data(5);
  reset.resets = true;
  reset.payload_size = 0;
  CHECK_EQUAL(1U, tested.take(reset, start));
  CHECK_EQUAL(0U, tested.status().held_requests);
  const auto before = tested.sink.delivered.size();
  tested.answer_to(data(1), start + 10ms);
  CHECK_EQUAL(before, tested.sink.delivered.size());
}

// Guards against a burst of opening packets that are all admitted since none of
// their requests has arrived yet, and against flows that never send one.
TEST(relay_admission, admitted_flows_count_until_their_request_is_overdue)
{
  const auto admitted_at = [&](time_point now, std::uint16_t first)
  {
    std::size_t count = 0;
    for (std::uint16_t port = first; port < first + 40; ++port)
    {
      count += tested.take(opening(port), now, visit(2));
      tested.accept(port, now);
    }
    return count;
  };
  // Six requests ahead are 50 ms, a quarter of the objective.
  CHECK_EQUAL(7U, admitted_at(start, 100));
  CHECK_EQUAL(0U, admitted_at(start + 99ms, 200));
  CHECK_EQUAL(7U, admitted_at(start + 100ms, 300));
}

// Guards against a new flow of a cold upstream that is refused although it can
// have a token soon, and against one without a token.
TEST(relay_admission, final_stop_of_a_cold_upstream_holds_until_a_token)
{
  tested.core.set_warm_up_rate(2'000);
  auto cold = announcement(2);
  cold.cold_left = 10s;
  tested.core.announce(cold, 1, start, tested.sink);
  CHECK_EQUAL(0U, tested.take(opening(1), start));
  CHECK_EQUAL(1U, tested.status().held_openings);
  const auto before = tested.sink.delivered.size();
  tested.core.serve_held(start + 400ms, tested.sink);
  CHECK_EQUAL(before, tested.sink.delivered.size());
  tested.core.serve_held(start + 500ms, tested.sink);
  CHECK_EQUAL(before + 1, tested.sink.delivered.size());
}

// Guards against an agent that holds up an open flow for want of memory.
TEST(relay_admission, request_that_finds_no_memory_goes_on_at_once)
{
  auto chosen = options(admission_mode::objectives);
  chosen.queue.max_data = 1000;
  relay_core small(chosen);
  small.set_configuration(declared());
  small.announce(announcement(), 1, start, tested.sink);
  const auto before = tested.sink.delivered.size();
  for (std::uint16_t port = 1; port <= 7; ++port)
  {
    small.on_upstream_packet({}, acceptance(port), start, tested.sink);
    small.on_visit(visit(), data(port), start, tested.sink);
  }
  // Four at the upstream, two held, and the seventh beyond the bound.
  CHECK_EQUAL(before + 5, tested.sink.delivered.size());
  // Data that does not fit releases the request that it belongs to.
  small.on_visit(visit(), data_at(5, 100), start, tested.sink);
  CHECK_EQUAL(before + 7, tested.sink.delivered.size());
  CHECK_EQUAL(1U, small.status(start).held_requests);
}
