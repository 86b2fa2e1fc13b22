// Calls by which an upstream announces that it ends. They may be late, of an
// earlier start of the same instance.

#include "relay_visit_test.hpp"

#include <CppUTest/TestHarness.h>

using namespace toucanmill;
using namespace toucanmill::relay_test;

TEST_GROUP(upstream_end)
{
  relay_core core{agent_options(start - 1s)};
  recording_sink sink;

  void announce(std::uint64_t sequence, time_point now, bool draining = false)
  {
    auto value = announcement(sequence, "i-1", 1000);
    value.draining = draining;
    core.announce(value, 100'000, now, sink);
  }

  void setup() override
  {
    core.set_configuration(routes_to(5, {{"notes", 1}}));
    announce(1, start);
    core.on_visit(visit(), opening(1), start, sink);
    core.on_upstream_packet({}, acceptance(1), start, sink);
    core.on_upstream_packet({}, answer(data(1)), start, sink);
  }

  bool takes_opening(std::uint16_t port, time_point now)
  {
    const auto before = sink.delivered.size();
    core.on_visit(visit(), opening(port), now, sink);
    return sink.delivered.size() > before;
  }
};

// Guards against resets of open flows, and against a living upstream whose
// announcements are ignored, by the late end of an earlier start (review/9).
TEST(upstream_end, late_end_leaves_a_living_upstream_as_it_is)
{
  core.leave("i-1", start + 500ms, sink);
  for (std::uint64_t second = 1; second < 10; ++second)
  {
    announce(1 + second, start + second * 1s);
    core.on_tick(start + second * 1s, sink);
  }
  CHECK_TRUE(sink.resets.empty());
  CHECK_FALSE(core.status(start + 9s).leave_pending);
  CHECK_TRUE(takes_opening(2, start + 9s));
}

// Guards against the same while the upstream drains, between two of its
// announcements.
TEST(upstream_end, late_end_leaves_the_flows_of_a_draining_upstream)
{
  announce(2, start + 1s, true);
  core.leave("i-1", start + 1100ms, sink);
  for (std::uint64_t second = 2; second < 10;
       second += 2) // every other is lost
  {
    // Just before the announcement, when the silence is longest.
    core.on_tick(start + second * 1s + 899ms, sink);
    announce(1 + second, start + second * 1s + 900ms, true);
  }
  CHECK_TRUE(sink.resets.empty());
}

// Guards against callers that wait on flows of an upstream that has ended.
TEST(upstream_end, silent_upstream_ends_with_its_flows)
{
  announce(2, start + 1s, true);
  core.leave("i-1", start + 1100ms, sink);
  CHECK_FALSE(core.status(start + 1100ms).ended);
  core.on_tick(start + 4s, sink);
  CHECK_TRUE(core.status(start + 4s).ended);
  CHECK_EQUAL(1U, sink.resets.size());
}

// Guards against a node that stays in the tables although its upstream has
// nothing left to end.
TEST(upstream_end, draining_upstream_without_flows_ends_at_once)
{
  announce(2, start + 1s, true);
  auto last = answer(data(1));
  last.resets = true;
  core.on_upstream_packet({}, last, start + 1s, sink);
  core.leave("i-1", start + 1100ms, sink);
  CHECK_TRUE(core.status(start + 1100ms).ended);
}

// Guards against new flows for an upstream that has ended.
TEST(upstream_end, leaving_upstream_gets_no_new_flows_until_it_shows_life)
{
  core.leave("i-1", start + 500ms, sink);
  CHECK_FALSE(takes_opening(2, start + 550ms));
  core.on_upstream_packet({}, answer(data(1)), start + 560ms, sink);
  CHECK_FALSE(takes_opening(3, start + 570ms));
  core.on_upstream_packet({}, answer(data(1)), start + 700ms, sink);
  CHECK_TRUE(takes_opening(4, start + 710ms));
}
