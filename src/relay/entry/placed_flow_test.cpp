// Decisions of entry_core about new flows and copies of their opening packets.

#include "placement_fixture_test.hpp"

#include <CppUTest/TestHarness.h>

using namespace toucanmill;
using namespace toucanmill::relay_test;

namespace
{

visit_agent visit_of(const entry_action& action)
{
  const auto* visit = std::get_if<visit_agent>(&action);
  CHECK_TRUE(visit != nullptr);
  return *visit;
}

bool is_reset(const entry_action& action, reset_reason reason)
{
  const auto* reset = std::get_if<reset_caller>(&action);
  return reset != nullptr && reset->reason == reason;
}

flow_key flow_at(std::uint16_t port)
{
  return opening(port).from_caller();
}

} // namespace

TEST_GROUP(placed_flow)
{
  static constexpr std::uint16_t port = 7;
  entry_core core{balancer_options(near_placement)};

  void install(const table_update& update)
  {
    core.set_table(applied(update));
    core.set_confirmed(start);
  }

  void install(std::size_t near, std::size_t far)
  {
    install(
        update_of(1, {service_in("notes", 1, 10, near_and_far(near, far))}));
  }

  visit_agent send(std::uint32_t earlier_copies, duration at = 0ms)
  {
    return visit_of(core.on_packet(opening(port, earlier_copies), start + at));
  }

  /// The third stop of the visit reports that it admitted the flow.
  endpoint report_third(const visit_agent& visit)
  {
    const auto agent = visit.header.stops.agents[2];
    core.on_found(visit.header, agent, flow_at(port), start + 1ms);
    return agent;
  }
};

// Guards against callers that time out, or retry at once and without end, while
// an operator has evacuated everything, and against the wrong reason in the
// log.
TEST(placed_flow, new_flow_is_reset_at_once_when_everything_is_evacuated)
{
  install(update_of(1, {service_in("notes", 1, 10, near_and_far(2, 2))},
                    {own_centre, 2}));
  CHECK_TRUE(
      is_reset(core.on_packet(opening(), start), reset_reason::evacuated));
  CHECK_EQUAL(1U, core.counters().resets[3]);
  const auto late = core.on_packet(opening(), start + 3s);
  CHECK_TRUE(std::get<entry_drop>(late) == entry_drop::no_upstream);
}

// Guards against a refusal that is blamed on the evacuation of a part, or of a
// service that takes no new flows.
TEST(placed_flow, evacuation_of_a_part_is_not_the_reason)
{
  auto suspect = service_in("other", 2, 20, {3});
  suspect.holders[0].suspect = true;
  const auto notes = service_in("notes", 1, 10, {2});
  install(update_of(1, {notes, suspect}, {2}, {{"notes", 1}, {"other", 1}}));
  CHECK_TRUE(is_reset(core.on_packet(opening(), start), reset_reason::refused));
  install(update_of(2, {notes, suspect}, {2}, {{"notes", 1}, {"other", 0}}));
  CHECK_TRUE(
      is_reset(core.on_packet(opening(), start), reset_reason::evacuated));
  install(update_of(3, {notes, suspect}, {2}, {{"none", 1}}));
  CHECK_TRUE(is_reset(core.on_packet(opening(), start), reset_reason::refused));
}

// Guards against a flow that is refused while only the service that the weights
// select is evacuated.
TEST(placed_flow, other_service_takes_the_flows_of_an_evacuated_one)
{
  install(update_of(1,
                    {service_in("notes", 1, 10, {2}),
                     service_in("other", 2, 20, {own_centre})},
                    {2}, {{"notes", 100}, {"other", 1}}));
  CHECK_TRUE(send(0).agent == endpoint_at(20));
}

// Guards against a flow that two upstreams open because its copy overtakes the
// answer of the first one.
TEST(placed_flow, copy_goes_only_to_the_agent_that_reported_the_flow)
{
  install(6, 6);
  const auto agent = report_third(send(0));
  const auto copy = send(1, 200ms);
  CHECK_TRUE(copy.agent == agent);
  CHECK_EQUAL(1, copy.header.stops.size);
  CHECK_EQUAL(1, copy.header.near_stops);
  CHECK_TRUE(copy.header.remembered);
  CHECK_TRUE(send(2, 600ms).agent == agent);
  CHECK_EQUAL(2U, core.counters().reported_copies);
}

