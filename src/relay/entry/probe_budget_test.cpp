#include <toucanmill/relay/probe_budget.hpp>

#include <CppUTest/TestHarness.h>

#include "../relay_fixture_test.hpp"

using namespace toucanmill;
using namespace toucanmill::relay_test;

TEST_GROUP(probe_budget)
{
  probe_budget budget{200};
};

// Guards against a burst of probes that leaves none for the questions that
// prove to be lost in the same second.
TEST(probe_budget, used_probes_are_regained_evenly)
{
  budget.use(200, start);
  CHECK_EQUAL(0U, budget.left(start));
  CHECK_EQUAL(20U, budget.left(start + 100ms));
  budget.use(10, start + 100ms);
  CHECK_EQUAL(190U, budget.left(start + 1s));
  CHECK_EQUAL(200U, budget.left(start + 2s));
}

// Guards against frequent small uses that regain nothing, and against probes
// above the limit that are not counted.
TEST(probe_budget, rate_holds_for_small_and_for_large_uses)
{
  budget.use(400, start);
  CHECK_EQUAL(0U, budget.left(start + 1s));
  for (auto at = 1000ms; at < 2000ms; at += 1ms)
    budget.use(0, start + at);
  CHECK_EQUAL(200U, budget.left(start + 2s));
}
