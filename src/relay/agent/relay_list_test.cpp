#include "relay_visit_test.hpp"

#include <map>
#include <random>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace toucanmill;
using namespace toucanmill::relay_test;

namespace
{

constexpr std::uint64_t wall_clock = 100'000;

/// An agent of the service "notes" that has run for a short time.
class listed_agent
{
public:
  listed_agent() : core(agent_options(start)) {}

  void announce(const upstream_announcement& value, duration at = 0ms)
  {
    core.announce(value, wall_clock, start + at, sink);
  }

  /// The caller opens the flow and gets a response.
  void open(std::uint16_t port, duration at = 0ms)
  {
    const auto packet = opening(port);
    core.on_visit(visit(), packet, start + at, sink);
    auto accept = answer(packet);
    accept.accepts = accept.acknowledges = true;
    accept.payload_size = 0;
    core.on_upstream_packet({}, accept, start + at, sink);
    core.on_visit(visit(), data(port), start + at, sink);
    core.on_upstream_packet({}, answer(data(port)), start + at, sink);
  }

  /// Whether the agent reports the flow without its packet.
  bool locates(std::uint16_t port)
  {
    const auto key = encode(data(port).from_caller());
    auto question = visit();
    question.header.locates = true;
    question.packet = {key.data(), key.size()};
    sink.messages.clear();
    core.on_visit(question, std::nullopt, start, sink);
    return sink.messages.size() == 1 &&
           sink.messages[0].header.kind == relay_kind::found;
  }

  std::set<std::uint16_t> reset_ports() const
  {
    std::set<std::uint16_t> ports;
    for (const auto& [flow, acknowledged] : sink.resets)
      ports.insert(flow.caller.port);
    return ports;
  }

  relay_core core;
  recording_sink sink;
};

/// An announcement without a time of birth.
upstream_announcement unborn(std::uint64_t sequence,
                             const std::string& instance = "i-1")
{
  return announcement(sequence, instance, 0);
}

/// The list of an agent whose upstream i-1 has two open flows.
flow_list two_flows(const upstream_announcement& of = announcement())
{
  listed_agent agent;
  agent.announce(of);
  agent.open(1);
  agent.open(2);
  return agent.core.list_flows(start);
}

} // namespace

TEST_GROUP(relay_list){};

// Guards against flows listed under a start that may have ended long ago.
TEST(relay_list, flows_are_listed_once_the_start_of_the_upstream_is_certain)
{
  listed_agent agent;
  agent.announce(unborn(5));
  agent.open(1);
  CHECK_TRUE(agent.core.list_flows(start) == flow_list{});
  agent.announce(unborn(6), 1s);
  CHECK_TRUE(agent.core.list_flows(start) == flow_list{});
  agent.announce(unborn(7), 3s);
  CHECK_EQUAL(1U, agent.core.list_flows(start).flows.size());
}

// Guards against lists with flows that a later process would report wrongly.
TEST(relay_list, list_has_the_open_flows_with_the_position_of_their_callers)
{
  listed_agent agent;
  CHECK_TRUE(agent.core.list_flows(start) == flow_list{});
  agent.announce(announcement());
  agent.open(1);
  agent.core.on_visit(visit(), opening(2), start, agent.sink);
  const auto list = agent.core.list_flows(start);
  CHECK_EQUAL(1U, list.flows.size());
  CHECK_EQUAL(1U, list.flows[0].flow.caller.port);
  CHECK_EQUAL(data(1).acknowledged, list.flows[0].acknowledged);
}

// Guards against searches that deliver the packets of open flows to wrong
// upstreams because their own agent has restarted and cannot tell.
TEST(relay_list, restarted_agent_finds_the_flows_of_a_living_upstream)
{
  listed_agent agent;
  CHECK_FALSE(agent.locates(1));
  agent.core.restore_flows(two_flows(), start, agent.sink);
  CHECK_TRUE(agent.locates(1));
  agent.announce(announcement(7));
  CHECK_TRUE(agent.locates(2));
  CHECK_FALSE(agent.locates(3));
  CHECK_EQUAL(0U, agent.sink.resets.size());
}

