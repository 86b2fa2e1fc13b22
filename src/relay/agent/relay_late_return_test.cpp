// Packets that an upstream returns after a newer opening packet of their flow
// was delivered to it.

#include <toucanmill/relay/relay_core.hpp>

#include <CppUTest/TestHarness.h>

#include "../relay_fixture_test.hpp"
#include "relay_visit_test.hpp"

using namespace toucanmill;
using namespace toucanmill::relay_test;

TEST_GROUP(relay_late_return)
{
  relay_core core{agent_options(start)};
  recording_sink sink;

  void setup() override
  {
    // The first announcement: the agent knows all flows.
    core.set_configuration(routes_to(5, {{"notes", 1}}));
    core.announce(announcement(1), 5000, start, sink);
  }

  /// Returns the tag with which the packet was delivered, 0 if it was not.
  std::uint32_t take(const flow_packet& packet)
  {
    const auto before = sink.delivered.size();
    core.on_visit(visit(), packet, start, sink);
    return sink.delivered.size() > before ? sink.delivered.back() : 0;
  }

  void accept()
  {
    core.on_upstream_packet({}, acceptance(), start, sink);
  }

  void end_flow()
  {
    auto reset = answer(data());
    reset.resets = true;
    core.on_upstream_packet({}, reset, start, sink);
  }

  void return_packet(const flow_packet& packet, std::uint32_t tag)
  {
    core.on_upstream_packet({}, bounced(packet, tag), start, sink);
  }
};

// Guards against a reset of an open flow: its caller uses the address and port
// of an ended flow again, and a returned late packet of the ended flow makes
// the agent deny the new one.
TEST(relay_late_return, earlier_packet_of_an_ended_flow_keeps_the_new_flow)
{
  take(opening());
  accept();
  end_flow();
  const auto late = take(data());
  CHECK_TRUE(late != 0);
  CHECK_TRUE(take(opening()) != 0);
  accept();
  return_packet(data(), late);
  CHECK_TRUE(sink.messages.back().header.kind == relay_kind::missed);
  CHECK_EQUAL(1U, core.status(start).flows);
  CHECK_TRUE(take(data()) != 0);
}

// Guards against a new flow that is not counted, because the upstream refused
// an earlier copy of the opening packet that it then accepts.
TEST(relay_late_return, refused_earlier_copy_keeps_the_new_flow)
{
  const auto first = take(opening());
  const auto copy = take(opening(40001, 1));
  return_packet(opening(), first);
  CHECK_EQUAL(1U, core.status(start).flows);
  return_packet(opening(40001, 1), copy);
  CHECK_EQUAL(0U, core.status(start).flows);
}

// Guards against a flow that stays in the table though its upstream has
// returned a packet that came after its opening packet.
TEST(relay_late_return, later_packet_ends_the_flow)
{
  take(opening());
  accept();
  return_packet(data(), take(data()));
  CHECK_EQUAL(0U, core.status(start).flows);
  CHECK_EQUAL(0U, take(data()));
}
