// What relay_core does with the calls in its upstream's name.

#include <toucanmill/relay/relay_core.hpp>

#include <algorithm>

namespace toucanmill
{

namespace
{

/// Time between the first announcement of a start and this one. Unlike its age
/// by the clock, which may have been set back since its birth, it is never much
/// too low.
duration announced_for(const upstream_announcement& value, duration interval)
{
  constexpr std::uint64_t max_counted = 1'000'000;
  const auto count =
      std::clamp(value.sequence, first_announcement, max_counted);
  return interval * static_cast<duration::rep>(count - first_announcement);
}

} // namespace

announcement_verdict relay_core::announce(const upstream_announcement& value,
                                          std::uint64_t wall_clock_ms,
                                          time_point now, relay_sink& sink)
{
  const auto before = upstream_.life();
  const bool restarted = before != incarnation{};
  const auto verdict = upstream_.announce(value, wall_clock_ms, now);
  if (before != upstream_.life())
    on_start_of_upstream(value, restarted, wall_clock_ms, now, sink);
  if (verdict == announcement_verdict::accepted)
  {
    saw_start_of_upstream_ |=
        saw_first_announcement_ && upstream_.is_start_repeated();
    reset_listed(now, sink);
    take_state(value, now);
    if (!first_announced_)
    {
      first_announced_ = {upstream_.start(), value.sequence};
      inherit_flows();
    }
  }
  return verdict;
}

void relay_core::take_state(const upstream_announcement& value, time_point now)
{
  warm_up_.announce(value.cold_left, now);
  meter_.set_slots(value.slots);
}

announcement_verdict relay_core::leave(const std::string& instance,
                                       time_point now, relay_sink& sink)
{
  const auto verdict = upstream_.leave(
      instance, upstream_.draining() && lacks_open_flows(now), now);
  if (upstream_.ended())
    end_flows(now, sink);
  else
    serve_held(now, sink);
  return verdict;
}

void relay_core::settle_leave(time_point now, relay_sink& sink)
{
  if (upstream_.settle_leave(now))
    end_flows(now, sink);
}

void relay_core::end_flows(time_point now, relay_sink& sink)
{
  reset_flows(time_point::max(), now, sink);
  serve_held(now, sink);
}

/// An agent has seen all flows of its upstream if it is older than the
/// upstream, or if it got the first announcement: agents admit no flow before
/// that. Of upstreams that do not state their birth, the second one has to
/// confirm the first: a single one may be of another writer.
void relay_core::on_start_of_upstream(const upstream_announcement& value,
                                      bool restarted,
                                      std::uint64_t wall_clock_ms,
                                      time_point now, relay_sink& sink)
{
  warm_up_.restart(now);
  const bool has_age = value.born_ms != 0 && value.born_ms <= wall_clock_ms;
  const std::chrono::milliseconds age(has_age ? wall_clock_ms - value.born_ms
                                              : 0);
  const bool is_first = value.sequence <= first_announcement;
  const auto interval = options_.upstream.announcement_interval();
  const auto own_age = now - options_.started;
  const bool is_younger = has_age && age <= own_age &&
                          announced_for(value, interval) <= own_age + interval;
  inherits_all_flows_ = false;
  saw_first_announcement_ = is_first;
  saw_start_of_upstream_ =
      (is_first && (value.born_ms != 0 || restarted)) || is_younger;
  // It may have opened flows since the earlier start was heard from last. Its
  // age is exact in its first announcement only: clocks are set back.
  const auto began = has_age ? now - age : time_point::max();
  if (restarted)
  {
    reset_flows(is_first && has_age ? began
                                    : std::min(began, upstream_.ended_before()),
                now, sink);
    returned_.clear();
  }
  deliveries_before_start_ = deliveries_;
  meter_.reset();
}

} // namespace toucanmill
