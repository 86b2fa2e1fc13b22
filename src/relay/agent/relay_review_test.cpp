// Failures of upstreams and callers while requests and new flows wait.

#include <toucanmill/relay/relay_core.hpp>

#include <CppUTest/TestHarness.h>

#include "../relay_fixture_test.hpp"
#include "relay_visit_test.hpp"

using namespace toucanmill;
using namespace toucanmill::relay_test;

namespace
{

relay_options options()
{
  auto value = agent_options(start - 2s);
  value.admission = admission_mode::objectives;
  return value;
}

/// Two routes with an objective of 200 ms; the second one, on port 444, has the
/// shorter time limit.
configuration declared()
{
  auto value = routes_to(5, {{"notes", 1}});
  value.routes[0].timeout_ms = 3000;
  value.routes[0].objectives = {request_kind::idempotent, 200, 0};
  value.routes.push_back(value.routes[0]);
  value.routes[1].name = "s";
  value.routes[1].address = public_address(444);
  value.routes[1].timeout_ms = 1500;
  return value;
}

} // namespace

TEST_GROUP(relay_review)
{
  relay_core core{options()};
  recording_sink sink;

  void setup() override
  {
    core.set_configuration(declared());
    core.announce(announcement(), 1, start - 1s, sink);
  }

  /// Returns how many packets reached the upstream.
  std::size_t take(const flow_packet& packet, time_point now,
                   std::uint8_t stops = 1)
  {
    const auto before = sink.delivered.size();
    core.on_visit(visit(stops), packet, now, sink);
    return sink.delivered.size() - before;
  }

  void answer_to(const flow_packet& packet, time_point now)
  {
    core.on_upstream_packet({}, answer(packet), now, sink);
  }

  /// The upstream has the flow, and the agent learns it from its answer.
  void open_at_upstream(std::uint16_t port, time_point now)
  {
    auto accepted = data(port);
    accepted.accepts = true;
    accepted.payload_size = 0;
    answer_to(accepted, now);
  }

  void load(std::uint16_t count, time_point now = start)
  {
    for (std::uint16_t port = 1; port <= count; ++port)
      open_at_upstream(port, now);
    for (std::uint16_t port = 1; port <= count; ++port)
      take(data(port), now);
  }
};

// Guards against an upstream that has stopped answering its requests and gets
// all new flows that visit it first, because nothing tells the meter that time
// passes while no request starts or ends.
TEST(relay_review, upstream_that_hangs_passes_new_flows_on)
{
  load(4);
  core.announce(announcement(2), 1, start + 2s, sink);
  CHECK_EQUAL(0U, take(opening(50), start + 2s, 2));
  CHECK_TRUE(sink.messages.back().header.kind == relay_kind::visit);
}

// Guards against capacity that stays unused until the time limit of the route,
// because the caller has reset the flow of a request in progress.
TEST(relay_review, reset_by_the_caller_ends_its_request_in_progress)
{
  load(5);
  CHECK_EQUAL(1U, core.status(start).held_requests);
  auto reset = data(1);
  reset.resets = true;
  reset.payload_size = 0;
  CHECK_EQUAL(1U, take(reset, start + 10ms));
  CHECK_EQUAL(3U, core.status(start).busy);
  core.serve_held(start + 10ms, sink);
  CHECK_EQUAL(4U, core.status(start).busy);
  CHECK_EQUAL(0U, core.status(start).held_requests);
  // The upstream may not have accepted the reset; the flow stays known.
  CHECK_EQUAL(1U, take(data(1), start + 20ms));
  answer_to(data(1), start + 30ms);
  CHECK_EQUAL(4U, core.status(start).busy);
}

// Guards against new flows that miss their objective because the turn of the
// oldest one is due, and it cannot be admitted yet.
TEST(relay_review, oldest_flow_does_not_block_those_on_time)
{
  // Seven held flows are admitted; the turn of the oldest comes next.
  load(30);
  for (std::uint16_t port = 101; port <= 107; ++port)
    CHECK_EQUAL(0U, take(opening(port), start));
  auto now = start;
  for (std::uint16_t port = 1; port <= 30; ++port)
    answer_to(data(port), now += 10ms);
  for (std::uint16_t port = 101; port <= 107; ++port)
    open_at_upstream(port, now);
  CHECK_EQUAL(0U, core.status(now).held_openings);
  // A backlog, and a flow that gets old behind it.
  now += 5s;
  constexpr std::uint16_t first = 200;
  constexpr std::uint16_t count = 120;
  for (std::uint16_t port = first; port < first + count; ++port)
    open_at_upstream(port, now);
  for (std::uint16_t port = first; port < first + count; ++port)
    take(data(port), now);
  auto old = opening(501);
  old.destination = public_address(444);
  CHECK_EQUAL(0U, take(old, now));
  std::uint16_t next = first;
  for (; next < first + 76; ++next)
    answer_to(data(next), now += 10ms);
  // A flow that waits for a token only.
  core.set_warm_up_rate(50'000);
  auto cold = announcement(2);
  cold.cold_left = 10s;
  core.announce(cold, 1, now, sink);
  CHECK_EQUAL(1U, take(opening(502), now));
  open_at_upstream(502, now);
  CHECK_EQUAL(0U, take(opening(503), now));
  CHECK_EQUAL(2U, core.status(now).held_openings);
  core.serve_held(now + 21ms, sink);
  CHECK_EQUAL(1U, core.status(now).held_openings);
}
