// Announcements that may come from another start of the upstream, or from
// another writer.

#include "relay_visit_test.hpp"

#include <CppUTest/TestHarness.h>

using namespace toucanmill;
using namespace toucanmill::relay_test;

namespace
{

relay_options options()
{
  auto value = agent_options(start - 1s);
  value.upstream.data_centre = "north";
  return value;
}

} // namespace

TEST_GROUP(upstream_start)
{
  relay_core core{options()};
  recording_sink sink;

  announcement_verdict announce(std::uint64_t sequence,
                                const std::string& instance, std::uint64_t born,
                                time_point now)
  {
    auto value = announcement(sequence, instance, born);
    value.data_centre = "north";
    return core.announce(value, 100'000, now, sink);
  }

  /// The upstream i-1 has two open flows at `start`.
  void serve(std::uint64_t born)
  {
    core.set_configuration(routes_to(5, {{"notes", 1}}));
    announce(1, "i-1", born, start - 500ms);
    for (const std::uint16_t port : {1, 2})
    {
      core.on_visit(visit(), opening(port), start - 400ms, sink);
      core.on_upstream_packet({}, acceptance(port), start - 400ms, sink);
      core.on_upstream_packet({}, answer(data(port)), start - 400ms, sink);
    }
    announce(2, "i-1", born, start);
  }

  announcement_verdict drain(std::uint64_t sequence,
                             const std::string& instance, std::uint64_t born,
                             time_point now)
  {
    auto value = announcement(sequence, instance, born);
    value.data_centre = "north";
    value.draining = true;
    return core.announce(value, 100'000, now, sink);
  }

  bool takes_new_flow(std::uint16_t port, time_point now)
  {
    const auto before = sink.delivered.size();
    core.on_visit(visit(), opening(port), now, sink);
    return sink.delivered.size() > before;
  }

  void return_packet(std::uint16_t port, time_point now)
  {
    core.on_visit(visit(), data(port), now, sink);
    core.on_upstream_packet({}, bounced(data(port), sink.delivered.back()), now,
                            sink);
  }
};

// Guards against resets of open flows by the first announcement of an earlier
// start, which was held up on its way (review/7).
TEST(upstream_start, late_first_announcement_resets_no_flow)
{
  serve(0);
  announce(1, "i-0", 0, start + 500ms);
  CHECK_TRUE(announce(3, "i-1", 0, start + 1s) ==
             announcement_verdict::accepted);
  core.on_visit(visit(), opening(3), start + 1s, sink);
  CHECK_EQUAL(3U, sink.delivered.size());
  CHECK_TRUE(sink.resets.empty());
}

// Guards against callers that wait on flows that ended with their upstream:
// the new start has announced itself and returns a packet of one of them.
TEST(upstream_start, returned_packet_proves_the_new_start)
{
  serve(0);
  announce(1, "i-2", 0, start + 500ms);
  CHECK_TRUE(sink.resets.empty());
  return_packet(1, start + 600ms);
  CHECK_EQUAL(1U, sink.resets.size());
  CHECK_EQUAL(2U, sink.resets[0].first.caller.port);
  CHECK_TRUE(announce(2, "i-2", 0, start + 1s) ==
             announcement_verdict::accepted);
}

// Guards against the same in the other order.
TEST(upstream_start, new_start_after_a_returned_packet_is_accepted_at_once)
{
  serve(0);
  return_packet(1, start + 400ms);
  CHECK_TRUE(announce(1, "i-2", 0, start + 500ms) ==
             announcement_verdict::accepted);
  CHECK_EQUAL(1U, sink.resets.size());
}

// Guards against a returned packet of one flow, which the upstream has closed,
// that ends the others.
TEST(upstream_start, packet_of_another_flow_proves_the_current_start)
{
  serve(0);
  announce(1, "i-0", 0, start + 500ms);
  core.on_upstream_packet({}, answer(data(2)), start + 550ms, sink);
  return_packet(1, start + 600ms);
  CHECK_TRUE(sink.resets.empty());
}

// Guards against resets of open flows by an announcement of another writer,
// which lacks the birth (review/8).
TEST(upstream_start, announcement_without_a_birth_replaces_none_that_states_it)
{
  serve(1000);
  for (const std::uint64_t sequence : {1, 7})
    CHECK_TRUE(announce(sequence, "i-other", 0, start + 500ms) ==
               announcement_verdict::late);
  CHECK_TRUE(announce(9, "i-1", 0, start + 500ms) ==
             announcement_verdict::late);
  return_packet(1, start + 600ms);
  CHECK_TRUE(sink.resets.empty());
  CHECK_TRUE(announce(3, "i-1", 1000, start + 1s) ==
             announcement_verdict::accepted);
}

// Guards against an upstream that is ignored since another writer was heard
// before it.
TEST(upstream_start, upstream_replaces_another_writer_at_once)
{
  announce(1, "i-other", 0, start);
  CHECK_TRUE(announce(5, "i-1", 50'000, start + 500ms) ==
             announcement_verdict::accepted);
  CHECK_FALSE(core.status(start + 500ms).knows_all_flows);
}

// Guards against packets of open flows that a restarted agent denies since
// another writer's announcement was the first that it got.
TEST(upstream_start, single_announcement_without_a_birth_proves_no_start)
{
  announce(1, "i-1", 0, start);
  CHECK_FALSE(core.status(start).knows_all_flows);
  announce(2, "i-1", 0, start + 1s);
  CHECK_TRUE(core.status(start + 1s).knows_all_flows);
}

// Guards against an upstream of another data centre, which can't be the one
// beside the agent.
TEST(upstream_start, announcement_from_another_data_centre_is_foreign)
{
  serve(1000);
  auto value = announcement(1, "i-2", 90'000);
  value.data_centre = "south";
  CHECK_TRUE(core.announce(value, 100'000, start + 1s, sink) ==
             announcement_verdict::foreign);
  CHECK_TRUE(sink.resets.empty());
}

// Guards against a start that knows all flows by its birth although the clock
// was set back, so that it only appears to be younger than the agent.
TEST(upstream_start, start_with_many_announcements_is_no_young_one)
{
  announce(11, "i-1", 99'500, start);
  CHECK_FALSE(core.status(start).knows_all_flows);
}

// Guards against new flows at an upstream whose draining was acknowledged: it
// crashed, started again and drains at once (review/12).
TEST(upstream_start, acknowledged_draining_of_a_new_start_is_obeyed)
{
  serve(0);
  CHECK_TRUE(announce(1, "i-2", 0, start + 200ms) ==
             announcement_verdict::late);
  CHECK_TRUE(takes_new_flow(3, start + 300ms));
  CHECK_TRUE(drain(2, "i-2", 0, start + 400ms) == announcement_verdict::late);
  CHECK_FALSE(takes_new_flow(4, start + 500ms));
}

// Guards against an upstream that stays out of service because the draining of
// an earlier start was held up on its way.
TEST(upstream_start, next_announcement_overrules_a_late_draining)
{
  serve(0);
  drain(1, "i-0", 0, start + 200ms);
  CHECK_FALSE(takes_new_flow(3, start + 300ms));
  announce(3, "i-1", 0, start + 1s);
  CHECK_TRUE(takes_new_flow(4, start + 1s));
}

// Guards against another writer that takes the upstream out of service, and
// against an acknowledgement of a draining that is ignored.
TEST(upstream_start, draining_without_the_birth_is_not_acknowledged)
{
  serve(1000);
  CHECK_TRUE(drain(7, "i-other", 0, start + 200ms) ==
             announcement_verdict::unproven);
  CHECK_TRUE(takes_new_flow(3, start + 300ms));
}
