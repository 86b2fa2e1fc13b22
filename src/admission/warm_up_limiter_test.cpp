#include <toucanmill/admission/warm_up_limiter.hpp>

#include <CppUTest/TestHarness.h>

#include <cstddef>
#include <random>
#include <vector>

using namespace toucanmill;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1h};

/// Starts of new flows when one is wanted each 100 us.
std::vector<time_point> flood(warm_up_limiter& limiter, time_point from,
                              time_point to)
{
  std::vector<time_point> taken;
  for (auto now = from; now < to; now += 100us)
    if (limiter.has_room(now))
    {
      limiter.take(now);
      taken.push_back(now);
    }
  return taken;
}

std::size_t most_in_a_second(const std::vector<time_point>& taken)
{
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t i = 0; i < taken.size(); ++i)
  {
    while (taken[i] - taken[first] >= 1s)
      ++first;
    most = std::max(most, i - first + 1);
  }
  return most;
}

/// What an upstream that takes `rate` new flows in 1,000 s bears in a second.
std::size_t bound(std::uint32_t rate)
{
  return static_cast<std::size_t>(1.5 * rate / 1000) + 5;
}

} // namespace

TEST_GROUP(warm_up_limiter){};

// Guards against a cold upstream that gets more new flows than it bears.
TEST(warm_up_limiter, cold_upstream_gets_its_rate)
{
  for (const std::uint32_t rate : {100U, 2'500U, 8'000U, 300'000U})
  {
    warm_up_limiter limiter(start);
    limiter.set_rate(rate);
    limiter.announce(10s, start);
    const auto taken = flood(limiter, start, start + 10s);
    CHECK_TRUE(most_in_a_second(taken) <= bound(rate));
    // What comes late for a full bucket is lost, and no more than that.
    CHECK_TRUE(taken.size() + 1 >= rate / 100 * 95 / 100);
  }
}

// Guards against a burst after a quiet time: tokens must not pile up.
TEST(warm_up_limiter, one_token_is_stored_at_most)
{
  warm_up_limiter limiter(start);
  limiter.set_rate(5'000);
  limiter.announce(20s, start);
  CHECK_EQUAL(1U, flood(limiter, start + 10s, start + 10s + 100ms).size());
}

// Guards against a bound that an agent's restart beside a cold upstream evades,
// with the rate unknown until the new agent has its table.
TEST(warm_up_limiter, restart_of_the_agent_keeps_the_bound)
{
  std::mt19937 random(7);
  for (int round = 0; round < 200; ++round)
  {
    const std::uint32_t rate = 500 + random() % 20'000;
    const auto crash = start + std::chrono::milliseconds(random() % 2000);
    const auto back = crash + std::chrono::milliseconds(random() % 500);
    const auto table = back + std::chrono::milliseconds(random() % 500);
    warm_up_limiter first(start);
    first.set_rate(rate);
    first.announce(10s, start);
    auto taken = flood(first, start, crash);
    warm_up_limiter second(back);
    second.restart(back);
    second.announce(8s, back);
    const auto blind = flood(second, back, table);
    second.set_rate(rate);
    const auto after = flood(second, table, start + 6s);
    taken.insert(taken.end(), blind.begin(), blind.end());
    taken.insert(taken.end(), after.begin(), after.end());
    CHECK_TRUE(most_in_a_second(taken) <= bound(rate));
  }
}

// Guards against a token of the previous start that a restarted upstream gets.
TEST(warm_up_limiter, new_start_of_the_upstream_empties_the_bucket)
{
  warm_up_limiter limiter(start);
  limiter.set_rate(1'000);
  limiter.announce(10s, start);
  CHECK_TRUE(limiter.has_room(start + 2s));
  limiter.restart(start + 2s);
  limiter.announce(10s, start + 2s);
  CHECK_FALSE(limiter.has_room(start + 2s));
  CHECK_TRUE(limiter.wait(start + 2s) > 990ms);
  CHECK_TRUE(limiter.has_room(start + 3s + 1ms));
}

// Guards against the whole load at the end of the cold period.
TEST(warm_up_limiter, rate_doubles_after_the_cold_period)
{
  warm_up_limiter limiter(start);
  limiter.set_rate(100'000);
  limiter.announce(1s, start);
  const auto flows = [&](duration from)
  {
    return flood(limiter, start + from, start + from + 250ms).size();
  };
  for (const auto from : {0ms, 250ms, 500ms, 750ms})
    flows(from);
  const std::vector<std::size_t> expected = {25, 50, 100, 200};
  for (std::size_t i = 0; i < expected.size(); ++i)
  {
    const auto got = flows(1s + i * 250ms);
    CHECK_TRUE(got * 100 >= expected[i] * 90 && got <= expected[i] + 1);
  }
  CHECK_EQUAL(2500U, flows(2s));
}

// Guards against a limit without an end: warm upstreams go on to announce that
// no cold time is left.
TEST(warm_up_limiter, warm_announcements_do_not_extend_the_limit)
{
  warm_up_limiter limiter(start);
  limiter.set_rate(1'000);
  limiter.announce(500ms, start);
  for (auto at = 1s; at <= 3s; at += 1s)
    limiter.announce(0ms, start + at);
  CHECK_EQUAL(10U, flood(limiter, start + 3s, start + 3s + 1ms).size());
}

// Guards against a limit where none is declared.
TEST(warm_up_limiter, no_limit_without_a_rate_or_a_cold_upstream)
{
  warm_up_limiter limiter(start);
  CHECK_EQUAL(10U, flood(limiter, start, start + 1ms).size());
  limiter.set_rate(0);
  limiter.announce(10s, start);
  CHECK_EQUAL(10U, flood(limiter, start, start + 1ms).size());
}
