// The last list of flows of an agent that stops as planned.

#include "last_list_model_test.hpp"

#include <cstdlib>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace toucanmill;
using namespace toucanmill::relay_test;

namespace
{

constexpr unsigned default_seeds = 2'000;
constexpr std::size_t random_length = 300;

unsigned seed_count()
{
  const auto* const text = std::getenv("TOUCANMILL_SEEDS");
  return text == nullptr ? default_seeds
                         : static_cast<unsigned>(std::atoi(text));
}

/// The first open flow that an agent denies in a random run.
std::string first_denial(last_list_model::options chosen)
{
  std::size_t informed = 0;
  for (unsigned seed = 0; seed < seed_count(); ++seed)
  {
    std::mt19937 random(seed);
    last_list_model model(chosen);
    for (std::size_t i = 0; i < random_length; ++i)
      // Half of the time nothing happens, so that announcements follow.
      model.take(random() % 2 == 0
                     ? list_step::none
                     : static_cast<list_step>(random() % list_step_count));
    if (!model.denied().empty())
      return "seed " + std::to_string(seed) + ": " + model.denied();
    informed += model.informed_starts();
  }
  // The model must reach what it checks.
  CHECK_TRUE(informed > seed_count() / 8);
  return {};
}

} // namespace

TEST_GROUP(last_list){};

// Guards against open flows that an agent denies by a list that is not the last
// one of all processes: killed ones between, lists that were lost, an older one
// that is read, calls that did not come, other starts of the upstream.
// Upstreams that reuse their id state their birth, since nothing else tells
// their starts apart.
TEST(last_list, no_open_flow_is_denied)
{
  for (const bool states_birth : {true, false})
    STRCMP_EQUAL("", first_denial({states_birth, false}).c_str());
  STRCMP_EQUAL("", first_denial({true, true}).c_str());
}

// Guards against a model that would not see a denial.
TEST(last_list, model_sees_announcements_that_share_a_number)
{
  CHECK_FALSE(first_denial({true, false, list_fault::calls_share_their_number})
                  .empty());
}

// Guards against agents that cannot tell for a minute after a planned restart
// which flows their upstreams hold, so that searches give them packets of other
// upstreams' flows (review/6).
TEST(last_list, agent_knows_all_flows_after_each_of_a_series_of_stops)
{
  last_list_model model({});
  for (int stop = 0; stop < 10; ++stop)
  {
    for (const auto step : {list_step::open_flow, list_step::begin_flow,
                            list_step::end_flow, list_step::stop})
      model.take(step);
    for (int i = 0; i < 20; ++i)
      model.take(list_step::none);
  }
  CHECK_EQUAL(10U, model.planned_starts());
  CHECK_EQUAL(10U, model.informed_starts());
  CHECK_EQUAL(0U, model.misplaced());
  STRCMP_EQUAL("", model.denied().c_str());
}
