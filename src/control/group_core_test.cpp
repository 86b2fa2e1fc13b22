#include <toucanmill/control/group_core.hpp>

#include <CppUTest/TestHarness.h>

using namespace toucanmill;

namespace
{

replica_address replica(std::uint64_t id, std::uint32_t address,
                        bool voter = true)
{
  return {{id}, {{address}, 7720}, voter};
}

constexpr duration dead = std::chrono::seconds(2);
constexpr duration long_dead = std::chrono::seconds(20);

const std::vector<replica_address> three = {replica(1, 1), replica(2, 2),
                                            replica(3, 3)};

replicated_log_status status_of(std::vector<replica_address> group,
                                std::vector<replica_contact_age> contact_ages,
                                std::vector<replica_id> removed = {})
{
  replicated_log_status status;
  status.group = std::move(group);
  status.contact_ages = std::move(contact_ages);
  status.removed = std::move(removed);
  return status;
}

} // namespace

TEST_GROUP(group_core){};

// Guards against an instance with a wiped disk that does not become a voter
// again without an operator, or that votes under its old id, and against a
// group of two voters, or of four with the lost one, in between: the next lost
// disk would end the group.
TEST(group_core, wiped_instance_becomes_a_voter_step_by_step)
{
  const auto wiped = replica(9, 3);
  auto step = plan_join(status_of(three, {}), {wiped});
  CHECK_TRUE(step.standing == replica_standing::waiting);
  auto expected = three;
  expected.push_back(replica(9, 3, false));
  CHECK_TRUE(*step.next == expected);
  const std::vector<replica_contact_age> ages = {{{3}, dead}};
  CHECK_FALSE(plan_removal(status_of(expected, ages)).has_value());
  step = plan_join(status_of(expected, ages), {wiped});
  CHECK_TRUE(step.standing == replica_standing::learner);
  expected = {replica(1, 1), replica(2, 2), replica(9, 3)};
  CHECK_TRUE(*step.next == expected);
  step = plan_join(status_of(expected, {}), {wiped});
  CHECK_TRUE(step.standing == replica_standing::voter);
  CHECK_FALSE(step.next.has_value());
}

// Guards against a lost disk that is never replaced while another voter is
// silent: it can't confirm that the lost id is gone.
TEST(group_core, wiped_instance_votes_beside_its_old_id_if_another_is_silent)
{
  const auto options = make_group_options(2);
  std::vector<replica_address> five = three;
  five.push_back(replica(4, 4));
  five.push_back(replica(5, 5));
  auto group = five;
  group.push_back(replica(9, 3, false));
  const std::vector<replica_contact_age> ages = {{{3}, dead}, {{5}, dead}};
  const auto step = plan_join(status_of(group, ages), {replica(9, 3)}, options);
  group.back().voter = true;
  CHECK_TRUE(*step.next == group);
}

// Guards against a lost id that stays a voter until it was silent for long
// enough, though its successor is a voter.
TEST(group_core, replaced_id_is_removed_at_once)
{
  auto four = three;
  four.push_back(replica(9, 3));
  CHECK_TRUE(
      plan_removal(status_of(four, {{{3}, dead / 10}, {{9}, duration{0}}}))
          .has_value());
  CHECK_TRUE(*plan_removal(status_of(
                 four, {{{3}, duration{0}}, {{9}, dead / 10}})) == three);
}

// Guards against ids that add up at an endpoint whose disk is lost twice.
TEST(group_core, learner_at_the_same_endpoint_is_removed_first)
{
  auto four = three;
  four.push_back(replica(9, 3, false));
  const auto step = plan_join(status_of(four, {}), {replica(10, 3)});
  CHECK_TRUE(*step.next == three);
}

// Guards against an instance that joins late although the group can spare the
// id that it had before.
TEST(group_core, replaced_id_is_removed_first_if_enough_voters_remain)
{
  auto four = three;
  four.push_back(replica(4, 4));
  const auto step = plan_join(status_of(four, {}), {replica(9, 4)});
  CHECK_TRUE(*step.next == three);
}

// Guards against a removed id that rejoins with its old log.
TEST(group_core, removed_id_cannot_rejoin)
{
  const auto step = plan_join(status_of(three, {}, {{7}}), {replica(7, 7)});
  CHECK_TRUE(step.standing == replica_standing::removed);
  CHECK_FALSE(step.next.has_value());
}

// Guards against losing the quorum because replaced instances stay in the
// group: after two replacements, only 3 of 6 voters were live.
TEST(group_core, silent_voter_is_removed_if_enough_are_live)
{
  CHECK_FALSE(plan_removal(status_of(three, {{{3}, dead}})).has_value());
  auto four = three;
  four.push_back(replica(9, 9));
  const auto next = plan_removal(status_of(four, {{{3}, dead}}));
  CHECK_TRUE((*next == std::vector<replica_address>{
                           replica(1, 1), replica(2, 2), replica(9, 9)}));
  CHECK_FALSE(plan_removal(status_of(four, {{{3}, dead / 2}})).has_value());
}

