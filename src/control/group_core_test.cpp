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

const std::vector<replica_address> three = {replica(1, 1), replica(2, 2),
                                            replica(3, 3)};

replicated_log_status status_of(std::vector<replica_address> group,
                                std::vector<replica_silence> silences,
                                std::vector<replica_id> removed = {})
{
  replicated_log_status status;
  status.group = std::move(group);
  status.silences = std::move(silences);
  status.removed = std::move(removed);
  return status;
}

} // namespace

TEST_GROUP(group_core){};

// Guards against a wiped instance that never gets its vote back without an
// operator, and against a vote under its old id.
TEST(group_core, wiped_instance_becomes_a_voter_step_by_step)
{
  const auto wiped = replica(9, 3);
  auto step = plan_join(status_of(three, {}), {wiped});
  CHECK_TRUE(step.standing == replica_standing::waiting);
  CHECK_TRUE((*step.next ==
              std::vector<replica_address>{replica(1, 1), replica(2, 2)}));
  step = plan_join(status_of(*step.next, {}, {{3}}), {wiped});
  CHECK_FALSE(step.next->back().voter);
  step = plan_join(status_of(*step.next, {}, {{3}}), {wiped});
  CHECK_TRUE(step.standing == replica_standing::learner);
  CHECK_TRUE(step.next->back().voter);
  step = plan_join(status_of(*step.next, {}, {{3}}), {wiped});
  CHECK_TRUE(step.standing == replica_standing::voter);
  CHECK_FALSE(step.next.has_value());
}

// Guards against an id that was removed and joins again with its old log.
TEST(group_core, removed_id_must_return_under_a_new_one)
{
  const auto step = plan_join(status_of(three, {}, {{7}}), {replica(7, 7)});
  CHECK_TRUE(step.standing == replica_standing::removed);
  CHECK_FALSE(step.next.has_value());
}

namespace
{

constexpr duration dead = std::chrono::seconds(2);
constexpr duration long_dead = std::chrono::seconds(20);

} // namespace

// Guards against a group that loses its quorum because instances that were
// replaced stay in it (cpl-obsnet, two replacements: 3 of 6 voters left).
TEST(group_core, replaced_voter_leaves_soon)
{
  CHECK_FALSE(plan_removal(status_of(three, {{{3}, dead}})).has_value());
  auto four = three;
  four.push_back(replica(9, 9));
  const auto next = plan_removal(status_of(four, {{{3}, dead}}));
  CHECK_TRUE((*next == std::vector<replica_address>{
                           replica(1, 1), replica(2, 2), replica(9, 9)}));
  CHECK_FALSE(plan_removal(status_of(four, {{{3}, dead / 2}})).has_value());
}

// Guards against a group of two voters, which one lost disk ends for good.
TEST(group_core, group_never_shrinks_below_three)
{
  CHECK_FALSE(plan_removal(status_of(three, {{{3}, long_dead}})).has_value());
  auto four = three;
  four.push_back(replica(4, 4));
  CHECK_FALSE(
      plan_removal(status_of(four, {{{3}, dead}, {{4}, dead}})).has_value());
}

// Guards against an instance that was replaced as planned and counts as a voter
// when the next one is lost right after it.
TEST(group_core, stopping_voter_leaves_if_enough_stay)
{
  CHECK_FALSE(plan_leave(status_of(three, {}), {3}).has_value());
  auto four = three;
  four.push_back(replica(4, 4));
  CHECK_FALSE(plan_leave(status_of(four, {{{2}, dead}}), {3}).has_value());
  const auto next = plan_leave(status_of(four, {}), {3});
  CHECK_EQUAL(3U, next->size());
  CHECK_FALSE(plan_leave(status_of(four, {}), {8}).has_value());
}

// Guards against a group that tolerates two losses and shrinks until it
// tolerates one.
TEST(group_core, group_keeps_the_voters_that_its_tolerance_needs)
{
  const auto options = make_group_options(2);
  auto six = three;
  for (std::uint32_t i = 4; i <= 6; ++i)
    six.push_back(replica(i, i));
  CHECK_TRUE(plan_removal(status_of(six, {{{3}, dead}}), options).has_value());
  CHECK_FALSE(plan_removal(status_of(six, {{{2}, dead}, {{3}, dead}}), options)
                  .has_value());
}

// Guards against votes that are forgotten with the process.
TEST(group_core, instance_without_a_disk_stays_a_learner)
{
  auto four = three;
  four.push_back(replica(4, 4, false));
  const auto step = plan_join(status_of(four, {}), {replica(4, 4), false});
  CHECK_TRUE(step.standing == replica_standing::learner);
  CHECK_FALSE(step.next.has_value());
}

// Guards against a first group whose seeds have no disk and vote for ever.
TEST(group_core, voter_without_a_disk_leaves_once_enough_others_vote)
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

// Guards against a quorum that grows with every instance of a large system.
TEST(group_core, instances_beyond_the_most_voters_stay_learners)
{
  std::vector<replica_address> nine;
  for (std::uint32_t i = 1; i <= 9; ++i)
    nine.push_back(replica(i, i));
  nine.push_back(replica(10, 10, false));
  const auto step = plan_join(status_of(nine, {}), {replica(10, 10)});
  CHECK_TRUE(step.standing == replica_standing::learner);
  CHECK_FALSE(step.next.has_value());
}
