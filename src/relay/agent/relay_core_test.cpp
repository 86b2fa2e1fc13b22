#include <toucanmill/relay/relay_core.hpp>
#include <toucanmill/table/flow_hash.hpp>

#include <CppUTest/TestHarness.h>

#include "../relay_fixture_test.hpp"

using namespace toucanmill;
using namespace toucanmill::relay_test;

namespace
{

const endpoint balancer = endpoint_at(1, 7720);
const endpoint next_agent = endpoint_at(2);

relay_options options()
{
  // After its upstream: it does not know all flows.
  auto value = agent_options(start);
  value.requests_per_slot = 2;
  return value;
}

relay_message visit(bool last = false, std::uint64_t version = 5)
{
  relay_message message;
  message.header.service = key_of_service("notes");
  message.header.configuration = version;
  message.header.balancer = balancer;
  message.header.stops.add(endpoint_at(9));
  if (!last)
    message.header.stops.add(next_agent);
  return message;
}

} // namespace

TEST_GROUP(relay_core)
{
  relay_core core{options()};
  recording_sink sink;

  void announce(const upstream_announcement& value = announcement())
  {
    core.announce(value, 1, start, sink);
  }

  void start_serving()
  {
    core.set_configuration(routes_to(5, {{"notes", 1}}));
    announce();
  }

  void open_flow(std::uint16_t port)
  {
    core.on_visit(visit(), opening(port), start, sink);
    core.on_upstream_packet({}, acceptance(port), start, sink);
  }
};

// Guards against new flows for an upstream whose state a restarted agent does
// not know yet; it may be draining.
TEST(relay_core, admits_nothing_before_the_upstream_announced_itself)
{
  core.set_configuration(routes_to(5, {{"notes", 1}}));
  core.on_visit(visit(), opening(), start, sink);
  CHECK_TRUE(sink.delivered.empty());
  CHECK_TRUE(sink.messages.at(0).to == next_agent);
  announce();
  core.on_visit(visit(), opening(), start, sink);
  CHECK_EQUAL(1U, sink.delivered.size());
}

// Guards against an agent restart that breaks the flows of the upstream: the
// agent must deliver packets of flows whose opening it did not see.
TEST(relay_core, delivers_packets_of_unknown_flows)
{
  core.on_visit(visit(), data(), start, sink);
  CHECK_EQUAL(1U, sink.delivered.size());
}

// Guards against a bounced packet that is lost or passed on with the header of
// another visit.
TEST(relay_core, bounced_packet_goes_to_the_next_stop_then_to_the_balancer)
{
  core.on_visit(visit(), data(), start, sink);
  core.on_upstream_packet({}, bounced(data(), sink.delivered.at(0)), start,
                          sink);
  CHECK_TRUE(sink.messages.at(0).to == next_agent);
  CHECK_EQUAL(1, sink.messages[0].header.stop);
  // Another flow: the agent denies the one that was returned.
  core.on_visit(visit(true), data(2), start, sink);
  core.on_upstream_packet({}, bounced(data(2), sink.delivered.at(1)), start,
                          sink);
  CHECK_TRUE(sink.messages.at(1).to == balancer);
  CHECK_TRUE(sink.messages[1].header.kind == relay_kind::missed);
  CHECK_TRUE(sink.messages[1].header.reason == miss_reason::unknown_flow);
  core.on_upstream_packet({}, bounced(data(), 999), start, sink);
  CHECK_EQUAL(2U, sink.messages.size());
}

// Guards against new flows for a draining upstream, and against breaking its
// open flows.
TEST(relay_core, draining_upstream_keeps_its_flows_and_gets_no_new_ones)
{
  start_serving();
  open_flow(1);
  auto draining = announcement(2);
  draining.draining = true;
  announce(draining);
  const auto before = sink.delivered.size();
  core.on_visit(visit(), data(1), start, sink);
  CHECK_EQUAL(before + 1, sink.delivered.size());
  core.on_visit(visit(), opening(2), start, sink);
  CHECK_EQUAL(before + 1, sink.delivered.size());
}

