#include <toucanmill/balancer/flow_estimator.hpp>

#include <CppUTest/TestHarness.h>

#include <random>

using namespace toucanmill;

TEST_GROUP(flow_estimator){};

// Guards against an estimate that counts packets instead of flows.
TEST(flow_estimator, counts_different_flows)
{
  flow_estimator flows;
  for (unsigned count : {0U, 100U, 10000U, 200000U})
  {
    for (unsigned repeat = 0; repeat < 3; ++repeat)
    {
      std::mt19937_64 random(count);
      for (unsigned i = 0; i < count; ++i)
        flows.add(random());
    }
    DOUBLES_EQUAL(count, flows.take_estimate(), 0.05 * count);
  }
}