// Guards against a group of two voters, which permanently loses its quorum with
// one disk.
TEST(group_core, group_never_shrinks_below_three)
{
  CHECK_FALSE(plan_removal(status_of(three, {{{3}, long_dead}})).has_value());
  auto four = three;
  four.push_back(replica(4, 4));
  CHECK_FALSE(
      plan_removal(status_of(four, {{{3}, dead}, {{4}, dead}})).has_value());
}

// Guards against an instance that was stopped on purpose but still counts as a
// voter when another one fails right after it.
TEST(group_core, stopping_voter_leaves_if_enough_remain)
{
  CHECK_FALSE(plan_leave(status_of(three, {}), {3}).has_value());
  auto four = three;
  four.push_back(replica(4, 4));
  CHECK_FALSE(plan_leave(status_of(four, {{{2}, dead}}), {3}).has_value());
  const auto next = plan_leave(status_of(four, {}), {3});
  CHECK_EQUAL(3U, next->size());
  CHECK_FALSE(plan_leave(status_of(four, {}), {8}).has_value());
}

// Guards against a group that must tolerate two losses but shrinks until it
// tolerates only one.
TEST(group_core, group_keeps_enough_voters_for_tolerated_losses)
{
  const auto options = make_group_options(2);
  auto six = three;
  for (std::uint32_t i = 4; i <= 6; ++i)
    six.push_back(replica(i, i));
  CHECK_TRUE(plan_removal(status_of(six, {{{3}, dead}}), options).has_value());
  CHECK_FALSE(plan_removal(status_of(six, {{{2}, dead}, {{3}, dead}}), options)
                  .has_value());
}

// Guards against voters whose votes are lost when the process restarts.
TEST(group_core, instance_without_a_disk_stays_a_learner)
{
  auto four = three;
  four.push_back(replica(4, 4, false));
  const auto step = plan_join(status_of(four, {}), {replica(4, 4), false});
  CHECK_TRUE(step.standing == replica_standing::learner);
  CHECK_FALSE(step.next.has_value());
}

// Guards against seeds without a disk that stay voters of the initial group
// permanently.
TEST(group_core, voter_without_a_disk_is_removed_with_enough_other_voters)
{
  const join_request second{replica(2, 2), false};
  CHECK_FALSE(plan_join(status_of(three, {}), second).next.has_value());
  auto four = three;
  four.push_back(replica(4, 4));
  const auto step = plan_join(status_of(four, {}), second);
  CHECK_TRUE((*step.next == std::vector<replica_address>{
                                replica(1, 1), replica(3, 3), replica(4, 4)}));
  CHECK_FALSE(
      plan_join(status_of(four, {{{4}, dead}}), second).next.has_value());
}

// Guards against a quorum that grows with every added instance.
TEST(group_core, instances_beyond_max_voters_stay_learners)
{
  std::vector<replica_address> nine;
  for (std::uint32_t i = 1; i <= 9; ++i)
    nine.push_back(replica(i, i));
  nine.push_back(replica(10, 10, false));
  const auto step = plan_join(status_of(nine, {}), {replica(10, 10)});
  CHECK_TRUE(step.standing == replica_standing::learner);
  CHECK_FALSE(step.next.has_value());
}

// Guards against an acknowledgement that rests on memory alone while instances
// with a disk are about to become voters: the loss of two seeds loses it.
TEST(group_core, change_waits_until_voters_have_disks)
{
  constexpr auto soon = std::chrono::milliseconds(100);
  constexpr auto later = std::chrono::seconds(3);
  auto status = status_of(three, {});
  CHECK_FALSE(awaits_disks(status, soon, soon));
  status.in_memory = {{1}, {2}, {3}};
  CHECK_TRUE(awaits_disks(status, soon, soon));
  status.group.push_back(replica(4, 4, false));
  CHECK_TRUE(awaits_disks(status, later, later));
  status.group.back().voter = true;
  CHECK_TRUE(awaits_disks(status, later, later));
  // One voter with a disk has replaced one without; the next has not asked yet.
  status.group = {replica(2, 2), replica(3, 3), replica(4, 4)};
  CHECK_TRUE(awaits_disks(status, later, soon));
  status.group = {replica(4, 4), replica(5, 5), replica(6, 6),
                  replica(1, 1, false)};
  CHECK_FALSE(awaits_disks(status, soon, soon));
}

// Guards against a group that never takes a change because it has fewer
// instances with a disk than it needs, or one that can't become a voter.
TEST(group_core, change_does_not_wait_for_disks_that_are_missing)
{
  const group_options options;
  auto status = status_of(three, {});
  status.in_memory = {{1}, {2}, {3}};
  const auto quiet = options.disk_join_time;
  CHECK_FALSE(awaits_disks(status, quiet, quiet));
  status.in_memory = {{3}};
  CHECK_FALSE(awaits_disks(status, quiet, quiet));
  status.group.push_back(replica(4, 4, false));
  CHECK_TRUE(awaits_disks(status, quiet, quiet));
  CHECK_FALSE(awaits_disks(status, options.disk_vote_time, duration{0}));
}
