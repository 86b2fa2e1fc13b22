#include <toucanmill/cluster/membership_core.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <optional>

#include "removal_limit.hpp"
#include "test_support.hpp"

using namespace toucanmill;
using namespace toucanmill::support;

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

time_point at(duration since_start)
{
  return time_point{since_start};
}

node_report report_of(node_identity identity)
{
  node_report report;
  report.identity = std::move(identity);
  return report;
}

} // namespace

TEST_GROUP(membership)
{
  state_machine_fixture control;
  membership_core membership{membership_options{}};

  void setup() override
  {
    control.change(
        create_service{"charts", address_of(1000), service_kind::http, 64});
    membership.on_leader(control.state, at({}));
  }

  void run(const std::vector<command>& commands)
  {
    for (const auto& value : commands)
      control.apply(value);
  }

  void report(const node_report& value, duration since_start)
  {
    run(membership.on_report(control.state, value, at(since_start)));
  }

  void report_upstreams(std::uint32_t first, std::uint32_t last,
                        duration since_start)
  {
    for (auto i = first; i <= last; ++i)
      report(report_of(agent(i, "charts")), since_start);
  }

  std::size_t count(node_state state) const
  {
    const auto nodes = control.state.nodes();
    return static_cast<std::size_t>(std::count_if(nodes.begin(), nodes.end(),
                                                  [&](const auto* node)
                                                  {
                                                    return node->state == state;
                                                  }));
  }

  std::uint32_t owned(std::uint32_t number) const
  {
    const auto& table = *control.state.find_service("charts");
    return static_cast<std::uint32_t>(std::count_if(
        table.buckets.begin(), table.buckets.end(),
        [&](const chain& bucket)
        {
          return table.holders[bucket.holders[0]].node == node_id{number};
        }));
  }
};

// Guards against a failed upstream that keeps its buckets, and against one that
// only control can't reach and that is removed from the table: a balancer would
// take the denials of the others as a proof that its flows are gone.
TEST(membership, expired_lease_leads_to_suspect_then_gone)
{
  report_upstreams(1, 3, {});
  report_upstreams(2, 3, seconds(3));
  run(membership.on_tick(control.state, at(seconds(3))));
  CHECK_EQUAL(1U, count(node_state::suspect));
  CHECK_EQUAL(0U, owned(1));
  const auto& table = *control.state.find_service("charts");
  CHECK_TRUE(table.holders[0].suspect);
  for (int second = 4; second <= 302; ++second)
  {
    CHECK_EQUAL(0U, count(node_state::gone));
    CHECK_EQUAL(3U, table.holders.size());
    report_upstreams(2, 3, seconds(second));
    run(membership.on_tick(control.state, at(seconds(second))));
  }
  report_upstreams(2, 3, seconds(304));
  run(membership.on_tick(control.state, at(seconds(304))));
  CHECK_EQUAL(1U, count(node_state::gone));
  CHECK_EQUAL(2U, table.holders.size());
}

// Guards against a lost upstream that, while it is still listed, keeps the next
// one that fails from becoming suspect.
TEST(membership, long_suspect_does_not_count_towards_the_removal_limit)
{
  report_upstreams(1, 4, {});
  for (int second = 1; second <= 40; ++second)
  {
    report_upstreams(2, 4, seconds(second));
    run(membership.on_tick(control.state, at(seconds(second))));
  }
  for (int second = 41; second <= 44; ++second)
  {
    report_upstreams(3, 4, seconds(second));
    run(membership.on_tick(control.state, at(seconds(second))));
  }
  CHECK_EQUAL(2U, count(node_state::suspect));
  CHECK_EQUAL(0U, owned(2));
}

// Guards against a suspect that stays suspect although it reports again.
TEST(membership, suspect_returns_with_its_next_report)
{
  report_upstreams(1, 3, {});
  report_upstreams(2, 3, seconds(3));
  run(membership.on_tick(control.state, at(seconds(3))));
  report_upstreams(1, 1, seconds(10));
  CHECK_EQUAL(3U, count(node_state::active));
}

// Guards against removing healthy upstreams when reports are lost.
TEST(membership, removal_is_limited_and_fails_open)
{
  constexpr double third = 1.0 / 3;
  CHECK_EQUAL(0U, allowed_removals(1, 0, 1, third));
  CHECK_EQUAL(1U, allowed_removals(2, 0, 1, third));
  CHECK_EQUAL(2U, allowed_removals(7, 0, 3, third));
  CHECK_EQUAL(1U, allowed_removals(7, 1, 2, third));
  CHECK_EQUAL(0U, allowed_removals(7, 2, 1, third));
  CHECK_EQUAL(0U, allowed_removals(7, 0, 4, third));
  report_upstreams(1, 7, {});
  run(membership.on_tick(control.state, at(seconds(5))));
  CHECK_EQUAL(7U, count(node_state::active));
}

// Guards against a new leader that marks every node as suspect.
TEST(membership, new_leader_grants_full_leases)
{
  report_upstreams(1, 3, {});
  membership.on_leader(control.state, at(seconds(60)));
  run(membership.on_tick(control.state, at(seconds(62))));
  CHECK_EQUAL(3U, count(node_state::active));
}

