// Flows that an upstream has returned, at an agent that restarted beside it.

#include <toucanmill/relay/relay_core.hpp>

#include <CppUTest/TestHarness.h>

#include "../relay_fixture_test.hpp"
#include "relay_visit_test.hpp"

using namespace toucanmill;
using namespace toucanmill::relay_test;

namespace
{

relay_options options(admission_mode mode = admission_mode::slots)
{
  // After its upstream: it does not know all flows.
  auto value = agent_options(start);
  value.admission = mode;
  value.max_tracked_visits = 64;
  value.max_returned_flows = 3;
  return value;
}

configuration declared()
{
  auto value = routes_to(5, {{"notes", 1}});
  value.routes[0].timeout_ms = 3000;
  value.routes[0].objectives = {request_kind::idempotent, 200, 0};
  return value;
}

/// An agent that restarted beside its upstream.
struct restarted_agent
{
  explicit restarted_agent(admission_mode mode = admission_mode::slots)
      : core(options(mode))
  {
    core.set_configuration(declared());
    core.announce(announcement(3), 5000, start, sink);
  }

  /// Returns whether the packet reached the upstream.
  bool take(const flow_packet& packet, time_point now = start,
            std::uint8_t stops = 2)
  {
    const auto before = sink.delivered.size();
    core.on_visit(visit(stops), packet, now, sink);
    return sink.delivered.size() > before;
  }

  /// The upstream returns a packet, which was delivered last.
  void return_last(const flow_packet& packet)
  {
    return_packet(packet, sink.delivered.back());
  }

  void return_packet(const flow_packet& packet, std::uint32_t tag)
  {
    core.on_upstream_packet({}, bounced(packet, tag), start, sink);
  }

  /// The upstream returns a packet of the flow.
  void deny(std::uint16_t port = 40001)
  {
    CHECK_TRUE(take(data(port)));
    return_last(data(port));
  }

  void answer_to(const flow_packet& packet)
  {
    core.on_upstream_packet({}, answer(packet), start, sink);
  }

  void accept(std::uint16_t port = 40001)
  {
    auto accepted = data(port);
    accepted.accepts = true;
    accepted.payload_size = 0;
    answer_to(accepted);
  }

  /// A start whose age is not known, and whose first announcement was lost.
  void start_upstream_again()
  {
    core.leave("i-1", start, sink);
    const auto silent = start + 4s; // upstream_core::options::silence_limit
    core.on_tick(silent, sink);
    core.announce(announcement(2, "i-2", 0), 6000, silent, sink);
    core.announce(announcement(3, "i-2", 0), 6000, silent + 1s, sink);
  }

  /// Returns the header with which the agent passes a question on.
  relay_header locate(std::uint16_t port = 40001)
  {
    auto question = visit(2);
    question.header.locates = true;
    const auto body = encode(data(port).from_caller());
    question.packet = {body.data(), body.size()};
    core.on_visit(question, std::nullopt, start, sink);
    return sink.messages.back().header;
  }

  std::uint64_t count_of(relay_event event)
  {
    return core.status(start).events[static_cast<std::size_t>(event)];
  }

  relay_core core;
  recording_sink sink;
};

} // namespace

TEST_GROUP(relay_denial)
{
  restarted_agent agent;
};

// Guards against searches that deliver a flow to the same wrong upstream at
// each attempt, because the restarted agent does not remember that its upstream
// has returned it.
TEST(relay_denial, returned_flow_is_not_delivered_again)
{
  agent.deny();
  CHECK_FALSE(agent.take(data()));
  CHECK_TRUE(agent.sink.messages.back().header.kind == relay_kind::visit);
  CHECK_EQUAL(1, agent.sink.messages.back().header.stop);
  CHECK_EQUAL(1U, agent.count_of(relay_event::not_held));
  CHECK_EQUAL(0U, agent.locate().undecided);
  CHECK_EQUAL(2U, agent.count_of(relay_event::not_held));
  // Other flows may still be held.
  CHECK_EQUAL(1U, agent.locate(2).undecided);
  CHECK_TRUE(agent.take(data(2)));
}

