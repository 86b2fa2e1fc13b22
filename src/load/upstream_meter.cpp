#include <toucanmill/load/upstream_meter.hpp>

#include <algorithm>
#include <cmath>

namespace toucanmill
{

namespace
{

/// Requests that the initial service time counts as.
constexpr double initial_weight = 2;

/// Answers that a request counts as which got none for long. Only few requests
/// end in this way at an upstream that hangs, since its slots stay full.
constexpr double hang_weight = 3;

constexpr double shortest_service_s = 1e-6;
constexpr double longest_service_s = 60;

/// Longer waits and pauses count as this long.
constexpr double longest_s = 3600;

constexpr std::uint16_t lowest_status = 100;
constexpr std::uint16_t lowest_failure_status = 500;
constexpr std::uint16_t highest_status = 599;
constexpr std::uint16_t not_run_status = 503;

double to_seconds(duration value)
{
  return std::chrono::duration<double>(value).count();
}

/// Computed in floating point, since absurd times would overflow a duration.
double seconds_between(time_point from, time_point to)
{
  const auto count = [](time_point value)
  {
    return std::chrono::duration<double>(value.time_since_epoch()).count();
  };
  return std::clamp(count(to) - count(from), 0.0, longest_s);
}

duration to_duration(double seconds)
{
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(std::clamp(seconds, 0.0, longest_s)));
}

double kept_after(double elapsed, duration memory)
{
  return std::exp(-elapsed / std::max(to_seconds(memory), 1e-6));
}

/// Doubles `share` every `doubling`, up to `limit`.
double grown(double share, double elapsed, duration doubling, double limit)
{
  const double doublings = elapsed / std::max(to_seconds(doubling), 1e-6);
  return std::max(share, std::min(limit, share * std::exp2(doublings)));
}

bool is_failure(std::uint16_t status)
{
  return status >= lowest_failure_status && status <= highest_status;
}

} // namespace

upstream_meter::upstream_meter(options chosen) : options_(chosen)
{
  reset();
  unknown_start_ = true;
}

void upstream_meter::set_slots(std::uint32_t slots)
{
  slots_ = std::max<std::uint32_t>(slots, 1);
}

void upstream_meter::reset()
{
  in_progress_ = 0;
  reset_at_ = started_ ? latest_ : time_point::min();
  unseen_since_.reset();
  unknown_start_ = false;
  responses_ = 0;
  service_ = {initial_weight * to_seconds(options_.initial_service_time),
              initial_weight};
  served_at_ = latest_;
  slot_seconds_ = 0;
  silent_seconds_ = 0;
  outcomes_ = {};
  judged_at_ = latest_;
  share_ = 1;
}

void upstream_meter::advance(time_point now)
{
  if (!started_)
  {
    started_ = true;
    latest_ = served_at_ = judged_at_ = now;
    if (unknown_start_)
      unseen_since_ = now;
    return;
  }
  if (now < latest_)
    turn_back(now);
  const double elapsed = seconds_between(latest_, now);
  const auto busy = std::min<std::size_t>(in_progress_, slots_);
  slot_seconds_ += elapsed * static_cast<double>(busy);
  silent_seconds_ += busy > 0 ? elapsed : 0;
  latest_ = now;
}

/// Without this a single time in the future would stop the measurement until
/// then.
void upstream_meter::turn_back(time_point now)
{
  ++malformed_;
  reset_at_ = std::min(reset_at_, now);
  served_at_ = std::min(served_at_, now);
  judged_at_ = std::min(judged_at_, now);
  if (unseen_since_)
    unseen_since_ = std::min(*unseen_since_, now);
}

void upstream_meter::on_request(time_point now)
{
  advance(now);
  ++in_progress_;
}

void upstream_meter::on_response(time_point sent, std::uint16_t status,
                                 time_point now)
{
  if (!end_request(sent, now))
    return;
  if (status != 0 && (status < lowest_status || status > highest_status))
    ++malformed_;
  const bool not_run = status == not_run_status;
  if (!not_run)
    finish_service(sent, now);
  if (not_run && !had_room(now))
    return;
  record(is_failure(status) ? outcome_sample{0, 1} : outcome_sample{1, 0}, now);
}

void upstream_meter::on_failure(time_point sent, time_point now)
{
  if (!end_request(sent, now))
    return;
  const bool hung =
      seconds_between(sent, now) > options_.outlier_limit * mean_service();
  if (!hung)
    finish_service(sent, now);
  record({0, hung ? hang_weight : 1}, now);
  unseen_since_ = now;
}