// Guards against callers that use a flow whose upstream has lost it, and lose
// the request with it: after a loss of power this held for all open flows.
TEST(relay_list, flows_of_an_upstream_that_started_again_are_reset)
{
  for (const bool list_comes_first : {true, false})
  {
    listed_agent agent;
    const auto list = two_flows();
    if (list_comes_first)
      agent.core.restore_flows(list, start, agent.sink);
    agent.announce(announcement(1, "i-2", 2000));
    if (!list_comes_first)
      agent.core.restore_flows(list, start, agent.sink);
    CHECK_EQUAL(2U, agent.sink.resets.size());
    CHECK_EQUAL(data(1).acknowledged, agent.sink.resets[0].second);
    CHECK_FALSE(agent.locates(1));
  }
}

// Guards against the same where upstreams do not announce when they started.
TEST(relay_list, first_announcement_of_another_instance_resets_the_flows)
{
  listed_agent agent;
  agent.core.restore_flows(two_flows(unborn(1)), start, agent.sink);
  agent.announce(unborn(1, "i-2"));
  CHECK_EQUAL(2U, agent.sink.resets.size());
}

// Guards against a reset of open flows by a late announcement of a start before
// that of their upstream.
TEST(relay_list, single_late_announcement_resets_no_flow)
{
  listed_agent agent;
  agent.core.restore_flows(two_flows(unborn(1)), start, agent.sink);
  agent.announce(unborn(9, "i-0"));
  CHECK_EQUAL(0U, agent.sink.resets.size());
  CHECK_TRUE(agent.core.list_flows(start) == flow_list{});
  agent.announce(unborn(5));
  agent.announce(unborn(6));
  CHECK_EQUAL(0U, agent.sink.resets.size());
  CHECK_TRUE(agent.locates(1));
}

// Guards against the same with an earlier time of birth.
TEST(relay_list, announcement_of_an_earlier_birth_resets_no_flow)
{
  listed_agent agent;
  agent.core.restore_flows(two_flows(), start, agent.sink);
  agent.announce(announcement(1, "i-0", 500));
  agent.announce(announcement(2, "i-0", 500));
  CHECK_EQUAL(0U, agent.sink.resets.size());
}

// Guards against a reset of a flow that its caller opened anew before the list
// came.
TEST(relay_list, flow_opened_anew_is_not_reset)
{
  listed_agent agent;
  agent.announce(announcement(1, "i-2", 2000));
  agent.open(1);
  agent.core.restore_flows(two_flows(), start, agent.sink);
  CHECK_TRUE(agent.reset_ports() == std::set<std::uint16_t>{2});
}

// Guards against a flow that the agent reports for ever although its upstream
// has closed it since the list was kept.
TEST(relay_list, returned_packet_takes_the_flow_from_the_list)
{
  listed_agent agent;
  agent.announce(announcement(7));
  agent.core.restore_flows(two_flows(), start, agent.sink);
  agent.core.on_visit(visit(), data(1), start, agent.sink);
  CHECK_EQUAL(1U, agent.sink.delivered.size());
  agent.core.on_upstream_packet({}, bounced(data(1), agent.sink.delivered[0]),
                                start, agent.sink);
  CHECK_FALSE(agent.locates(1));
  CHECK_TRUE(agent.locates(2));
}

