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

} // namespace

TEST_GROUP(group_core){};

// Guards against a wiped instance that never gets its vote back without an
// operator, and against a vote under its old id.
TEST(group_core, wiped_instance_becomes_a_voter_step_by_step)
{
  const auto wiped = replica(9, 3);
  auto step = plan_join(three, {}, wiped);
  CHECK_TRUE(step.standing == replica_standing::waiting);
  CHECK_TRUE((*step.next ==
              std::vector<replica_address>{replica(1, 1), replica(2, 2)}));
  step = plan_join(*step.next, {{3}}, wiped);
  CHECK_FALSE(step.next->back().voter);
  step = plan_join(*step.next, {{3}}, wiped);
  CHECK_TRUE(step.standing == replica_standing::learner);
  CHECK_TRUE(step.next->back().voter);
  step = plan_join(*step.next, {{3}}, wiped);
  CHECK_TRUE(step.standing == replica_standing::voter);
  CHECK_FALSE(step.next.has_value());
}

// Guards against an id that was removed and joins again with its old log.
TEST(group_core, removed_id_must_return_under_a_new_one)
{
  const auto step = plan_join(three, {{7}}, replica(7, 7));
  CHECK_TRUE(step.standing == replica_standing::removed);
  CHECK_FALSE(step.next.has_value());
}