// Guards against a reset of an open flow: its caller uses the address and port
// of a flow again that the upstream has returned, and the agent denies the new
// one.
TEST(relay_denial, admitted_opening_packet_ends_it)
{
  agent.deny();
  CHECK_FALSE(agent.take(data()));
  CHECK_TRUE(agent.take(opening()));
  CHECK_EQUAL(1U, agent.locate().undecided);
  agent.accept();
  CHECK_TRUE(agent.take(data()));
  CHECK_TRUE(agent.locate().kind == relay_kind::found);
}

// Guards against packets for the wrong upstream of a flow that was opened at
// another one, since this one is draining.
TEST(relay_denial, opening_packet_that_is_not_admitted_does_not_end_it)
{
  auto draining = announcement(4);
  draining.draining = true;
  agent.core.announce(draining, 5000, start, agent.sink);
  agent.deny();
  CHECK_FALSE(agent.take(opening()));
  CHECK_FALSE(agent.take(data()));
  // The draining upstream keeps its flows.
  CHECK_TRUE(agent.take(data(2)));
}

// Guards against a reset of a flow that the upstream shows to be open.
TEST(relay_denial, packet_of_the_upstream_ends_it)
{
  agent.deny();
  CHECK_FALSE(agent.take(data()));
  agent.answer_to(data());
  CHECK_TRUE(agent.take(data()));
  // A bare acknowledgement makes no entry in the table of flows.
  agent.deny(2);
  CHECK_FALSE(agent.take(data(2)));
  auto acknowledgement = data(2);
  acknowledgement.payload_size = 0;
  agent.answer_to(acknowledgement);
  CHECK_TRUE(agent.take(data(2)));
}

// Guards against the denial of a flow that was opened at the new start.
TEST(relay_denial, start_of_the_upstream_ends_it)
{
  agent.deny();
  CHECK_FALSE(agent.take(data()));
  agent.start_upstream_again();
  CHECK_TRUE(agent.take(data()));
  agent.return_last(data());
  CHECK_FALSE(agent.take(data()));
}

// Guards against a reset of an open flow: a packet that an earlier start of the
// upstream returned comes late, when the flow is open at the present one and
// the agent has lost its entry.
TEST(relay_denial, packet_returned_by_an_earlier_start_denies_nothing)
{
  CHECK_TRUE(agent.take(data()));
  const auto late = agent.sink.delivered.back();
  CHECK_TRUE(agent.take(opening()));
  agent.accept();
  agent.start_upstream_again();
  CHECK_EQUAL(0U, agent.core.status(start).flows);
  agent.return_packet(data(), late);
  CHECK_TRUE(agent.take(data()));
}

// Guards against a reset of an open flow: a packet that came before its opening
// packet is returned after it.
TEST(relay_denial, packet_from_before_the_opening_packet_denies_nothing)
{
  CHECK_TRUE(agent.take(data()));
  const auto late = agent.sink.delivered.back();
  CHECK_TRUE(agent.take(opening()));
  agent.return_packet(data(), late);
  CHECK_EQUAL(1U, agent.core.status(start).flows);
  CHECK_TRUE(agent.take(data()));
  agent.accept();
  agent.return_packet(data(), late);
  CHECK_TRUE(agent.locate().kind == relay_kind::found);
  CHECK_TRUE(agent.take(data()));
  // A packet from after it shows that another upstream holds the flow.
  agent.return_last(data());
  CHECK_FALSE(agent.take(data()));
}

// Guards against the denial of a flow whose opening packet was refused first
// and accepted in its next copy, or accepted and refused in a copy.
TEST(relay_denial, returned_opening_packet_denies_nothing)
{
  CHECK_TRUE(agent.take(opening()));
  agent.return_last(opening());
  CHECK_EQUAL(1U, agent.locate().undecided);
  CHECK_TRUE(agent.take(opening(40001, 1)));
  agent.accept();
  CHECK_TRUE(agent.take(opening(40001, 2)));
  agent.return_last(opening(40001, 2));
  CHECK_TRUE(agent.locate().kind == relay_kind::found);
  CHECK_TRUE(agent.take(data()));
}