// Guards against an upstream that counts as failing, and gets fewer new flows,
// because it returns the packets of listed flows that it had closed.
TEST(relay_list,
     packet_of_a_listed_flow_is_no_request_until_the_upstream_answers)
{
  listed_agent agent;
  agent.announce(announcement(7));
  agent.core.restore_flows(two_flows(), start, agent.sink);
  agent.core.on_visit(visit(), data(1), start, agent.sink);
  CHECK_EQUAL(0U, agent.core.status(start).busy);
  agent.core.on_upstream_packet({}, answer(data(1)), start, agent.sink);
  auto next = data(1);
  next.sequence += next.payload_size;
  agent.core.on_visit(visit(), next, start, agent.sink);
  CHECK_EQUAL(1U, agent.core.status(start).busy);
}

// Guards against an opening packet that a draining upstream gets because an
// earlier flow of the same address and port is listed.
TEST(relay_list, opening_packet_of_a_listed_flow_is_decided_anew)
{
  listed_agent agent;
  auto draining = announcement(7);
  draining.draining = true;
  agent.announce(draining);
  agent.core.restore_flows(two_flows(), start, agent.sink);
  agent.core.on_visit(visit(), opening(1), start, agent.sink);
  CHECK_EQUAL(0U, agent.sink.delivered.size());
}

// Guards against the same where upstreams announce no birth and the late one is
// of a start before the last, or of one that this agent never knew.
TEST(relay_list, late_announcement_of_any_earlier_start_resets_no_flow)
{
  listed_agent agent;
  for (const auto* instance : {"i-1", "i-2", "i-3"})
    agent.announce(unborn(1, instance));
  agent.open(1);
  for (const auto* instance : {"i-1", "i-2", "i-0"})
    agent.announce(unborn(9, instance), 1s);
  CHECK_EQUAL(0U, agent.sink.resets.size());
  CHECK_TRUE(agent.locates(1));
}

// Guards against a reset of flows that a start opened before the agent knew it.
TEST(relay_list, flow_opened_before_its_start_is_announced_is_not_reset)
{
  for (const bool first_is_lost : {false, true})
  {
    listed_agent agent;
    agent.announce(unborn(1));
    agent.open(1, 500ms);
    agent.announce(unborn(2), 1s);
    agent.open(2, 1500ms); // at i-2
    if (!first_is_lost)
      agent.announce(unborn(1, "i-2"), 2s);
    agent.announce(unborn(2, "i-2"), 2500ms);
    agent.announce(unborn(3, "i-2"), 3500ms);
    CHECK_TRUE(agent.reset_ports() == std::set<std::uint16_t>{1});
  }
}

// Guards against a list that names the flow under the start before its own.
TEST(relay_list, flow_is_listed_once_its_start_has_announced_itself_again)
{
  listed_agent agent;
  agent.announce(unborn(1));
  agent.open(1, 500ms);
  CHECK_EQUAL(0U, agent.core.list_flows(start).flows.size());
  agent.announce(unborn(2), 1s);
  CHECK_EQUAL(1U, agent.core.list_flows(start).flows.size());
}

// Guards against a reset at the position of another flow of the same address
// and port, which is open at another upstream.
TEST(relay_list, reset_has_the_position_of_the_flow_of_this_upstream)
{
  for (const bool is_listed : {false, true})
  {
    listed_agent agent;
    agent.announce(unborn(1));
    if (is_listed)
      agent.core.restore_flows(two_flows(unborn(1)), start, agent.sink);
    agent.open(1);
    auto other = data(1);
    other.acknowledged = 1U << 20;
    agent.core.on_visit(visit(), other, start, agent.sink);
    agent.open(3);
    agent.announce(unborn(1, "i-2"), 1s);
    agent.core.on_visit(visit(), data(3), start + 1s, agent.sink);
    agent.core.on_upstream_packet({},
                                  bounced(data(3), agent.sink.delivered.back()),
                                  start + 1s, agent.sink);
    CHECK_FALSE(agent.sink.resets.empty());
    for (const auto& [flow, acknowledged] : agent.sink.resets)
      CHECK_EQUAL(data(1).acknowledged, acknowledged);
  }
}

