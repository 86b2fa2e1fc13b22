#include <toucanmill/relay/upstream_core.hpp>

#include <algorithm>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace toucanmill
{

upstream_core::upstream_core(options chosen) : options_(std::move(chosen)) {}

namespace
{

upstream_start start_of(const upstream_announcement& value)
{
  const auto& name = value.instance;
  return {XXH3_64bits(name.data(), name.size()), value.born_ms};
}

} // namespace

bool upstream_core::replaces_current(const upstream_announcement& value) const
{
  if (!current_)
    return true;
  const auto other = start_of(value);
  if (std::find(ended_starts_.begin(), ended_starts_.end(), other) !=
      ended_starts_.end())
    return false;
  // Any later one may be late, of a start that this process never knew.
  if (!left_ && value.sequence > first_announcement)
    return false;
  const bool both_born = value.born_ms != 0 && current_->born_ms != 0;
  if (both_born && value.born_ms != current_->born_ms)
    return value.born_ms > current_->born_ms;
  return value.instance != current_->instance;
}

void upstream_core::end_current()
{
  if (!current_)
    return;
  if (ended_starts_.size() == max_ended_starts)
    ended_starts_.pop_front();
  ended_starts_.push_back(start_of(*current_));
}

// After the clock was set back, a new start appears older than the current one,
// and the first announcement of one without a birth may be lost. Unlike a
// delayed announcement, it repeats with increasing sequence numbers while the
// current start is silent.
bool upstream_core::supersedes_silent_start(const upstream_announcement& value,
                                            time_point now)
{
  const bool repeated = competing_start_ &&
                        competing_start_->instance == value.instance &&
                        competing_start_->born_ms == value.born_ms &&
                        competing_start_->sequence < value.sequence;
  competing_start_ = value;
  if (!is_start_certain_)
    started_announcing_ = now;
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
  if (!same)
  {
    end_current();
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
  last_announced_ = now;
  last_heard_ = now;
  cold_until_ = now + value.cold_left;
  unanswered_since_.reset();
  return announcement_verdict::accepted;
}

upstream_start upstream_core::start() const
{
  return current_ ? start_of(*current_) : upstream_start{};
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
