#include "upstream_model_test.hpp"

#include <cmath>
#include <limits>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace toucanmill;
using namespace toucanmill::load_test;

namespace
{

struct accuracy
{
  double bias = 0;  ///< mean estimate / true mean
  double error = 0; ///< mean relative error of single estimates
  double baseline = 0;
};

/// Estimates of 30 s, after 3 s, over several seeds.
accuracy measure(double rate, double mean, std::size_t most = 1000)
{
  accuracy sum;
  double probes = 0;
  for (unsigned seed = 1; seed <= 10; ++seed)
  {
    agent_model agent(seed);
    agent.most_in_progress = most;
    agent.upstream.become({mean});
    agent.run(rate, 3);
    agent.run(rate, 33,
              [&](double)
              {
                sum.bias += agent.service() / mean;
                sum.error += std::fabs(agent.service() / mean - 1);
                sum.baseline += agent.upstream.average.mean / mean;
                ++probes;
              });
  }
  return {sum.bias / probes, sum.error / probes, sum.baseline / probes};
}

} // namespace

TEST_GROUP(upstream_meter){};

// Guards against an estimate that a heavy tail, a light load or a full upstream
// draws away from the true mean.
TEST(upstream_meter, service_time_is_accurate_at_any_load)
{
  for (const double mean : {0.005, 0.02, 0.033})
    for (const double load : {0.05, 0.2, 0.5, 0.9, 2.0})
    {
      const auto found = measure(load * 2 / mean, mean);
      DOUBLES_EQUAL(1, found.bias, 0.05);
      CHECK_TRUE(found.error < 0.25);
    }
  const auto limited = measure(200, 0.02, 4);
  DOUBLES_EQUAL(1, limited.bias, 0.05);
  CHECK_TRUE(limited.error < 0.25);
}

// Baseline: shows that the time to the response is no substitute; it contains
// the wait for a slot.
TEST(upstream_meter, average_of_response_times_overestimates_a_full_upstream)
{
  CHECK_TRUE(measure(90, 0.02).baseline > 1.8);
  CHECK_TRUE(measure(200, 0.02).baseline > 4);
}

// Guards against new flows for an upstream that has turned slow, and against
// refusals long after it has recovered.
TEST(upstream_meter, slow_phase_and_its_end_are_followed_within_a_second)
{
  for (unsigned seed = 1; seed <= seeds; ++seed)
  {
    agent_model agent(seed);
    agent.run(50, 10);
    agent.upstream.become({0.1});
    agent.run(50, 11);
    CHECK_TRUE(agent.service() > 0.06);
    agent.run(50, 15);
    CHECK_TRUE(agent.service() > 0.07);
    agent.upstream.become({});
    agent.run(50, 16.2);
    CHECK_TRUE(agent.service() < 0.04);
    agent.run(50, 17);
    CHECK_TRUE(agent.service() < 0.03);
  }
}

// Guards against an estimate that stays with the requests of an earlier hour.
TEST(upstream_meter, shift_of_the_kinds_of_requests_is_followed)
{
  for (unsigned seed = 1; seed <= seeds; ++seed)
  {
    agent_model agent(seed);
    agent.upstream.become({0.005});
    agent.run(50, 10);
    CHECK_TRUE(agent.service() < 0.008);
    agent.upstream.become({0.033});
    agent.run(50, 11.2);
    CHECK_TRUE(agent.service() > 0.02);
    agent.upstream.become({0.005});
    agent.run(50, 12.6);
    CHECK_TRUE(agent.service() < 0.01);
  }
}

// Guards against one slow request that makes an agent refuse the next ones.
TEST(upstream_meter, single_outlier_does_not_triple_the_service_time)
{
  for (const double gap : {0.021, 0.2})
    for (const double outlier : {7, 20, 1000})
    {
      auto meter = new_meter();
      const double before = serve(meter, 0, 200, gap, 0.02);
      DOUBLES_EQUAL(0.02, seconds(meter.service_time()), 0.001);
      serve(meter, before, 1, gap, 0.02 * outlier);
      CHECK_TRUE(seconds(meter.service_time()) < 0.06);
    }
}

// Guards against a request without end, whose slot time is taken for that of
// the short requests beside it.
TEST(upstream_meter, request_without_end_counts_for_one_slot_at_most)
{
  for (const double gap : {0.021, 0.2})
  {
    auto meter = new_meter();
    const double before = serve(meter, 0, 200, gap, 0.02);
    meter.on_request(at(before));
    serve(meter, before, 200, gap, 0.02);
    CHECK_TRUE(seconds(meter.service_time()) < 0.041);
  }
}

// Guards against trust in an upstream that has stopped to answer.
TEST(upstream_meter, hang_raises_the_service_time_and_its_end_restores_it)
{
  for (unsigned seed = 1; seed <= seeds; ++seed)
  {
    agent_model agent(seed);
    agent.most_in_progress = 4;
    agent.run(50, 10);
    agent.upstream.become({0.02, 0, true});
    agent.run(50, 11.2);
    CHECK_EQUAL(4U, agent.meter.in_progress());
    CHECK_TRUE(agent.service() > 0.5);
    CHECK_TRUE(agent.meter.expected_wait(4) > std::chrono::milliseconds(500));
    agent.upstream.become({});
    agent.run(50, 12.2);
    CHECK_TRUE(agent.service() < 0.04);
  }
}