// Guards against a list that brings back a flow that the upstream has returned.
TEST(relay_list, flow_returned_before_the_list_came_is_not_taken_from_it)
{
  listed_agent agent;
  agent.core.on_visit(visit(), data(1), start, agent.sink);
  agent.core.on_upstream_packet({}, bounced(data(1), agent.sink.delivered[0]),
                                start, agent.sink);
  agent.announce(announcement(7));
  auto reset = answer(data(1));
  reset.resets = true;
  agent.core.on_upstream_packet({}, reset, start, agent.sink);
  agent.core.restore_flows(two_flows(), start, agent.sink);
  CHECK_FALSE(agent.locates(1));
  CHECK_TRUE(agent.locates(2));
}

// Guards against flows of another start that an agent reports although it has
// seen the present one from its first announcement on.
TEST(relay_list, agent_that_knows_all_flows_reports_none_from_a_list)
{
  listed_agent agent;
  agent.announce(announcement(1, "i-2", 500)); // the clock was set back
  agent.core.restore_flows(two_flows(), start, agent.sink);
  CHECK_FALSE(agent.locates(1));
  CHECK_EQUAL(0U, agent.sink.resets.size());
}

namespace
{

/// An upstream and its agent, which both end and start at random. Fails when
/// the agent resets a flow that the upstream holds.
class random_starts
{
public:
  explicit random_starts(unsigned seed) : random_(seed)
  {
    start_upstream();
    start_agent();
  }

  void step()
  {
    switch (random_() % 6)
    {
    case 0:
      return start_upstream();
    case 1:
      return start_agent();
    case 2:
      late_announcement();
      break;
    case 3:
      open_flow();
      break;
    default:
      agent_->announce(present(++sequence_));
    }
    if (auto list = agent_->core.list_flows(start);
        !(list == flow_list{}) && random_() % 2 == 0)
      kept_ = std::move(list);
    check();
  }

private:
  upstream_announcement present(std::uint64_t sequence) const
  {
    return unborn(sequence, "i-" + std::to_string(starts_));
  }

  void start_upstream()
  {
    ++starts_;
    sequence_ = 0;
    held_.clear();
  }

  void start_agent()
  {
    const auto list = kept_;
    agent_ = std::make_unique<listed_agent>();
    agent_->core.restore_flows(list, start, agent_->sink);
  }

  /// Of a start that has ended, to an agent that knows none; not its first one,
  /// which went to an agent that has ended with its connections.
  void late_announcement()
  {
    if (starts_ > 1 && agent_->core.upstream().start() == upstream_start{})
      agent_->announce(
          unborn(50 + random_() % 50,
                 "i-" + std::to_string(1 + random_() % (starts_ - 1))));
  }

  void open_flow()
  {
    agent_->announce(present(++sequence_));
    const auto port = static_cast<std::uint16_t>(1 + random_() % 50000);
    if (agent_->core.upstream().start() == start_of_present() &&
        held_.insert(port).second)
      agent_->open(port);
  }

  upstream_start start_of_present() const
  {
    upstream_core core({"notes", upstream_address});
    core.announce(present(1), wall_clock, start);
    return core.start();
  }

  void check()
  {
    for (const auto port : agent_->reset_ports())
      CHECK_EQUAL(0U, held_.count(port));
    agent_->sink.resets.clear();
  }

  std::mt19937 random_;
  std::size_t starts_ = 0;
  std::uint64_t sequence_ = 0;
  std::set<std::uint16_t> held_; ///< by the present start of the upstream
  flow_list kept_;
  std::unique_ptr<listed_agent> agent_;
};

} // namespace

// Guards against a reset of an open flow in any order of starts, lists and late
// announcements.
TEST(relay_list, no_flow_of_the_present_start_is_reset)
{
  for (unsigned seed = 0; seed < 300; ++seed)
  {
    random_starts run(seed);
    for (int i = 0; i < 60; ++i)
      run.step();
  }
}