// Guards against the denial of a flow that the upstream has accepted by one
// copy of its opening packet, when its answer is lost and it returns the other
// copy.
TEST(relay_denial, admitted_opening_packet_ends_it_also_when_returned)
{
  agent.deny();
  CHECK_FALSE(agent.take(data()));
  CHECK_TRUE(agent.take(opening()));
  CHECK_TRUE(agent.take(opening(40001, 1)));
  agent.return_last(opening(40001, 1));
  CHECK_EQUAL(1U, agent.locate().undecided);
  CHECK_TRUE(agent.take(data()));
}

// Guards against a denial by a packet of which the agent no longer knows
// whether it was delivered before the opening packet.
TEST(relay_denial, returned_packet_of_a_forgotten_visit_denies_nothing)
{
  CHECK_TRUE(agent.take(data()));
  const auto late = agent.sink.delivered.back();
  CHECK_TRUE(agent.take(opening()));
  agent.accept();
  for (std::uint16_t port = 1; port <= 64; ++port)
    CHECK_TRUE(agent.take(data(port)));
  agent.return_packet(data(), late);
  CHECK_EQUAL(1U, agent.count_of(relay_event::unknown_bounce));
  CHECK_TRUE(agent.take(data()));
  CHECK_TRUE(agent.locate().kind == relay_kind::found);
}

// Guards against memory that grows with each search after a loss of power.
TEST(relay_denial, oldest_returned_flow_is_delivered_again)
{
  for (std::uint16_t port = 1; port <= 4; ++port)
    agent.deny(port);
  for (std::uint16_t port = 2; port <= 4; ++port)
    CHECK_FALSE(agent.take(data(port)));
  CHECK_TRUE(agent.take(data(1)));
}

TEST_GROUP(relay_denial_by_objectives)
{
  restarted_agent agent{admission_mode::objectives};

  /// Open flows with a request each, more than the upstream takes at once.
  void load()
  {
    for (std::uint16_t port = 1; port <= count; ++port)
      agent.accept(port);
    for (std::uint16_t port = 1; port <= count; ++port)
      agent.take(data(port));
  }

  void answer_all()
  {
    for (std::uint16_t port = 1; port <= count; ++port)
      agent.answer_to(data(port));
  }

  static constexpr std::uint16_t count = 30;
};

// Guards against a reset of an open flow whose opening packet was held, and
// against packets for this upstream while another one may hold the flow.
TEST(relay_denial_by_objectives, held_opening_packet_ends_it_when_admitted)
{
  agent.deny();
  load();
  CHECK_FALSE(agent.take(opening(), start, 1));
  CHECK_EQUAL(1U, agent.core.status(start).held_openings);
  CHECK_FALSE(agent.take(data()));
  answer_all();
  CHECK_EQUAL(0U, agent.core.status(start).held_openings);
  agent.accept();
  CHECK_TRUE(agent.take(data()));
  CHECK_TRUE(agent.locate().kind == relay_kind::found);
}

// Guards against a request that is lost while it waits, because a packet from
// before the opening packet of its flow is returned.
TEST(relay_denial_by_objectives, late_returned_packet_keeps_a_held_request)
{
  CHECK_TRUE(agent.take(data()));
  const auto late = agent.sink.delivered.back();
  CHECK_TRUE(agent.take(opening()));
  agent.accept();
  load();
  CHECK_FALSE(agent.take(data()));
  const auto held = agent.core.status(start).held_requests;
  agent.return_packet(data(), late);
  CHECK_EQUAL(held, agent.core.status(start).held_requests);
  const auto delivered = agent.sink.delivered.size();
  answer_all();
  CHECK_EQUAL(0U, agent.core.status(start).held_requests);
  CHECK_EQUAL(delivered + held, agent.sink.delivered.size());
}
