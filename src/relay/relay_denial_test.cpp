// Flows that an upstream has returned, at an agent that restarted beside it.

#include <toucanmill/relay/relay_core.hpp>

#include <CppUTest/TestHarness.h>

#include "relay_fixture_test.hpp"
#include "relay_visit_test.hpp"

using namespace toucanmill;
using namespace toucanmill::relay_test;

namespace
{

relay_options options()
{
  relay_options value;
  value.upstream.service = "notes";
  value.upstream.address = upstream_address;
  value.started = start; // after its upstream: it does not know all flows
  return value;
}

} // namespace

TEST_GROUP(relay_denial)
{
  relay_core core{options()};
  recording_sink sink;

  void setup() override
  {
    core.set_configuration(routes_to(5, {{"notes", 1}}));
    core.announce(announcement(3), 5000, start, sink);
  }

  /// Returns whether the packet reached the upstream.
  bool take(const flow_packet& packet, time_point now = start)
  {
    const auto before = sink.delivered.size();
    core.on_visit(visit(2), packet, now, sink);
    return sink.delivered.size() > before;
  }

  /// The upstream returns the packet that it got last.
  void return_last(const flow_packet& packet, time_point now = start)
  {
    core.on_upstream_packet({}, bounced(packet, sink.delivered.back()), now,
                            sink);
  }

  void deny(std::uint16_t port = 40001)
  {
    CHECK_TRUE(take(data(port)));
    return_last(data(port));
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
};

// Guards against searches that deliver a flow to the same wrong upstream at
// each attempt, because the restarted agent does not remember that its upstream
// has returned it.
TEST(relay_denial, returned_flow_is_not_delivered_again)
{
  deny();
  CHECK_FALSE(take(data()));
  CHECK_TRUE(sink.messages.back().header.kind == relay_kind::visit);
  CHECK_EQUAL(1, sink.messages.back().header.stop);
  CHECK_EQUAL(1U, count_of(relay_event::not_held));
  CHECK_EQUAL(0U, locate().undecided);
  CHECK_EQUAL(2U, count_of(relay_event::not_held));
  // Other flows may still be held.
  CHECK_EQUAL(1U, locate(2).undecided);
  CHECK_TRUE(take(data(2)));
}
