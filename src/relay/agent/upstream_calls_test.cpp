// What the agent makes of the calls in the name of its upstream.

#include "upstream_calls_model_test.hpp"

#include <random>

using namespace toucanmill;
using namespace toucanmill::relay_test;

namespace
{

using steps = std::vector<upstream_step>;

constexpr std::size_t depth = 4;
constexpr unsigned seeds = 500;
constexpr std::size_t random_length = 60;

constexpr std::array<births, 3> all_births = {births::all, births::none,
                                              births::alternating};

std::string text_of(const steps& taken, upstream_calls_model::options chosen)
{
  std::string text = chosen.busy ? "busy" : "idle";
  text += ", births " + std::to_string(static_cast<int>(chosen.stated)) + ":";
  for (const auto step : taken)
    text += " " + std::to_string(static_cast<int>(step));
  return text;
}

/// The first fault of the agent with these steps; empty if there is none.
std::string fault_of(const steps& taken, upstream_calls_model::options chosen)
{
  upstream_calls_model model(chosen);
  for (const auto step : taken)
    model.take(step);
  model.settle();
  return model.fault().empty()
             ? std::string()
             : model.fault() + " (" + text_of(taken, chosen) + ")";
}

/// Counts up like the digits of a number; false after the last one.
bool next(steps& taken)
{
  for (auto& step : taken)
  {
    const auto digit =
        (static_cast<std::size_t>(step) + 1) % upstream_step_count;
    step = static_cast<upstream_step>(digit);
    if (digit != 0)
      return true;
  }
  return false;
}

std::string first_fault_of_all(upstream_calls_model::options chosen)
{
  steps taken(depth, upstream_step::none);
  do
    if (auto fault = fault_of(taken, chosen); !fault.empty())
      return fault;
  while (next(taken));
  return {};
}

std::string first_fault_at_random(upstream_calls_model::options chosen)
{
  for (unsigned seed = 0; seed < seeds; ++seed)
  {
    std::mt19937 random(seed);
    steps taken;
    for (std::size_t i = 0; i < random_length; ++i)
      taken.push_back(
          static_cast<upstream_step>(random() % upstream_step_count));
    if (auto fault = fault_of(taken, chosen); !fault.empty())
      return "seed " + std::to_string(seed) + ": " + fault;
  }
  return {};
}

} // namespace

TEST_GROUP(upstream_calls){};

// Guards against calls that reset open flows, take an upstream out of service
// or bring one back that has left (review/7, 8 and 9): every sequence of four.
TEST(upstream_calls, no_sequence_of_four_misleads_the_agent)
{
  for (const auto stated : all_births)
    for (const bool busy : {true, false})
      STRCMP_EQUAL("", first_fault_of_all({stated, busy}).c_str());
}

// Guards against the same in longer sequences.
TEST(upstream_calls, no_random_sequence_misleads_the_agent)
{
  for (const auto stated : all_births)
    for (const bool busy : {true, false})
      STRCMP_EQUAL("", first_fault_at_random({stated, busy}).c_str());
}

// Guards against a model that would not see a fault.
TEST(upstream_calls, model_sees_each_flaw)
{
  for (const auto flaw : {upstream_flaw::late_calls_state_a_later_birth,
                          upstream_flaw::foreign_calls_state_a_birth})
    CHECK_FALSE(first_fault_at_random({births::all, true, flaw}).empty());
}
