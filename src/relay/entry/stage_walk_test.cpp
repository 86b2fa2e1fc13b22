#include <toucanmill/relay/stage_walk.hpp>

#include <CppUTest/TestHarness.h>

using namespace toucanmill;

namespace
{

using stage_numbers = std::vector<std::size_t>;

std::vector<search_stage> stages_of(std::size_t live, std::size_t suspect)
{
  std::vector<search_stage> stages(live + suspect);
  for (std::size_t i = live; i < stages.size(); ++i)
    stages[i].health = holder_health::suspect;
  return stages;
}

} // namespace

TEST_GROUP(stage_walk){};

// Guards against messages to all agents for each of the flows that the first
// stage holds, and against a search that visits many stages one by one.
TEST(stage_walk, rounds_grow)
{
  stage_walk walk(stages_of(7, 0));
  CHECK_TRUE(walk.start_round() == stage_numbers({0}));
  CHECK_TRUE(walk.start_round().empty());
  CHECK_TRUE(walk.on_missed(0));
  CHECK_TRUE(walk.start_round() == stage_numbers({1, 2, 3, 4}));
  for (std::size_t stage = 1; stage < 5; ++stage)
    CHECK_TRUE(walk.on_missed(stage));
  CHECK_FALSE(walk.finished());
  CHECK_TRUE(walk.start_round() == stage_numbers({5, 6}));
}

// Guards against an answer that counts twice and ends a search early.
TEST(stage_walk, repeated_answer_is_refused)
{
  stage_walk walk(stages_of(2, 0));
  walk.start_round();
  CHECK_TRUE(walk.on_missed(0));
  CHECK_FALSE(walk.on_missed(0));
  CHECK_FALSE(walk.on_missed(1));
  CHECK_FALSE(walk.on_missed(9));
}

// Guards against packets lost at dead agents before all sound ones were asked.
TEST(stage_walk, stages_of_other_health_are_in_a_later_round)
{
  stage_walk walk(stages_of(2, 3));
  walk.start_round();
  walk.on_missed(0);
  CHECK_TRUE(walk.start_round() == stage_numbers({1}));
  walk.on_missed(1);
  CHECK_TRUE(walk.start_round() == stage_numbers({2, 3, 4}));
}

// Guards against a search that never gets past stages whose answers were lost.
TEST(stage_walk, abandoned_round_names_the_stages_without_an_answer)
{
  stage_walk walk(stages_of(7, 0));
  walk.start_round();
  walk.on_missed(0);
  walk.start_round();
  walk.on_missed(2);
  CHECK_TRUE(walk.abandon_round() == stage_numbers({1, 3, 4}));
  walk.skip(1);
  walk.skip(3);
  CHECK_TRUE(walk.start_round() == stage_numbers({4, 5, 6}));
  for (const std::size_t stage : {4, 5, 6})
    CHECK_TRUE(walk.on_missed(stage));
  CHECK_TRUE(walk.finished());
}

// Guards against a reset while agents that could not tell were not asked again.
TEST(stage_walk, added_stage_keeps_the_walk_open)
{
  stage_walk walk(stages_of(1, 0));
  walk.start_round();
  walk.on_missed(0);
  walk.add(holder_health::live);
  CHECK_FALSE(walk.finished());
  CHECK_TRUE(walk.start_round() == stage_numbers({1}));
}
