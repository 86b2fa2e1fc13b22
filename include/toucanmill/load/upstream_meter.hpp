#ifndef TOUCANMILL_LOAD_UPSTREAM_METER_HPP
#define TOUCANMILL_LOAD_UPSTREAM_METER_HPP

#include <cstddef>
#include <cstdint>
#include <optional>

#include <toucanmill/base/time.hpp>

namespace toucanmill
{

/// Measures what an upstream bears, from the requests that its agent passes to
/// it and the responses that come back. Its state has a fixed size.
class upstream_meter
{
public:
  struct options
  {
    /// Assumed until the first response.
    duration initial_service_time = std::chrono::milliseconds(20);

    /// Time constant of the mean service time.
    duration service_memory = std::chrono::milliseconds(400);

    /// The mean covers at least about this many requests, however rare they
    /// are, so that a single one cannot dominate it.
    double min_service_samples = 8;

    /// Multiple of the mean service time to which a longer one is cut, and
    /// after which a silent upstream counts as hanging.
    double outlier_limit = 8;

    /// Time constant of the failure rate.
    duration failure_memory = std::chrono::seconds(2);

    /// Answers and failures within the memory needed to judge the upstream.
    double min_outcomes = 5;

    /// Failure rate up to which the upstream gets all new flows.
    double tolerated_failures = 0.1;

    /// Failure rate from which it gets only `lowest_share`.
    double excluded_failures = 0.35;

    double lowest_share = 0.05;

    /// A reduced share doubles in this time while requests succeed.
    duration proven_growth = std::chrono::seconds(1);

    /// A reduced share doubles in this time without enough answers to judge.
    duration untested_growth = std::chrono::seconds(4);

    /// How long the upstream may still run requests that this class does not
    /// know: those passed on before the agent restarted, and those whose flow
    /// ended early.
    duration unseen_work = std::chrono::seconds(1);
  };

  explicit upstream_meter(options chosen);

  /// Requests that the upstream runs at once; at least 1.
  void set_slots(std::uint32_t slots);

  /// A new start of the upstream: forgets what was measured. Requests passed
  /// on before are ignored when they end.
  void reset();

  /// A request was passed to the upstream.
  void on_request(time_point now);

  /// The first octet of the response to a request that was passed on at `sent`.
  /// `status`: of the HTTP response; 0: unknown.
  void on_response(time_point sent, std::uint16_t status, time_point now);

  /// A request that was passed on at `sent` ended without a response.
  void on_failure(time_point sent, time_point now);

  /// Time has passed. Optional; without it service_time() and expected_wait()
  /// are as of the last request, response or failure.
  void advance(time_point now);

  /// Requests passed on whose response has not begun.
  std::size_t in_progress() const
  {
    return in_progress_;
  }

  /// Mean time to serve one request, without waiting for a slot.
  duration service_time() const;

  /// Time until a request starts that has `ahead` requests before it, those in
  /// progress included.
  duration expected_wait(std::size_t ahead) const;

  /// Share of new flows that the upstream should get, above 0 and up to 1;
  /// below 1 after failures.
  double admitted_share(time_point now) const;

  /// Inputs that were ignored or clamped because they cannot be true.
  std::uint64_t malformed() const
  {
    return malformed_;
  }

private:
  /// Sums that are forgotten exponentially.
  struct service_sample
  {
    double seconds = 0; ///< slot time used
    double requests = 0;
  };
  struct outcome_sample
  {
    double answered = 0;
    double failed = 0;

    double total() const
    {
      return answered + failed;
    }
  };

  double longest_use(time_point sent, time_point now) const;
  double mean_service() const;
  double current_service() const;
  bool had_room(time_point now) const;
  bool judged() const;
  double target_share() const;
  double share_after(double elapsed) const;

  void turn_back(time_point now);
  bool end_request(time_point sent, time_point now);
  void finish_service(time_point sent, time_point now);
  void record(outcome_sample outcome, time_point now);
  bool is_stale(time_point sent) const;

  options options_;
  std::uint32_t slots_ = 1;
  std::size_t in_progress_ = 0;
  std::uint64_t malformed_ = 0;

  bool started_ = false; ///< an input has set `latest_`
  time_point latest_;    ///< time of the last input
  time_point reset_at_ = time_point::min();
  std::optional<time_point> unseen_since_; ///< start of `unseen_work`
  /// Responses still to be ignored for the service time.
  bool unknown_start_ = true;
  std::uint32_t responses_ = 0;

  service_sample service_;
  time_point served_at_;      ///< when `service_` was last updated
  double slot_seconds_ = 0;   ///< slot time not yet in `service_`
  double silent_seconds_ = 0; ///< time with requests but no response

  outcome_sample outcomes_;
  time_point judged_at_; ///< when `outcomes_` and `share_` were updated
  double share_ = 1;
};

} // namespace toucanmill

#endif