// Guards against a report of an older incarnation that renews the lease of the
// newer one.
TEST(membership, report_of_older_incarnation_is_ignored)
{
  report(report_of(agent(1, "charts", 5)), {});
  CHECK_TRUE(membership
                 .on_report(control.state, report_of(agent(1, "charts", 4)),
                            at(seconds(2)))
                 .empty());
  CHECK_FALSE(membership.liveness(at(seconds(3))).front().lease_valid);
  control.apply(set_node_state{node_id{1}, incarnation{5}, node_state::gone});
  membership.on_leader(control.state, at(seconds(4)));
  report(report_of(agent(1, "charts", 4)), seconds(4));
  CHECK_TRUE(membership.liveness(at(seconds(4))).empty());
  // The registration of incarnation 6 is proposed but not yet applied.
  membership.on_report(control.state, report_of(agent(1, "charts", 6)),
                       at(seconds(5)));
  CHECK_TRUE(membership
                 .on_report(control.state, report_of(agent(1, "charts", 5)),
                            at(seconds(6)))
                 .empty());
}

// Guards against losing flows that an agent accepted before it received the
// table in which the bucket moved.
TEST(membership, release_needs_a_table_as_new_as_the_move)
{
  report_upstreams(1, 2, {});
  const auto before = control.state.position();
  control.change(drain_node{"agent-1"});
  const auto& table = *control.state.find_service("charts");
  const auto length = [&]
  {
    return table.buckets[0].size;
  };
  CHECK_EQUAL(2, length());
  auto draining_report = report_of(agent(1, "charts"));
  draining_report.applied = before;
  report(draining_report, milliseconds(500));
  CHECK_EQUAL(2, length());
  draining_report.applied = control.state.position();
  draining_report.held_buckets = {0};
  report(draining_report, seconds(1));
  CHECK_EQUAL(2, length());
  CHECK_EQUAL(1, table.buckets[1].size);
  draining_report.held_buckets = {};
  report(draining_report, milliseconds(1500));
  CHECK_EQUAL(1, length());
}

// Guards against marking a leaving agent as gone while it still owns buckets in
// the table that it has applied.
TEST(membership, leaving_agent_is_gone_only_after_it_applied_its_drain)
{
  report_upstreams(1, 2, {});
  auto leaving = report_of(agent(1, "charts"));
  leaving.applied = control.state.position();
  leaving.leaving = leaving.empty = true;
  report(leaving, seconds(1));
  CHECK_EQUAL(1U, count(node_state::draining));
  report(leaving, milliseconds(1500));
  CHECK_EQUAL(1U, count(node_state::draining));
  leaving.applied = control.state.position();
  report(leaving, seconds(2));
  CHECK_EQUAL(1U, count(node_state::gone));
}

// Guards against a joining upstream that gets its full share at once, or never.
TEST(membership, joining_upstream_starts_slowly)
{
  const auto report_and_tick = [&](std::uint32_t last, int second)
  {
    report_upstreams(1, last, seconds(second));
    run(membership.on_tick(control.state, at(seconds(second))));
  };
  for (int second = 0; second < 30; ++second)
    report_and_tick(3, second);
  CHECK_TRUE(owned(1) <= 22 && owned(1) >= 21);
  report_and_tick(4, 30);
  report_and_tick(4, 31);
  CHECK_TRUE(owned(4) <= 4);
  for (int second = 32; second < 45; ++second)
    report_and_tick(4, second);
  CHECK_EQUAL(16U, owned(4));
}

// Guards against in_force() being true while a node with a valid lease still
// uses an older table.
TEST(membership, in_force_waits_for_every_live_node)
{
  auto one = report_of(agent(1, "charts"));
  auto two = report_of(balancer(2));
  one.applied = {1, 10};
  two.applied = {1, 9};
  report(one, {});
  report(two, {});
  CHECK_FALSE(membership.in_force(10, at(seconds(1))));
  two.applied = {1, 10};
  report(two, seconds(1));
  CHECK_TRUE(membership.in_force(10, at(seconds(1))));
}

// Guards against former services that are forgotten while a flow may be open
// that an earlier table led to them: one node has not applied the later one, is
// silent, or applied it too short a time ago.
TEST(membership, table_settles_once_all_nodes_have_had_it_for_a_flow_lifetime)
{
  auto one = report_of(agent(1, "charts"));
  auto two = report_of(balancer(2));
  const auto tick = [&](int second)
  {
    report(one, seconds(second));
    report(two, seconds(second));
    run(membership.on_tick(control.state, at(seconds(second))));
  };
  one.applied = two.applied = control.state.position();
  const auto first = one.applied.index;
  for (int second = 0; second < 75; ++second)
    tick(second);
  CHECK_EQUAL(0U, membership.settled_index());
  tick(75);
  CHECK_EQUAL(first, membership.settled_index());

  control.change(create_service{"later", address_of(1001), {}, 16});
  one.applied = control.state.position();
  for (int second = 76; second < 300; ++second)
    tick(second);
  CHECK_TRUE(membership.settled_index() < one.applied.index);
  two.applied = one.applied;
  for (int second = 300; second < 500; ++second)
    tick(second);
  CHECK_EQUAL(one.applied.index, membership.settled_index());

  control.change(create_service{"last", address_of(1002), {}, 16});
  two.applied = control.state.position();
  for (int second = 500; second < 700; ++second)
  {
    report(two, seconds(second));
    run(membership.on_tick(control.state, at(seconds(second))));
  }
  CHECK_TRUE(membership.settled_index() < two.applied.index);
}

// Guards against a leader that counts what nodes told the one before it.
TEST(membership, new_leader_does_not_know_what_has_settled)
{
  auto one = report_of(balancer(2));
  one.applied = control.state.position();
  for (int second = 0; second < 80; ++second)
  {
    report(one, seconds(second));
    run(membership.on_tick(control.state, at(seconds(second))));
  }
  CHECK_TRUE(membership.settled_index() > 0);
  membership.on_leader(control.state, at(seconds(80)));
  CHECK_EQUAL(0U, membership.settled_index());
}