// Guards against a reset of an open flow, or a second upstream for it: one copy
// of the opening packet is refused after a hold, while another agent admitted
// another copy and the caller has sent data since.
TEST(placed_flow, late_refusal_of_a_copy_does_not_end_an_open_flow)
{
  install(6, 6);
  const auto first = send(0);
  const auto copy = send(1, 200ms);
  auto refused = first.header;
  refused.kind = relay_kind::missed;
  refused.reason = miss_reason::refused;
  const auto refuse_first = [&]
  {
    return core.on_missed(refused, first.agent, opening(port), start + 1s);
  };
  CHECK_TRUE(is_reset(refuse_first(), reset_reason::refused));
  core.on_packet(data(port), start + 300ms);
  const auto after_data = refuse_first();
  const auto* drop = std::get_if<entry_drop>(&after_data);
  CHECK_TRUE(drop != nullptr && *drop == entry_drop::stale_answer);
  CHECK_TRUE(visit_of(core.on_packet(data(port), start + 301ms)).agent ==
             copy.agent);
  // Another flow with this address and port.
  send(0, 700ms);
  CHECK_TRUE(is_reset(refuse_first(), reset_reason::refused));
}

// Guards against a copy that follows its lost first packet to a dead agent: the
// balancer only assumes that the first stop holds the flow.
TEST(placed_flow, copy_of_an_unreported_flow_starts_at_the_next_near_stop)
{
  install(6, 6);
  const auto first = send(0).header;
  const auto copy = send(1, 200ms).header;
  CHECK_EQUAL(8, copy.stops.size);
  CHECK_EQUAL(6, copy.near_stops);
  CHECK_TRUE(copy.stops.agents[0] == first.stops.agents[1]);
  CHECK_TRUE(copy.stops.agents[5] == first.stops.agents[0]);
}

// Guards against callers whose every copy is lost at the only agent of the data
// centre, and against other flows that all lose their first packet there.
TEST(placed_flow, copy_starts_far_after_all_near_agents_lost_one)
{
  install(1, 6);
  const auto near = send(0).agent;
  const auto copy = send(1, 200ms).header;
  CHECK_FALSE(copy.stops.agents[0] == near);
  CHECK_EQUAL(0, copy.near_stops);
  const auto other = visit_of(core.on_packet(opening(port + 1), start + 300ms));
  CHECK_FALSE(other.agent == near);
  CHECK_EQUAL(0, other.header.near_stops);
  CHECK_TRUE(visit_of(core.on_packet(opening(port + 1), start + 2s)).agent ==
             near);
}

// Guards against a caller whose copies are returned to it, or reset, because
// the agent that had reported the flow has restarted.
TEST(placed_flow, copy_that_the_reporting_agent_returns_is_placed_again)
{
  install(6, 6);
  report_third(send(0));
  auto returned = send(1, 200ms);
  returned.header.kind = relay_kind::missed;
  returned.header.reason = miss_reason::refused;
  const auto again = visit_of(core.on_missed(returned.header, returned.agent,
                                             opening(port, 1), start + 201ms));
  CHECK_EQUAL(8, again.header.stops.size);
  CHECK_FALSE(again.header.remembered);
  CHECK_EQUAL(8, send(2, 600ms).header.stops.size);
}

// Guards against copies that are all lost at an agent that died after its
// report.
TEST(placed_flow, copy_avoids_a_reporting_agent_that_is_suspect)
{
  install(6, 6);
  const auto agent = report_third(send(0));
  auto notes = service_in("notes", 1, 10, near_and_far(6, 6));
  for (auto& item : notes.holders)
    item.suspect = item.agent == agent;
  install(update_of(2, {notes}));
  const auto copy = send(1, 200ms);
  CHECK_FALSE(copy.agent == agent);
  CHECK_EQUAL(8, copy.header.stops.size);
}

// Guards against a new flow that uses the address and port of an ended one and
// whose copy goes to the agent of the ended one.
TEST(placed_flow, first_opening_packet_forgets_the_earlier_flow)
{
  install(6, 6);
  const auto agent = report_third(send(0));
  CHECK_FALSE(send(0, 5s).agent == agent);
  const auto copy = send(1, 5200ms);
  CHECK_FALSE(copy.header.remembered);
  CHECK_EQUAL(8, copy.header.stops.size);
}

// Guards against metrics by which a deployment cannot tell how many flows leave
// the data centre before it changes its placement.
TEST(placed_flow, new_flows_are_counted_by_distance_with_either_placement)
{
  for (const auto mode : {placement_mode::hash, placement_mode::near})
  {
    entry_core counted(balancer_options({mode, own_centre}));
    counted.set_table(applied(
        update_of(1, {service_in("notes", 1, 10, near_and_far(5, 5))})));
    for (std::uint16_t i = 1; i <= 100; ++i)
      counted.on_packet(opening(i, 0), start);
    counted.on_packet(opening(1, 1), start);
    const auto& counters = counted.counters();
    CHECK_EQUAL(100U, counters.near_flows + counters.far_flows);
    CHECK_EQUAL(mode == placement_mode::near, counters.far_flows == 0);
  }
}