// Guards against an announcement that a partition delayed and that restores an
// outdated state or upstream.
TEST(relay_core, late_and_foreign_announcements_change_nothing)
{
  start_serving();
  auto draining = announcement(3);
  draining.draining = true;
  announce(draining);
  CHECK_TRUE(core.announce(announcement(2), 1, start, sink) ==
             announcement_verdict::late);
  CHECK_TRUE(core.announce(announcement(9, "i-0", 900), 1, start, sink) ==
             announcement_verdict::late);
  auto foreign = announcement(4);
  foreign.service = "other";
  CHECK_TRUE(core.announce(foreign, 1, start, sink) ==
             announcement_verdict::foreign);
  CHECK_TRUE(core.status(start).draining);
}

// Guards against an upstream whose clock was set back before it restarted: its
// announcements, also that it drains, were ignored as late (fault_soak seed
// 114).
TEST(relay_core, start_with_an_earlier_clock_is_accepted_after_silence)
{
  start_serving();
  const auto announce_second_start = [&](std::uint64_t sequence, duration after)
  {
    return core.announce(announcement(sequence, "i-2", 900), 1, start + after,
                         sink);
  };
  CHECK_TRUE(announce_second_start(1, 1s) == announcement_verdict::late);
  CHECK_TRUE(announce_second_start(2, 1500ms) == announcement_verdict::late);
  CHECK_TRUE(announce_second_start(2, 2500ms) == announcement_verdict::late);
  CHECK_TRUE(announce_second_start(3, 3s) == announcement_verdict::accepted);
  auto draining = announcement(4, "i-2", 900);
  draining.draining = true;
  core.announce(draining, 1, start + 4s, sink);
  CHECK_TRUE(core.status(start + 4s).draining);
}

// Guards against late announcements that replace a live upstream.
TEST(relay_core, late_announcements_do_not_replace_a_live_upstream)
{
  start_serving();
  for (std::uint64_t i = 2; i < 20; ++i)
  {
    const auto now = start + i * 500ms;
    CHECK_TRUE(core.announce(announcement(i), 1, now, sink) ==
               announcement_verdict::accepted);
    CHECK_TRUE(core.announce(announcement(i, "i-0", 900), 1, now + 1ms, sink) ==
               announcement_verdict::late);
  }
}

// Guards against callers that wait on a flow that ended with its upstream, also
// when the upstream restarted under the same instance id.
TEST(relay_core, new_start_of_the_upstream_resets_the_flows_of_the_one_before)
{
  start_serving();
  open_flow(1);
  core.on_visit(visit(), data(1), start, sink);
  core.on_upstream_packet({}, answer(data(1)), start, sink);
  announce(announcement(1, "i-1", 2000));
  CHECK_EQUAL(1U, sink.resets.size());
  CHECK_EQUAL(77U, sink.resets[0].second);
  CHECK_EQUAL(2000U, core.status(start).life.value);
  CHECK_EQUAL(0U, core.status(start).flows);
}

// Guards against a reset of a flow that is open at another upstream, which
// accepted another copy of its opening packet (fault_soak seed 3).
TEST(relay_core, flow_that_may_be_open_elsewhere_is_not_reset)
{
  start_serving();
  open_flow(1);
  core.on_visit(visit(), data(1), start, sink);
  announce(announcement(1, "i-1", 2000));
  CHECK_TRUE(sink.resets.empty());
  CHECK_EQUAL(0U, core.status(start).flows);
}

// Guards against a new flow on a route that the newest configuration moved to
// another service, from a balancer that does not have that configuration yet.
TEST(relay_core, newest_configuration_decides_about_opening_packets)
{
  start_serving();
  core.set_configuration(routes_to(8, {{"other", 1}}));
  core.on_visit(visit(true, 5), opening(), start, sink);
  CHECK_TRUE(sink.messages.at(0).header.reason == miss_reason::route_replaced);
  CHECK_EQUAL(8U, sink.messages[0].header.configuration);
  CHECK_TRUE(sink.delivered.empty());
  core.on_visit(visit(true, 9), opening(), start, sink);
  CHECK_EQUAL(1U, sink.delivered.size());
}

