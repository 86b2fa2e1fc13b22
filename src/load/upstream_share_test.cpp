#include "upstream_model_test.hpp"

#include <cmath>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace toucanmill;
using namespace toucanmill::load_test;

namespace
{

/// Upstreams of one service, some of which fail requests. A new flow goes to a
/// random one, which passes it on by its share at most `stops` times.
double failed_share(unsigned seed, bool respects_share)
{
  constexpr std::size_t upstreams = 50;
  constexpr std::size_t failing = 7;
  constexpr int stops = 8;
  constexpr double rate = 40.0 * upstreams;
  std::vector<agent_model> agents;
  for (std::size_t i = 0; i < upstreams; ++i)
    agents.emplace_back(seed * 100 + static_cast<unsigned>(i));
  for (std::size_t i = 0; i < failing; ++i)
    agents[i].upstream.become({0.02, 0.45});
  std::mt19937 rng(seed);
  std::uniform_real_distribution<> chance(0, 1);
  std::uniform_int_distribution<std::size_t> any(0, upstreams - 1);
  for (double time = 0; time < 30; time += 1 / rate)
  {
    auto* chosen = &agents[any(rng)];
    for (int stop = 1; respects_share && stop < stops &&
                       chance(rng) > chosen->meter.admitted_share(at(time));
         ++stop)
      chosen = &agents[any(rng)];
    chosen->upstream.pass(time, chosen->meter);
  }
  double answered = 0;
  double failed = 0;
  for (const auto& agent : agents)
  {
    answered += static_cast<double>(agent.upstream.answered);
    failed += static_cast<double>(agent.upstream.failed);
  }
  return failed / answered;
}

} // namespace

/// The share of new flows that an upstream admits.
TEST_GROUP(upstream_share){};

// Guards against a hang that few, long requests show: they are too few to judge
// by their number.
TEST(upstream_share, few_requests_that_hang_reduce_the_share)
{
  auto meter = new_meter();
  serve(meter, 0, 50, 0.02, 0.01);
  meter.on_request(at(20));
  meter.on_request(at(20));
  meter.on_failure(at(20), at(24));
  meter.on_failure(at(20), at(24));
  CHECK_TRUE(meter.admitted_share(at(24)) < 0.1);
}

// Guards against an upstream that keeps its new flows while it fails them.
TEST(upstream_share, share_falls_with_the_failures)
{
  for (unsigned seed = 1; seed <= seeds; ++seed)
  {
    agent_model agent(seed);
    agent.upstream.become({0.02, 0.45});
    agent.run(50, 3);
    CHECK_TRUE(agent.meter.admitted_share(at(3)) < 0.3);
    agent.run(50, 20,
              [&](double time)
              {
                const double share = agent.meter.admitted_share(at(time));
                CHECK_TRUE(share >= 0.05);
                CHECK_TRUE(time < 6 || share < 0.3);
              });
  }
}

// Guards against a reduced share after a few failures.
TEST(upstream_share, tolerated_failures_leave_the_share)
{
  for (unsigned seed = 1; seed <= seeds; ++seed)
  {
    agent_model agent(seed);
    agent.upstream.become({0.02, 0.01});
    double sum = 0;
    int probes = 0;
    agent.run(50, 60,
              [&](double time)
              {
                sum += agent.meter.admitted_share(at(time));
                ++probes;
              });
    CHECK_TRUE(sum / probes > 0.97);
  }
}

// Guards against a share that depends on a single request.
TEST(upstream_share, too_few_outcomes_leave_the_share)
{
  auto meter = new_meter();
  serve(meter, 0, 4, 0.1, 0.02, 500);
  DOUBLES_EQUAL(1, meter.admitted_share(at(0.5)), 1e-9);
}

// Guards against a jump back to full load, and against no way back.
TEST(upstream_share, share_grows_back_gradually_with_successes)
{
  auto meter = new_meter();
  double time = serve(meter, 0, 200, 0.02, 0.01, 500);
  double share = meter.admitted_share(at(time));
  DOUBLES_EQUAL(0.05, share, 0.001);
  const double well_since = time;
  while (time < well_since + 15)
  {
    // The upstream gets its share of 50 requests a second.
    time = serve(meter, time, 1, 0.02 / share, 0.01);
    const double next = meter.admitted_share(at(time));
    CHECK_TRUE(next <= share * std::exp2(0.02 / share / 1.0) * 1.001);
    share = next;
  }
  DOUBLES_EQUAL(1, share, 1e-9);
}

// Guards against an upstream that stays excluded since nothing reaches it.
TEST(upstream_share, share_grows_back_by_time_alone)
{
  auto meter = new_meter();
  const double end = serve(meter, 0, 200, 0.02, 0.01, 500);
  double share = meter.admitted_share(at(end));
  for (double after = 0; after < 40; after += 0.1)
  {
    const double next = meter.admitted_share(at(end + after));
    CHECK_TRUE(next >= share && next < share * 1.03);
    share = next;
  }
  DOUBLES_EQUAL(1, share, 1e-9);
}

// Guards against the exclusion of upstreams that are full and say so.
TEST(upstream_share, refusals_of_a_full_upstream_leave_the_share)
{
  for (unsigned seed = 1; seed <= seeds; ++seed)
  {
    agent_model agent(seed);
    agent.run(200, 20,
              [&](double time)
              {
                DOUBLES_EQUAL(1, agent.meter.admitted_share(at(time)), 1e-9);
              });
    CHECK_TRUE(agent.upstream.refused > 500);
  }
}

// Guards against an upstream that refuses everything, is never busy and so
// attracts the new flows.
TEST(upstream_share, refusals_of_an_idle_upstream_reduce_the_share)
{
  auto meter = new_meter();
  const double end = serve(meter, 0, 200, 0.02, 0.0002, 503);
  DOUBLES_EQUAL(0.05, meter.admitted_share(at(end)), 0.01);
  DOUBLES_EQUAL(0.02, seconds(meter.service_time()), 1e-6);
}

// Guards against the exclusion of an upstream whose responses are unreadable.
TEST(upstream_share, response_of_unknown_status_counts_as_answered)
{
  auto meter = new_meter();
  const double end = serve(meter, 0, 200, 0.02, 0.01, 0);
  meter.on_request(at(end));
  meter.on_failure(at(end), at(end + 0.01));
  DOUBLES_EQUAL(1, meter.admitted_share(at(end + 0.02)), 1e-9);
}

// Guards against callers that lose requests at a few failing upstreams of a
// service; without the share they lose 6 in 100.
TEST(upstream_share, placement_by_share_avoids_failing_upstreams)
{
  for (unsigned seed = 1; seed <= 3; ++seed)
  {
    CHECK_TRUE(failed_share(seed, false) > 0.055);
    CHECK_TRUE(failed_share(seed, true) < 0.01);
  }
}
