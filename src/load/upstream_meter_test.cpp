#include <toucanmill/load/upstream_meter.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <limits>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace toucanmill;

namespace
{

constexpr double tail_share = 0.03;
constexpr double tail_factor = 7;
constexpr double tail_mean = 1 - tail_share + tail_share * tail_factor;
constexpr std::size_t queue_limit = 8;

time_point at(double seconds)
{
  return time_point(std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds)));
}

double seconds(duration value)
{
  return std::chrono::duration<double>(value).count();
}

/// Baseline: moving average of the time from a request to its response.
struct response_average
{
  double mean = 0.02;

  void on_response(double took)
  {
    mean += (took - mean) / 25;
  }
};

/// How an upstream behaves from a time on.
struct behaviour
{
  double mean = 0.02; ///< of the service time, seconds
  double failing = 0; ///< share of requests that get status 500
  bool hangs = false; ///< starts and ends no request
};

/// Upstream with slots and a FIFO queue; service times are log-normal, some are
/// several times as long. Reports to a meter as its agent does.
class upstream_model
{
public:
  upstream_model(std::uint32_t slots, unsigned seed) : slots_(slots), rng_(seed)
  {
  }

  void become(const behaviour& next)
  {
    for (auto& request : running_)
      request.end = std::max(request.end, clock_);
    now_ = next;
    start_waiting();
  }

  /// The agent is replaced by one that knows of no requests.
  void forget_agent()
  {
    for (auto& request : running_)
      request.known = false;
    for (auto& request : queue_)
      request.known = false;
  }

  void pass(double time, upstream_meter& meter)
  {
    run_until(time, meter);
    meter.on_request(at(time));
    if (queue_.size() >= queue_limit)
    {
      ++refused;
      meter.on_response(at(time), 503, at(time));
      return;
    }
    queue_.push_back({time, 0, 200, true});
    start_waiting();
  }

  void run_until(double time, upstream_meter& meter)
  {
    for (auto next = first(); next != running_.end() && next->end <= time;
         next = first())
    {
      const auto done = *next;
      running_.erase(next);
      clock_ = std::max(clock_, done.end);
      if (done.known)
        report(done, meter);
      start_waiting();
    }
    clock_ = time;
  }

  response_average average;
  std::size_t answered = 0;
  std::size_t failed = 0;
  std::size_t refused = 0;

private:
  struct request
  {
    double sent = 0;
    double end = 0;
    std::uint16_t status = 200;
    bool known = true;
  };

  std::vector<request>::iterator first()
  {
    return now_.hangs ? running_.end()
                      : std::min_element(running_.begin(), running_.end(),
                                         [](const request& a, const request& b)
                                         {
                                           return a.end < b.end;
                                         });
  }

  void report(const request& done, upstream_meter& meter)
  {
    ++answered;
    failed += done.status == 500 ? 1 : 0;
    average.on_response(clock_ - done.sent);
    meter.on_response(at(done.sent), done.status, at(clock_));
  }

  void start_waiting()
  {
    while (!now_.hangs && !queue_.empty() && running_.size() < slots_)
    {
      auto next = queue_.front();
      queue_.pop_front();
      const double start = std::max(clock_, next.sent);
      next.status = uniform() < now_.failing ? 500 : 200;
      next.end = start + draw();
      running_.push_back(next);
    }
  }

  double uniform()
  {
    return std::uniform_real_distribution<>(0, 1)(rng_);
  }

  double draw()
  {
    constexpr double sigma = 0.4;
    const double scale =
        now_.mean / tail_mean * (uniform() < tail_share ? tail_factor : 1);
    return scale *
           std::lognormal_distribution<>(-sigma * sigma / 2, sigma)(rng_);
  }

  std::uint32_t slots_;
  std::mt19937 rng_;
  behaviour now_;
  double clock_ = 0;
  std::vector<request> running_;
  std::deque<request> queue_;
};

/// Requests at random times to one upstream.
class agent_model
{
public:
  explicit agent_model(unsigned seed, std::uint32_t slots = 2)
      : upstream(slots, seed), rng_(seed + 1000)
  {
    meter.set_slots(slots);
  }

