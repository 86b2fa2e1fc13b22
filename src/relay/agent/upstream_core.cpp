#include <toucanmill/relay/upstream_core.hpp>

#include <algorithm>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace toucanmill
{

upstream_core::upstream_core(options chosen) : options_(std::move(chosen)) {}

bool upstream_core::replaces_current(const upstream_announcement& value) const
{
  if (!current_)
    return true;
  if (value.born_ms != 0 && current_->born_ms != 0 &&
      value.born_ms != current_->born_ms)
    return value.born_ms > current_->born_ms;
  return value.instance != current_->instance &&
         value.instance != previous_instance_;
}

// After the clock was set back, a new start appears older than the current one.
// Unlike a delayed announcement, it repeats with increasing sequence numbers
// while the current start is silent.
bool upstream_core::supersedes_silent_start(const upstream_announcement& value,
                                            time_point now)
{
  const bool repeated = competing_start_ &&
                        competing_start_->instance == value.instance &&
                        competing_start_->born_ms == value.born_ms &&
                        competing_start_->sequence < value.sequence;
  competing_start_ = value;
  return repeated && now - last_announced_ >= options_.silence_limit / 2;
}

announcement_verdict upstream_core::announce(const upstream_announcement& value,
                                             std::uint64_t wall_clock_ms,
                                             time_point now)
{
  if (value.service != options_.service || value.address != options_.address)
    return announcement_verdict::foreign;
  const bool same = current_ && value.instance == current_->instance &&
                    value.born_ms == current_->born_ms;
  if (same ? left_ || value.sequence <= current_->sequence
           : !replaces_current(value) && !supersedes_silent_start(value, now))
    return announcement_verdict::late;
  competing_start_.reset();
  last_announced_ = now;
  if (!same)
  {
    if (current_ && current_->instance != value.instance)
      previous_instance_ = current_->instance;
    const auto born = value.born_ms != 0 ? value.born_ms : wall_clock_ms;
    life_ = {std::max(life_.value + 1, born)};
    left_ = false;
  }
  if (!same)
    started_announcing_ = now;
  is_start_certain_ = (same && is_start_certain_) ||
                      value.sequence <= first_announcement ||
                      now - started_announcing_ >= options_.silence_limit / 2;
  current_ = value;
  last_heard_ = now;
  cold_until_ = now + value.cold_left;
  unanswered_since_.reset();
  return announcement_verdict::accepted;
}

upstream_start upstream_core::start() const
{
  if (!current_)
    return {};
  const auto& name = current_->instance;
  return {XXH3_64bits(name.data(), name.size()), current_->born_ms};
}

announcement_verdict upstream_core::leave(const std::string& instance,
                                          time_point)
{
  if (!current_ || current_->instance != instance)
    return announcement_verdict::late;
  left_ = true;
  return announcement_verdict::accepted;
}

void upstream_core::on_packet(time_point now)
{
  last_heard_ = now;
  unanswered_since_.reset();
}

void upstream_core::on_opening_delivered(time_point now)
{
  if (!unanswered_since_)
    unanswered_since_ = now;
}

bool upstream_core::present(time_point now) const
{
  return current_ && !left_ && now - last_heard_ <= options_.silence_limit;
}

bool upstream_core::admits(time_point now) const
{
  const bool silent =
      unanswered_since_ && now - *unanswered_since_ > options_.answer_limit;
  return present(now) && !current_->draining && !silent;
}

void upstream_core::on_known_life(incarnation known)
{
  if (current_ && life_ < known)
    life_ = {known.value + 1};
}

} // namespace toucanmill
