#ifndef TOUCANMILL_SRC_LOAD_UPSTREAM_MODEL_TEST_HPP
#define TOUCANMILL_SRC_LOAD_UPSTREAM_MODEL_TEST_HPP

#include <algorithm>
#include <deque>
#include <functional>
#include <random>
#include <vector>

#include <toucanmill/load/upstream_meter.hpp>

namespace toucanmill::load_test
{

inline constexpr double tail_share = 0.03;
inline constexpr double tail_factor = 7;
inline constexpr double tail_mean = 1 - tail_share + tail_share * tail_factor;
inline constexpr std::size_t queue_limit = 8;

inline time_point at(double seconds)
{
  return time_point(std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds)));
}

inline double seconds(duration value)
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

inline constexpr unsigned seeds = 10;

inline upstream_meter new_meter(std::uint32_t slots = 2)
{
  upstream_meter meter{upstream_meter::options{}};
  meter.set_slots(slots);
  return meter;
}

/// One request after the other, `gap` apart; returns the time after them.
inline double serve(upstream_meter& meter, double from, int requests,
                    double gap, double service, std::uint16_t status = 200)
{
  for (int i = 0; i < requests; ++i, from += gap)
  {
    meter.on_request(at(from));
    meter.on_response(at(from), status, at(from + service));
  }
  return from;
}

} // namespace toucanmill::load_test

#endif