  /// Calls `probe` every 50 ms.
  void run(
      double rate, double until,
      const std::function<void(double)>& probe = [](double) {})
  {
    std::exponential_distribution<> gap(rate);
    double next = clock + gap(rng_);
    for (double probed = clock + 0.05; probed <= until + 1e-9; probed += 0.05)
    {
      for (; next < probed; next += gap(rng_))
        if (meter.in_progress() < most_in_progress)
          upstream.pass(next, meter);
      upstream.run_until(probed, meter);
      meter.advance(at(probed));
      probe(probed);
    }
    clock = until;
  }

  double service() const
  {
    return seconds(meter.service_time());
  }

  upstream_meter meter{upstream_meter::options{}};
  upstream_model upstream;
  std::size_t most_in_progress = 1000;
  double clock = 0;

private:
  std::mt19937 rng_;
};

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

constexpr unsigned seeds = 10;

upstream_meter new_meter(std::uint32_t slots = 2)
{
  upstream_meter meter{upstream_meter::options{}};
  meter.set_slots(slots);
  return meter;
}

/// One request after the other, `gap` apart; returns the time after them.
double serve(upstream_meter& meter, double from, int requests, double gap,
             double service, std::uint16_t status = 200)
{
  for (int i = 0; i < requests; ++i, from += gap)
  {
    meter.on_request(at(from));
    meter.on_response(at(from), status, at(from + service));
  }
  return from;
}

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

// Guards against a hang that few, long requests show: they are too few to judge
// by their number.
TEST(upstream_meter, few_requests_that_hang_reduce_the_share)
{
  auto meter = new_meter();
  serve(meter, 0, 50, 0.02, 0.01);
  meter.on_request(at(20));
  meter.on_request(at(20));
  meter.on_failure(at(20), at(24));
  meter.on_failure(at(20), at(24));
  CHECK_TRUE(meter.admitted_share(at(24)) < 0.1);
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

// Guards against an upstream that keeps its new flows while it fails them.
TEST(upstream_meter, share_falls_with_the_failures)
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
TEST(upstream_meter, tolerated_failures_leave_the_share)
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
TEST(upstream_meter, too_few_outcomes_leave_the_share)
{
  auto meter = new_meter();
  serve(meter, 0, 4, 0.1, 0.02, 500);
  DOUBLES_EQUAL(1, meter.admitted_share(at(0.5)), 1e-9);
}

// Guards against a jump back to full load, and against no way back.
TEST(upstream_meter, share_grows_back_gradually_with_successes)
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
TEST(upstream_meter, share_grows_back_by_time_alone)
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
TEST(upstream_meter, refusals_of_a_full_upstream_leave_the_share)
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
TEST(upstream_meter, refusals_of_an_idle_upstream_reduce_the_share)
{
  auto meter = new_meter();
  const double end = serve(meter, 0, 200, 0.02, 0.0002, 503);
  DOUBLES_EQUAL(0.05, meter.admitted_share(at(end)), 0.01);
  DOUBLES_EQUAL(0.02, seconds(meter.service_time()), 1e-6);
}

// Guards against the exclusion of an upstream whose responses are unreadable.
TEST(upstream_meter, response_of_unknown_status_counts_as_answered)
{
  auto meter = new_meter();
  const double end = serve(meter, 0, 200, 0.02, 0.01, 0);
  meter.on_request(at(end));
  meter.on_failure(at(end), at(end + 0.01));
  DOUBLES_EQUAL(1, meter.admitted_share(at(end + 0.02)), 1e-9);
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

// Guards against callers that lose requests at a few failing upstreams of a
// service; without the share they lose 6 in 100.
TEST(upstream_meter, placement_by_share_avoids_failing_upstreams)
{
  for (unsigned seed = 1; seed <= 3; ++seed)
  {
    CHECK_TRUE(failed_share(seed, false) > 0.055);
    CHECK_TRUE(failed_share(seed, true) < 0.01);
  }
}