// Guards against a removed route that still admits flows, and against one that
// a difference moved to another service.
TEST(relay_core, route_changes_decide_about_opening_packets)
{
  start_serving();
  const auto admits = [&](std::uint16_t port)
  {
    const auto before = sink.delivered.size();
    core.on_visit(visit(), opening(port), start, sink);
    return sink.delivered.size() > before;
  };
  const auto address = routes_to(5, {{"notes", 1}}).routes[0].address;
  const auto group_to = [&](const std::string& service)
  {
    return route_group{{{service, 1}}, {}, 1000, {address}};
  };
  CHECK_TRUE(admits(1));
  core.change_routes({6, false, {}, {address}});
  CHECK_FALSE(admits(2));
  core.change_routes({7, false, {group_to("notes")}, {address}});
  CHECK_TRUE(admits(3));
  core.change_routes({8, false, {group_to("other")}, {}});
  CHECK_FALSE(admits(4));
  core.change_routes({7, false, {group_to("notes")}, {}});
  CHECK_FALSE(admits(5));
  CHECK_EQUAL(8U, core.configuration_version());
  core.change_routes({9, false, {group_to("notes")}, {}});
  CHECK_TRUE(admits(6));
  core.change_routes({10, true, {}, {}});
  CHECK_FALSE(admits(7));
}

// Guards against an agent that applies an older configuration after a newer
// one.
TEST(relay_core, older_routing_is_dropped_until_newer_configuration_is_known)
{
  start_serving();
  core.on_visit(visit(true, 9), opening(1), start, sink);
  core.on_visit(visit(true, 5), opening(2), start, sink);
  CHECK_EQUAL(1U, sink.delivered.size());
  CHECK_TRUE(sink.messages.empty());
  CHECK_EQUAL(9U, core.newest_seen());
  core.set_configuration(routes_to(9, {{"notes", 1}}));
  core.on_visit(visit(true, 5), opening(2), start, sink);
  CHECK_EQUAL(2U, sink.delivered.size());
}

// Guards against delivering packets for a service that used the address before.
TEST(relay_core, other_service_is_never_delivered)
{
  start_serving();
  auto message = visit(true);
  message.header.service = key_of_service("other");
  core.on_visit(message, data(), start, sink);
  CHECK_TRUE(sink.delivered.empty());
  CHECK_TRUE(sink.messages.at(0).header.inconclusive);
}

// Guards against queueing at a busy upstream: with all slots taken, the first
// stop passes a new flow on. The last stop admits it up to requests_per_slot,
// then refuses at once.
TEST(relay_core, busy_upstream_passes_new_flows_on)
{
  start_serving();
  for (std::uint16_t port = 1; port <= 2; ++port)
  {
    open_flow(port);
    core.on_visit(visit(), data(port), start, sink);
  }
  CHECK_EQUAL(2U, core.status(start).busy);
  const auto before = sink.delivered.size();
  core.on_visit(visit(), opening(3), start, sink);
  CHECK_TRUE(sink.messages.back().to == next_agent);
  core.on_visit(visit(true), opening(4), start, sink);
  CHECK_EQUAL(before + 1, sink.delivered.size());
  open_flow(5);
  core.on_visit(visit(true), data(4), start, sink);
  core.on_visit(visit(true), data(5), start, sink);
  core.on_visit(visit(true), opening(6), start, sink);
  CHECK_TRUE(sink.messages.back().header.kind == relay_kind::missed);
  CHECK_TRUE(sink.messages.back().header.reason == miss_reason::refused);
  core.on_upstream_packet({}, answer(data(1)), start, sink);
  CHECK_EQUAL(3U, core.status(start).busy);
}

// Guards against callers that wait for a crashed upstream: once it leaves an
// opening packet unanswered, later ones go to the next stop.
TEST(relay_core, silent_upstream_gets_no_more_opening_packets)
{
  start_serving();
  core.on_visit(visit(), opening(1), start, sink);
  core.on_visit(visit(), opening(2), start + 50ms, sink);
  CHECK_EQUAL(2U, sink.delivered.size());
  core.on_visit(visit(), opening(3), start + 150ms, sink);
  CHECK_EQUAL(2U, sink.delivered.size());
  core.on_upstream_packet({}, answer(data(1)), start + 160ms, sink);
  core.on_visit(visit(), opening(4), start + 160ms, sink);
  CHECK_EQUAL(3U, sink.delivered.size());
}

