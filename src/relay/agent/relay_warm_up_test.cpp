#include <toucanmill/relay/relay_core.hpp>

#include <CppUTest/TestHarness.h>

#include "../relay_fixture_test.hpp"

using namespace toucanmill;
using namespace toucanmill::relay_test;

namespace
{

const endpoint balancer = endpoint_at(1, 7720);
const endpoint next_agent = endpoint_at(2);

relay_message visit(bool last = false)
{
  relay_message message;
  message.header.service = key_of_service("notes");
  message.header.configuration = 5;
  message.header.balancer = balancer;
  message.header.stops.add(endpoint_at(9));
  if (!last)
    message.header.stops.add(next_agent);
  return message;
}

} // namespace

TEST_GROUP(relay_warm_up)
{
  relay_core core{agent_options(start)};
  recording_sink sink;

  void announce(duration cold_left, time_point now = start,
                std::uint64_t born = 1000, std::uint64_t sequence = 1)
  {
    upstream_announcement value;
    value.instance = "i-1";
    value.service = "notes";
    value.address = upstream_address;
    value.slots = 2;
    value.sequence = sequence;
    value.born_ms = born;
    value.cold_left = cold_left;
    core.announce(value, 1, now, sink);
  }

  void start_serving(duration cold_left = 0s)
  {
    core.set_configuration(routes_to(5, {{"notes", 1}}));
    announce(cold_left);
  }

  std::uint64_t count_of(relay_event event)
  {
    return core.status(start).events[static_cast<std::size_t>(event)];
  }

  bool admits(std::uint16_t port, time_point now, bool last = false)
  {
    const auto before = sink.delivered.size();
    core.on_visit(visit(last), opening(port), now, sink);
    // The answer keeps the upstream from counting as silent.
    if (sink.delivered.size() > before)
      core.on_upstream_packet({}, acceptance(port), now, sink);
    return sink.delivered.size() > before;
  }
};

// Guards against new flows in an evacuated data centre from a balancer whose
// table is older, and against an order that breaks open flows.
TEST(relay_warm_up, evacuated_agent_refuses_new_flows_and_keeps_its_own)
{
  start_serving();
  CHECK_TRUE(admits(1, start));
  core.set_evacuated(true);
  CHECK_FALSE(admits(2, start));
  CHECK_TRUE(sink.messages.back().to == next_agent);
  CHECK_FALSE(admits(2, start, true));
  CHECK_TRUE(sink.messages.back().header.kind == relay_kind::missed);
  CHECK_TRUE(sink.messages.back().header.reason == miss_reason::refused);
  CHECK_EQUAL(2U, count_of(relay_event::evacuated));
  const auto before = sink.delivered.size();
  core.on_visit(visit(), data(1), start, sink);
  core.on_visit(visit(), opening(1, 1), start, sink);
  CHECK_EQUAL(before + 2, sink.delivered.size());
  core.set_evacuated(false);
  CHECK_TRUE(admits(2, start));
}

// Guards against a cold upstream that gets as many flows as a warm one, and
// against refusing a flow that another agent can take.
TEST(relay_warm_up, flow_without_a_token_is_passed_on)
{
  core.set_warm_up_rate(2'000);
  start_serving(10s);
  CHECK_FALSE(admits(1, start));
  CHECK_TRUE(sink.messages.back().to == next_agent);
  CHECK_TRUE(admits(1, start + 500ms));
  CHECK_FALSE(admits(2, start + 600ms));
  CHECK_EQUAL(2U, count_of(relay_event::cold));
  CHECK_FALSE(admits(2, start + 610ms, true));
  CHECK_TRUE(sink.messages.back().header.kind == relay_kind::missed);
  // A copy is not another flow.
  const auto before = sink.delivered.size();
  core.on_visit(visit(), opening(1, 1), start + 620ms, sink);
  CHECK_EQUAL(before + 1, sink.delivered.size());
  core.on_upstream_packet({}, answer(data(1)), start + 621ms, sink);
  CHECK_TRUE(admits(2, start + 1000ms));
}

// Guards against a token that a flow uses up although it is refused for
// another reason.
TEST(relay_warm_up, refused_flow_takes_no_token)
{
  core.set_warm_up_rate(2'000);
  start_serving(10s);
  core.set_evacuated(true);
  CHECK_FALSE(admits(1, start + 500ms));
  core.set_evacuated(false);
  CHECK_TRUE(admits(1, start + 500ms));
}

// Guards against a flood of new flows for an upstream that restarted, and after
// the end of the limit against a limit that stays.
TEST(relay_warm_up, limit_applies_to_each_start_of_the_upstream)
{
  core.set_warm_up_rate(1'000);
  start_serving(1s);
  CHECK_TRUE(admits(1, start + 1s));
  announce(0s, start + 2s, 1000, 2);
  announce(0s, start + 3s, 1000, 3);
  for (std::uint16_t port = 2; port < 20; ++port)
    CHECK_TRUE(admits(port, start + 3s));
  announce(5s, start + 4s, 9000, 1);
  CHECK_FALSE(admits(20, start + 4s));
  CHECK_TRUE(admits(20, start + 5s));
}

// Guards against a restarted agent that floods its cold upstream before it has
// its table and with it the rate.
TEST(relay_warm_up, few_flows_are_admitted_before_the_rate_is_known)
{
  start_serving(10s);
  for (std::uint16_t port = 1; port <= 4; ++port)
    CHECK_TRUE(admits(port, start));
  CHECK_FALSE(admits(5, start + 1s));
  core.set_warm_up_rate(0);
  CHECK_TRUE(admits(5, start + 1s));
}