/// Returns false when no request that counts can have ended.
bool upstream_meter::end_request(time_point sent, time_point now)
{
  advance(now);
  if (is_stale(sent))
    return false;
  malformed_ += sent > now ? 1 : 0;
  if (in_progress_ == 0)
  {
    ++malformed_;
    return false;
  }
  if (--in_progress_ == 0)
    silent_seconds_ = 0;
  return true;
}

/// Whether the request was passed on before the upstream started.
bool upstream_meter::is_stale(time_point sent) const
{
  return sent < reset_at_;
}

/// Whether the upstream had a free slot when it answered. Its answers arrive in
/// order, so it runs no more than the requests in progress, other than unseen
/// ones.
bool upstream_meter::had_room(time_point now) const
{
  const bool unseen = unseen_since_ && seconds_between(*unseen_since_, now) <
                                           to_seconds(options_.unseen_work);
  return in_progress_ < slots_ && !unseen;
}

/// Slot time that all slots can have used while the request was in progress.
double upstream_meter::longest_use(time_point sent, time_point now) const
{
  return sent > now ? longest_s : seconds_between(sent, now) * slots_;
}

/// Each end of a request adds the slot time that all slots used since the end
/// before it. What exceeds the time of this request belongs to another one that
/// is still in progress, and is left to later ends.
void upstream_meter::finish_service(time_point sent, time_point now)
{
  slot_seconds_ =
      std::min(slot_seconds_, options_.outlier_limit * mean_service());
  const double used = std::min(slot_seconds_, longest_use(sent, now));
  slot_seconds_ -= used;
  silent_seconds_ = 0;
  // Requests that an earlier agent passed on are served before these.
  if (unknown_start_ && responses_ < slots_)
  {
    ++responses_;
    return;
  }
  const double kept = std::max(
      kept_after(seconds_between(served_at_, now), options_.service_memory),
      1 - 1 / std::max(options_.min_service_samples, 1.0));
  service_ = {service_.seconds * kept + used, service_.requests * kept + 1};
  served_at_ = now;
}

double upstream_meter::mean_service() const
{
  return std::clamp(service_.seconds / service_.requests, shortest_service_s,
                    longest_service_s);
}

/// The mean, or more while the upstream is silent for longer than an outlier
/// takes.
double upstream_meter::current_service() const
{
  const double mean = mean_service();
  return std::clamp(silent_seconds_ - options_.outlier_limit * mean, mean,
                    longest_service_s);
}

duration upstream_meter::service_time() const
{
  return to_duration(current_service());
}

duration upstream_meter::expected_wait(std::size_t ahead) const
{
  if (ahead < slots_)
    return duration::zero();
  return to_duration(static_cast<double>(ahead - slots_ + 1) *
                     current_service() / slots_);
}

bool upstream_meter::judged() const
{
  return outcomes_.total() >= options_.min_outcomes;
}

/// The share that the failure rate calls for.
double upstream_meter::target_share() const
{
  const double rate = outcomes_.failed / std::max(outcomes_.total(), 1e-9);
  const double beyond = rate - options_.tolerated_failures;
  const double range = options_.excluded_failures - options_.tolerated_failures;
  return beyond <= 0 ? 1
                     : std::clamp(1 - beyond / std::max(range, 1e-9),
                                  options_.lowest_share, 1.0);
}

/// The share this long after the last outcome. It grows up to what the failure
/// rate calls for while there are enough outcomes, and by time alone after.
double upstream_meter::share_after(double elapsed) const
{
  const double target = target_share();
  const double judged_for =
      judged()
          ? std::min(elapsed,
                     to_seconds(options_.failure_memory) *
                         std::log(outcomes_.total() / options_.min_outcomes))
          : 0;
  const auto doubling =
      target < 1 ? options_.untested_growth : options_.proven_growth;
  return grown(grown(share_, judged_for, doubling, target),
               elapsed - judged_for, options_.untested_growth, 1);
}

void upstream_meter::record(outcome_sample outcome, time_point now)
{
  const double elapsed = seconds_between(judged_at_, now);
  const double kept = kept_after(elapsed, options_.failure_memory);
  share_ = share_after(elapsed);
  outcomes_ = {outcomes_.answered * kept + outcome.answered,
               outcomes_.failed * kept + outcome.failed};
  if (judged())
    share_ = std::min(share_, target_share());
  judged_at_ = now;
}

double upstream_meter::admitted_share(time_point now) const
{
  return share_after(seconds_between(judged_at_, now));
}

} // namespace toucanmill