// Guards against balancers that search for a flow with every packet.
TEST(relay_core, balancer_learns_where_a_flow_is)
{
  start_serving();
  open_flow(1);
  core.on_visit(visit(), data(1), start, sink);
  CHECK_TRUE(sink.messages.at(0).header.kind == relay_kind::found);
  CHECK_TRUE(sink.messages[0].to == balancer);
  auto remembered = visit();
  remembered.header.remembered = true;
  core.on_visit(remembered, data(1), start + 1s, sink);
  CHECK_EQUAL(1U, sink.messages.size());
}

// Guards against a failed request without a log line that explains it.
TEST(relay_core, request_without_a_response_is_recorded_with_its_id)
{
  start_serving();
  open_flow(1);
  auto request = data(1);
  request.request_id = "abc";
  core.on_visit(visit(), request, start, sink);
  core.on_tick(start + 2s, sink);
  CHECK_EQUAL(1U, sink.decisions.size());
  CHECK_TRUE(sink.decisions[0].event == relay_event::request_waits);
  STRCMP_EQUAL("abc", sink.decisions[0].request_id.c_str());
  core.on_tick(start + 3s, sink);
  CHECK_EQUAL(1U, sink.decisions.size());
}

// Guards against histograms that count a handshake twice, or time a request
// from its last packet.
TEST(relay_core, handshakes_and_requests_are_timed_once)
{
  start_serving();
  core.on_visit(visit(), opening(1), start, sink);
  core.on_visit(visit(), opening(1, 1), start + 1ms, sink);
  auto accepted = answer(data(1));
  accepted.accepts = true;
  accepted.payload_size = 0;
  core.on_upstream_packet({}, accepted, start + 3ms, sink);
  core.on_upstream_packet({}, accepted, start + 4ms, sink);
  core.on_visit(visit(), data(1), start + 10ms, sink);
  core.on_visit(visit(), data(1), start + 12ms, sink);
  core.on_upstream_packet({}, answer(data(1)), start + 50ms, sink);
  core.on_upstream_packet({}, answer(data(1)), start + 60ms, sink);
  CHECK_EQUAL(2U, sink.timings.size());
  CHECK_TRUE(sink.timings[0] ==
             std::make_pair(relay_timing::handshake, duration(3ms)));
  CHECK_TRUE(sink.timings[1] ==
             std::make_pair(relay_timing::request, duration(40ms)));
}

// Guards against an open flow whose packets all go to an upstream that never
// answered a copy of the opening packet: the balancer remembers the agent that
// reports the flow, and a remembered flow is not searched for.
TEST(relay_core, flow_that_the_upstream_never_answered_is_not_reported_as_found)
{
  start_serving();
  core.on_visit(visit(), opening(1), start, sink);
  core.on_visit(visit(), data(1), start + 300ms, sink);
  for (const auto& message : sink.messages)
    CHECK_FALSE(message.header.kind == relay_kind::found);
}

// Guards against a sound agent that balancers take for dead: it has restarted
// beside its upstream, and the upstream accepts the probe of a flow that the
// agent does not know.
TEST(relay_core, probe_that_the_upstream_accepts_is_answered)
{
  announce(announcement(5));
  start_serving();
  auto probe = visit(true);
  probe.header.probe = true;
  core.on_visit(probe, data(1), start, sink);
  core.on_upstream_packet({}, answer(data(1)), start + 10ms, sink);
  CHECK_EQUAL(1U, sink.messages.size());
}

// Guards against a sound agent that a balancer takes for dead because the agent
// reported the flow to another balancer shortly before.
TEST(relay_core, every_balancer_that_probes_for_a_held_flow_is_answered)
{
  start_serving();
  open_flow(1);
  auto probe = visit(true);
  probe.header.probe = true;
  core.on_visit(probe, data(1), start, sink);
  probe.header.balancer = endpoint_at(4, 7720);
  core.on_visit(probe, data(1), start + 100ms, sink);
  CHECK_EQUAL(2U, sink.messages.size());
}

namespace
{

std::vector<std::uint16_t> all_buckets()
{
  return {0, 1, 2, 3};
}

} // namespace

