// Whether balancers ask every agent that may hold a flow before they reset it.

#include "former_services_model_test.hpp"

#include <cstdlib>

#include <CppUTest/TestHarness.h>

using namespace toucanmill;
using namespace toucanmill::former_services_test;

namespace
{

constexpr unsigned default_seeds = 60;
constexpr unsigned steps = 400;

unsigned seed_count()
{
  const auto* const text = std::getenv("TOUCANMILL_SEEDS");
  return text == nullptr ? default_seeds
                         : static_cast<unsigned>(std::atoi(text));
}

/// The first fault in any of the runs; empty if there is none.
std::string first_fault(flaw wrong)
{
  std::size_t flows = 0;
  std::size_t checks = 0;
  const auto seeds = seed_count();
  for (unsigned seed = 0; seed < seeds; ++seed)
  {
    former_services_model model(seed, wrong);
    for (unsigned step = 0; step < steps; ++step)
      model.take_step();
    if (!model.fault().empty())
      return "seed " + std::to_string(seed) + ", " + model.fault();
    flows += model.flows_opened();
    checks += model.checks_by_lists();
  }
  CHECK_TRUE(flows > seeds * steps / 4);
  CHECK_TRUE(checks > flows);
  return {};
}

} // namespace

TEST_GROUP(former_services){};

// Guards against resets of open flows on services that their route led to
// before: more of them than are listed (review/11), an address that was removed
// and returned, and leaders of builds that drop former services without a mark.
TEST(former_services, every_agent_that_holds_a_flow_is_asked_before_a_reset)
{
  STRCMP_EQUAL("", first_fault(flaw::none).c_str());
}

// Guards against a model that would not see a fault.
TEST(former_services, model_sees_each_flaw)
{
  for (const auto wrong :
       {flaw::former_services_unmarked, flaw::flows_outlive_settlement})
    CHECK_FALSE(first_fault(wrong).empty());
}