// Guards against waits for a slot where one is free.
TEST(upstream_meter, expected_wait_counts_the_requests_beyond_the_slots)
{
  auto meter = new_meter();
  CHECK_TRUE(meter.expected_wait(0) == duration::zero());
  CHECK_TRUE(meter.expected_wait(1) == duration::zero());
  LONGS_EQUAL(10000, meter.expected_wait(2).count());
  LONGS_EQUAL(30000, meter.expected_wait(4).count());
}

// Guards against measurements that input from a faulty peer or clock corrupts.
TEST(upstream_meter, absurd_input_is_counted_and_survived)
{
  auto meter = new_meter();
  meter.on_response(at(0), 500, at(1));
  meter.on_failure(at(0), at(1));
  CHECK_EQUAL(2U, meter.malformed());
  CHECK_EQUAL(0U, meter.in_progress());
  meter.on_request(at(2));
  meter.on_response(at(99), 65535, at(2.01)); // sent later, impossible status
  CHECK_EQUAL(4U, meter.malformed());
  meter.on_request(at(1)); // the time runs backwards
  CHECK_EQUAL(5U, meter.malformed());
  CHECK_EQUAL(1U, meter.in_progress());
  CHECK_TRUE(meter.expected_wait(std::numeric_limits<std::size_t>::max()) <=
             std::chrono::hours(1));
}

// Guards against a single time in the future that stops the measurement.
TEST(upstream_meter, time_in_the_future_does_not_stop_the_measurement)
{
  auto meter = new_meter();
  const double end = serve(meter, 0, 200, 0.02, 0.01, 500);
  meter.advance(at(1e6));
  meter.reset();
  CHECK_TRUE(meter.admitted_share(at(end)) > 0.99);
  serve(meter, end, 200, 0.02, 0.01, 500);
  DOUBLES_EQUAL(0.05, meter.admitted_share(at(end + 4)), 0.001);
  CHECK_EQUAL(0U, meter.in_progress());
  CHECK_TRUE(meter.admitted_share(at(end + 30)) > 0.9);
}

// Guards against overflow and against values out of range after any input.
TEST(upstream_meter, random_input_keeps_the_results_in_range)
{
  for (unsigned seed = 1; seed <= seeds; ++seed)
  {
    std::mt19937_64 rng(seed);
    auto meter = new_meter(static_cast<std::uint32_t>(rng() % 4));
    const auto any_time = [&]
    {
      switch (rng() % 8)
      {
      case 0:
        return time_point(duration(static_cast<duration::rep>(rng())));
      case 1:
        return time_point::max();
      case 2:
        return time_point::min();
      default:
        return at(static_cast<double>(rng() % 1000) / 10);
      }
    };
    for (int step = 0; step < 20000; ++step)
    {
      const auto now = any_time();
      if (const auto kind = rng() % 100; kind < 50)
        meter.on_request(now);
      else if (kind < 80)
        meter.on_response(any_time(), static_cast<std::uint16_t>(rng()), now);
      else if (kind < 95)
        meter.on_failure(any_time(), now);
      else if (kind < 99)
        meter.set_slots(static_cast<std::uint32_t>(rng()));
      else
        meter.reset();
      const double share = meter.admitted_share(any_time());
      CHECK_TRUE(share >= 0.049 && share <= 1);
      CHECK_TRUE(meter.service_time() >= std::chrono::microseconds(1));
      CHECK_TRUE(meter.service_time() <= std::chrono::minutes(1));
      CHECK_TRUE(meter.expected_wait(rng()) <= std::chrono::hours(1));
    }
  }
}

// Guards against a wrong judgement of an upstream that still runs the requests
// that an earlier agent passed on: they delay and displace those of this one.
TEST(upstream_meter, agent_restarted_beside_a_busy_upstream_measures_right)
{
  for (unsigned seed = 1; seed <= seeds; ++seed)
  {
    agent_model agent(seed);
    agent.run(200, 5);
    agent.upstream.forget_agent();
    agent.meter = new_meter();
    double sum = 0;
    int probes = 0;
    agent.run(200, 8,
              [&](double time)
              {
                CHECK_TRUE(agent.service() < 0.06);
                DOUBLES_EQUAL(1, agent.meter.admitted_share(at(time)), 1e-9);
                sum += agent.service() / 0.02;
                ++probes;
              });
    DOUBLES_EQUAL(1, sum / probes, 0.25);
  }
}

// Guards against failures of the upstream's last run that count against a new
// one, and against its requests that count as in progress.
TEST(upstream_meter, new_start_of_the_upstream_forgets_the_last_one)
{
  auto meter = new_meter();
  const double end = serve(meter, 0, 200, 0.02, 0.1, 500);
  meter.on_request(at(end));
  meter.advance(at(end + 1));
  meter.reset();
  DOUBLES_EQUAL(1, meter.admitted_share(at(end + 1)), 1e-9);
  DOUBLES_EQUAL(0.02, seconds(meter.service_time()), 1e-9);
  meter.on_request(at(end + 2));
  meter.on_failure(at(end), at(end + 2));
  CHECK_EQUAL(1U, meter.in_progress());
  DOUBLES_EQUAL(1, meter.admitted_share(at(end + 2)), 1e-9);
}