// Guards against an open flow that balancers look for last: its agent restarted
// beside the upstream and reports that it holds no flows, so control drops it
// from the chain of the flow's bucket.
TEST(relay_core, restarted_agent_reports_no_bucket_as_empty)
{
  // The upstream is 10 s old, the agent 3 s.
  auto chosen = options();
  chosen.started = start - 3s;
  relay_core restarted(chosen);
  restarted.set_bucket_count(4);
  restarted.announce(announcement(9, "i-1", 50'000), 60'000, start, sink);
  CHECK_TRUE(restarted.status(start).held_buckets == all_buckets());
  CHECK_FALSE(restarted.status(start).knows_all_flows);
  // All flows from before the restart have ended.
  CHECK_TRUE(restarted.status(start + 58s).held_buckets.empty());
}

// Guards against chains that keep former owners although no flow needs them:
// an agent that is older than its upstream has seen all flows.
TEST(relay_core, agent_of_a_new_upstream_reports_the_buckets_of_its_flows)
{
  auto chosen = options();
  chosen.started = start - 3s;
  relay_core fresh(chosen);
  fresh.set_bucket_count(4);
  fresh.announce(announcement(2, "i-1", 58'000), 60'000, start, sink);
  CHECK_TRUE(fresh.status(start).held_buckets.empty());
  // Also of a flow that is known from the upstream's packets only.
  fresh.on_upstream_packet({}, answer(data(1)), start, sink);
  CHECK_EQUAL(1U, fresh.status(start).held_buckets.size());
  CHECK_EQUAL(bucket_of(flow_hash(data(1).from_caller()), 4),
              fresh.status(start).held_buckets[0]);
}

// Guards against buckets that stay reserved for an upstream that has ended.
TEST(relay_core, ended_upstream_holds_no_buckets)
{
  auto chosen = options();
  chosen.started = start - 3s;
  relay_core restarted(chosen);
  restarted.set_bucket_count(4);
  restarted.announce(announcement(9, "i-1", 50'000), 60'000, start, sink);
  auto draining = announcement(10, "i-1", 50'000);
  draining.draining = true;
  restarted.announce(draining, 60'000, start, sink);
  restarted.leave("i-1", start, sink);
  // It may hold flows that this process does not know.
  CHECK_TRUE(restarted.status(start).held_buckets == all_buckets());
  restarted.on_tick(start + 2500ms, sink);
  CHECK_TRUE(restarted.status(start + 2500ms).held_buckets.empty());
}

// Guards against a balancer that keeps a silent agent in its memory because the
// agent does not answer the question about a flow.
TEST(relay_core, question_about_a_remembered_flow_is_answered)
{
  start_serving();
  open_flow(1);
  auto question = visit();
  question.header.remembered = true;
  question.header.probe = true;
  core.on_visit(question, data(1), start, sink);
  CHECK_EQUAL(1U, sink.messages.size());
  CHECK_TRUE(sink.messages[0].header.kind == relay_kind::found);
}

// Guards against an agent that started a moment after its upstream and then
// asks it about each packet that searches for a flow.
TEST(relay_core, agent_that_got_the_first_announcement_knows_all_flows)
{
  auto chosen = options();
  chosen.started = start - 1s;
  relay_core late(chosen);
  late.announce(announcement(1, "i-1", 58'500), 60'000, start, sink);
  CHECK_TRUE(late.status(start).knows_all_flows);
}

// Guards against a search for a flow that nobody holds, for example after a
// loss of power, that asks every upstream with the whole packet.
TEST(relay_core, agent_that_knows_all_flows_passes_others_on_at_once)
{
  start_serving();
  open_flow(1);
  sink = {};
  core.on_visit(visit(), data(2), start, sink);
  CHECK_TRUE(sink.delivered.empty());
  CHECK_TRUE(sink.messages.at(0).to == next_agent);
  core.on_visit(visit(), data(1), start, sink);
  CHECK_EQUAL(1U, sink.delivered.size());
}

// Guards against a reset of an open flow whose agent has restarted: the agent
// does not know the flow, its upstream does.
TEST(relay_core, restarted_agent_asks_its_upstream_about_unknown_flows)
{
  auto chosen = options();
  chosen.started = start - 3s;
  relay_core restarted(chosen);
  restarted.announce(announcement(9, "i-1", 50'000), 60'000, start, sink);
  restarted.on_visit(visit(), data(2), start, sink);
  CHECK_EQUAL(1U, sink.delivered.size());
}

// Guards against a caller whose last packets are never acknowledged: they
// arrive after its flow has ended, and only the upstream can answer them.
TEST(relay_core, late_packets_of_an_ended_flow_are_delivered)
{
  start_serving();
  open_flow(1);
  auto last = data(1);
  last.finishes = true;
  core.on_visit(visit(), last, start, sink);
  auto end = answer(data(1));
  end.finishes = true;
  core.on_upstream_packet({}, end, start, sink);
  CHECK_EQUAL(0U, core.status(start).flows);
  sink = {};
  core.on_visit(visit(), last, start + 200ms, sink);
  CHECK_EQUAL(1U, sink.delivered.size());
  CHECK_EQUAL(0U, core.status(start).busy);
  // Its address and port may be in use again.
  core.on_visit(visit(), opening(1), start + 300ms, sink);
  CHECK_EQUAL(1U, core.status(start).flows);
  core.on_tick(start + 10s, sink);
  CHECK_EQUAL(1U, core.status(start).flows);
}

// Guards against a reset of a flow that a restarted upstream accepted shortly
// before the agent heard of the restart.
TEST(relay_core, flow_that_is_younger_than_the_upstream_is_not_reset)
{
  start_serving();
  core.announce(announcement(2, "i-1", 1000), 50'000, start, sink);
  open_flow(1);
  core.on_upstream_packet({}, answer(data(1)), start, sink);
  core.on_visit(visit(), opening(2), start + 2s, sink);
  core.on_upstream_packet({}, answer(data(2)), start + 2s, sink);
  core.announce(announcement(1, "i-2", 51'000), 52'500, start + 2500ms, sink);
  CHECK_EQUAL(1U, sink.resets.size());
  CHECK_TRUE(sink.resets[0].first == data(1).from_caller());
  CHECK_EQUAL(1U, core.status(start + 2500ms).flows);
}

// Guards against an agent that forgets an open flow, and then says that nobody
// holds it, because the upstream returns a late copy of its opening packet.
TEST(relay_core, returned_copy_of_an_opening_packet_does_not_end_the_flow)
{
  start_serving();
  open_flow(1);
  sink = {};
  core.on_visit(visit(), opening(1, 1), start + 200ms, sink);
  core.on_upstream_packet({}, bounced(opening(1, 1), sink.delivered.at(0)),
                          start + 201ms, sink);
  core.on_visit(visit(), data(1), start + 210ms, sink);
  CHECK_EQUAL(2U, sink.delivered.size());
}

namespace
{

/// The question who holds the flow; there is another stop after this one.
relay_message question(const encoded_flow& flow)
{
  auto message = visit();
  message.header.locates = true;
  message.packet = {flow.data(), flow.size()};
  return message;
}

} // namespace

// Guards against searches that carry whole packets through all agents, which
// fill the links of small balancers.
TEST(relay_core, question_for_a_flow_is_answered_without_delivery)
{
  start_serving();
  open_flow(1);
  sink = {};
  const auto held = encode(data(1).from_caller());
  core.on_visit(question(held), std::nullopt, start, sink);
  CHECK_TRUE(sink.messages.at(0).to == balancer);
  CHECK_TRUE(sink.messages[0].header.kind == relay_kind::found);
  CHECK_TRUE(sink.messages[0].header.locates);
  const auto other = encode(data(2).from_caller());
  core.on_visit(question(other), std::nullopt, start, sink);
  CHECK_TRUE(sink.messages.at(1).to == next_agent);
  CHECK_EQUAL(0, sink.messages[1].header.undecided);
  CHECK_TRUE(sink.delivered.empty());
}

// Guards against an agent that denies a flow although it has restarted and only
// its upstream knows.
TEST(relay_core, restarted_agent_leaves_a_question_undecided)
{
  announce(announcement(5));
  const auto flow = encode(data(1).from_caller());
  core.on_visit(question(flow), std::nullopt, start, sink);
  CHECK_TRUE(sink.messages.at(0).to == next_agent);
  CHECK_EQUAL(1, sink.messages[0].header.undecided);
  core.on_visit(question({}), std::nullopt, start, sink);
  auto damaged = question(flow);
  damaged.packet.size = 3;
  core.on_visit(damaged, std::nullopt, start, sink);
  CHECK_EQUAL(2U, sink.messages.size());
}
