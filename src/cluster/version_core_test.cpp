#include <toucanmill/cluster/version_core.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <random>

#include <toucanmill/cluster/membership_core.hpp>

#include "test_support.hpp"

using namespace toucanmill;

namespace
{

using namespace std::chrono_literals;

constexpr format_support old_build{1, 1, 0};
constexpr format_support new_build{1, 2, 7};

/// A process of a mixed system that is replaced by the other build at times.
struct process
{
  std::string name;
  bool upgraded = false;
  time_point up_at;
};

/// Replaces and restarts processes at random; returns whether an old process,
/// up or restarting, ever met a raised version.
bool overlooks_an_old_process(std::uint64_t seed, version_options options,
                              bool& raised)
{
  std::mt19937_64 random(seed);
  std::vector<process> processes;
  for (int i = 0; i < 6; ++i)
    processes.push_back({"p" + std::to_string(i), false, time_point{}});
  version_core core(options);
  time_point now{};
  for (int second = 0; second < 900; ++second, now += 1s)
  {
    // Only upgrades in the second half, so that the version is raised.
    if (random() % 40 == 0)
    {
      auto& chosen = processes[random() % processes.size()];
      chosen.upgraded = second >= 450 || random() % 2 == 0;
      chosen.up_at = now + std::chrono::seconds(random() % 20);
    }
    if (second == 700)
      for (auto& item : processes)
        item.upgraded = true;
    if (random() % 200 == 0)
      core.on_leader();
    std::vector<version_member> members;
    for (const auto& item : processes)
      if (item.up_at <= now)
        members.push_back({item.name, item.upgraded ? new_build : old_build});
      else if (now + 10s < item.up_at)
        members.push_back({item.name, std::nullopt});
    if (!core.propose(1, 2, members, now))
      continue;
    raised = true;
    return std::any_of(processes.begin(), processes.end(),
                       [](const process& item)
                       {
                         return !item.upgraded;
                       });
  }
  return false;
}

int seeds_with_an_overlooked_process(version_options options, int& raised)
{
  int found = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed)
  {
    bool reached = false;
    found += overlooks_an_old_process(seed, options, reached) ? 1 : 0;
    raised += reached ? 1 : 0;
  }
  return found;
}

} // namespace

TEST_GROUP(version_core){};

// Guards against a raise while a process of the old build runs or restarts.
TEST(version_core, raises_only_once_no_process_is_of_the_old_build)
{
  int raised = 0;
  CHECK_EQUAL(0, seeds_with_an_overlooked_process({}, raised));
  CHECK_TRUE(raised > 100);
}

// Guards against a check above that passes without the mechanism.
TEST(version_core, old_processes_are_overlooked_without_waiting)
{
  int raised = 0;
  CHECK_TRUE(seeds_with_an_overlooked_process({60s, false}, raised) > 250);
  CHECK_TRUE(seeds_with_an_overlooked_process({0s, true}, raised) > 0);
}

// Guards against a version that is lowered, or raised past what members read.
TEST(version_core, proposes_only_higher_versions_that_all_read)
{
  version_core core({0s, true});
  const std::vector<version_member> mixed{{"a", format_support{1, 3, 0}},
                                          {"b", format_support{1, 2, 0}}};
  CHECK_TRUE(core.propose(1, 3, mixed, {}) == format_version{2});
  CHECK_FALSE(core.propose(2, 3, mixed, {}).has_value());
  CHECK_FALSE(core.propose(3, 3, mixed, {}).has_value());
  CHECK_TRUE(held_back_by(mixed, 3) == std::vector<std::string>{"b"});
  CHECK_TRUE(held_back_by({{"c", std::nullopt}}, 2) ==
             std::vector<std::string>{"c"});
}

// Guards against an upgrade that nobody has accepted and that closes the way
// back.
TEST(version_core, version_stays_until_raising_is_allowed)
{
  version_core core({0s, true, false});
  const std::vector<version_member> all{{"a", format_support{1, 2, 0}}};
  for (const auto at : {0s, 60s, 600s})
    CHECK_FALSE(core.propose(1, 2, all, time_point{at}).has_value());
}

// Guards against a refused node that loses its place while it still reports.
TEST(version_core, refused_node_stays_suspect)
{
  support::state_machine_fixture fixture;
  membership_core membership({});
  time_point now{};
  node_report report;
  report.identity = support::balancer(1);
  for (const auto& value : membership.on_report(fixture.state, report, now))
    fixture.apply(value);
  for (const auto end = now + 90s; now < end; now += 200ms)
  {
    membership.on_refused(report, now);
    for (const auto& value : membership.on_tick(fixture.state, now))
      fixture.apply(value);
  }
  const auto* record = fixture.state.find_node(node_id{1});
  CHECK_TRUE(record->state == node_state::suspect);
}

// Guards against snapshots that an earlier build can't tell from newer ones
// before the raise, and against a version that restored replicas forget.
TEST(version_core, snapshot_states_the_version_only_once_raised)
{
  support::state_machine_fixture fixture;
  const auto before = fixture.state.snapshot();
  CHECK_EQUAL(1, state_machine::restore(before).value().format());
  fixture.apply(raise_version{2});
  fixture.apply(raise_version{1});
  CHECK_EQUAL(2, fixture.state.format());
  const auto after = fixture.state.snapshot();
  CHECK_EQUAL(2, state_machine::restore(after).value().format());
  fixture.apply(raise_version{3});
  CHECK_TRUE(state_machine::restore(fixture.state.snapshot()).has_error());
}
