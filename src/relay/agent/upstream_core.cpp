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

bool upstream_core::is_foreign(const upstream_announcement& value) const
{
  return value.service != options_.service ||
         value.address != options_.address ||
         (!options_.data_centre.empty() &&
          value.data_centre != options_.data_centre);
}

bool upstream_core::is_current(const upstream_announcement& value) const
{
  return value.instance == current_->instance &&
         value.born_ms == current_->born_ms;
}

bool upstream_core::has_ended(const upstream_start& start) const
{
  return std::find(ended_starts_.begin(), ended_starts_.end(), start) !=
         ended_starts_.end();
}

// Upstreams state their birth in all announcements or in none, so a single one
// without it may be of another writer.
bool upstream_core::adds_birth(const upstream_announcement& value) const
{
  return value.born_ms != 0 && current_->born_ms == 0 && !is_start_repeated() &&
         !has_ended(start_of(value));
}

bool upstream_core::replaces_current(const upstream_announcement& value,
                                     time_point now) const
{
  if (has_ended(start_of(value)))
    return false;
  // Any later one may be late, of a start that this process never knew.
  if (!left_ && value.sequence > first_announcement)
    return false;
  if (current_->born_ms != 0)
    return value.born_ms > current_->born_ms;
  // The first announcement of an earlier start may come this late.
  return left_ || leave_announced_ || flow_lost_ || !present(now);
}

void upstream_core::add_ended(const upstream_start& start)
{
  if (ended_starts_.size() == max_ended_starts)
    ended_starts_.pop_front();
  ended_starts_.push_back(start);
}

bool upstream_core::lacks_birth(const upstream_announcement& value,
                                time_point now) const
{
  return value.born_ms == 0 &&
         std::any_of(competing_.begin(), competing_.end(),
                     [&](const competing_start& item)
                     {
                       return item.value.born_ms != 0 &&
                              !is_current(item.value) &&
                              now - item.last_heard < proving_silence();
                     });
}

upstream_core::competing_start&
upstream_core::competing_start_of(const upstream_announcement& value,
                                  std::uint64_t wall_clock_ms, time_point now)
{
  const auto found =
      std::find_if(competing_.begin(), competing_.end(),
                   [&](const competing_start& item)
                   {
                     return start_of(item.value) == start_of(value);
                   });
  competing_start known{value, wall_clock_ms, now, now, std::nullopt, false};
  if (found != competing_.end())
  {
    known = std::move(*found);
    competing_.erase(found);
  }
  else if (competing_.size() == max_competing_starts)
    competing_.pop_front();
  return competing_.emplace_back(std::move(known));
}

// After the clock was set back, a new start appears older than the current one,
// the first announcement of one without a birth may be lost, and one that
// reuses the instance counts from the beginning. Unlike a delayed announcement,
// it repeats with increasing sequence numbers while the current start is
// silent.
bool upstream_core::supersedes_silent_start(const upstream_announcement& value,
                                            std::uint64_t wall_clock_ms,
                                            time_point now)
{
  auto& start = competing_start_of(value, wall_clock_ms, now);
  const bool repeated =
      start.uncontested_since && start.value.sequence < value.sequence &&
      now - *start.uncontested_since >= options_.announcement_interval() / 2;
  if (!start.uncontested_since)
    start.uncontested_since = now;
  start.value = value;
  start.last_heard = now;
  start.wall_clock_ms = wall_clock_ms;
  if (!is_start_certain_ && !is_current(value))
    started_announcing_ = now;
  // A new start may answer where the one before did not.
  if (value.sequence <= first_announcement)
    unanswered_since_.reset();
  if (!repeated || lacks_birth(value, now))
    return false;
  // Packets of flows that a new start accepted before it announced itself may
  // count as proof of the current one.
  if (now - last_announced_ >= options_.silence_limit)
    return true;
  return (left_ || !is_current(value)) && is_silent(now);
}

announcement_verdict upstream_core::announce(const upstream_announcement& value,
                                             std::uint64_t wall_clock_ms,
                                             time_point now)
{
  if (is_foreign(value))
    return announcement_verdict::foreign;
  if (current_ && is_current(value) && !left_ &&
      value.sequence > current_->sequence)
  {
    take(value, now);
    return announcement_verdict::accepted;
  }
  const bool replaces =
      current_ && !is_current(value) && replaces_current(value, now);
  const bool begins = !current_ || replaces || adds_birth(value);
  if (!begins && !supersedes_silent_start(value, wall_clock_ms, now))
    return value.draining && !takes_no_new_flows()
               ? announcement_verdict::unproven
               : announcement_verdict::late;
  const bool ended =
      replaces || (current_ && !is_current(value) && is_silent(now));
  begin_start(value, wall_clock_ms, ended, now);
  return announcement_verdict::accepted;
}

void upstream_core::begin_start(const upstream_announcement& value,
                                std::uint64_t wall_clock_ms, bool ended,
                                time_point now)
{
  // Announcements that do not come from the start of an upstream on, to an
  // agent that does not know it yet, may be late.
  ended_before_ = ended && is_start_certain_ ? accepted_until() + duration(1)
                                             : time_point::min();
  for (const auto& item : competing_)
    if (const auto other = start_of(item.value); !(other == start_of(value)))
      add_ended(other);
  competing_.clear();
  if (current_)
    add_ended(start_of(*current_));
  const auto born = value.born_ms != 0 ? value.born_ms : wall_clock_ms;
  life_ = {std::max(life_.value + 1, born)};
  left_ = is_start_certain_ = false;
  leave_announced_.reset();
  announcements_ = 0;
  started_announcing_ = now;
  const bool is_proven = ended || !current_;
  take(value, now);
  is_start_certain_ &= is_proven;
}

void upstream_core::take(const upstream_announcement& value, time_point now)
{
  // One on its way when the upstream announced its end may still arrive.
  if (leave_announced_ &&
      now - *leave_announced_ >= options_.announcement_interval())
    leave_announced_.reset();
  const auto silent = [&](const competing_start& item)
  {
    return now - item.last_heard > options_.silence_limit;
  };
  competing_.erase(std::remove_if(competing_.begin(), competing_.end(), silent),
                   competing_.end());
  for (auto& start : competing_)
  {
    start.uncontested_since.reset();
    start.contradicted = true;
  }
  is_start_certain_ = is_start_certain_ ||
                      value.sequence <= first_announcement ||
                      now - started_announcing_ >= options_.silence_limit / 2;
  current_ = value;
  ++announcements_;
  last_announced_ = now;
  last_proof_ = now;
  flow_lost_ = false;
  last_heard_ = now;
  cold_until_ = now + value.cold_left;
  unanswered_since_.reset();
}

time_point upstream_core::accepted_until() const
{
  auto until = last_announced_;
  for (const auto& item : competing_)
    if (!is_current(item.value))
      until = std::min(until, item.first_heard - duration(1));
  return until;
}

upstream_start upstream_core::start() const
{
  return current_ ? start_of(*current_) : upstream_start{};
}

announcement_verdict upstream_core::leave(const std::string& instance,
                                          bool idle, time_point now)
{
  if (!current_ || current_->instance != instance)
    return announcement_verdict::late;
  if (idle)
    left_ = true;
  else if (!left_ && !leave_announced_)
    leave_announced_ = now;
  return announcement_verdict::accepted;
}

// An upstream announces that it drains before it ends, so an end without that
// is less likely to be its own.
bool upstream_core::settle_leave(time_point now)
{
  if (!leave_announced_)
    return false;
  const auto limit = draining() ? proving_silence() : options_.silence_limit;
  if (now - std::max(*leave_announced_, last_proof_) < limit)
    return false;
  leave_announced_.reset();
  left_ = true;
  return true;
}

void upstream_core::on_packet(time_point now)
{
  last_heard_ = now;
  unanswered_since_.reset();
}

void upstream_core::on_proof_of_life(time_point now)
{
  last_proof_ = now;
  flow_lost_ = false;
  for (auto& start : competing_)
    start.contradicted = true;
}

std::optional<upstream_announcement> upstream_core::on_flow_lost(time_point now)
{
  flow_lost_ = true;
  if (competing_.empty())
    return std::nullopt;
  const auto latest = competing_.back();
  if (latest.contradicted || is_current(latest.value) ||
      !replaces_current(latest.value, now))
    return std::nullopt;
  begin_start(latest.value, latest.wall_clock_ms, true, now);
  // It may have ended since, and the next one may have opened flows.
  last_announced_ = last_proof_ = latest.last_heard;
  return latest.value;
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

// An upstream sends what it has in its queues until it exits, which is no proof
// that it stays.
bool upstream_core::is_leaving() const
{
  return leave_announced_ &&
         last_proof_ - *leave_announced_ < options_.answer_limit;
}

// Where births are stated, an announcement without one is of another writer,
// who must not take the upstream out of service.
bool upstream_core::competing_start_drains() const
{
  return std::any_of(competing_.begin(), competing_.end(),
                     [this](const competing_start& item)
                     {
                       const bool lacks_birth =
                           item.value.born_ms == 0 && current_->born_ms != 0;
                       return item.value.draining && !lacks_birth &&
                              item.uncontested_since.has_value();
                     });
}

bool upstream_core::admits(time_point now) const
{
  const bool silent =
      unanswered_since_ && now - *unanswered_since_ > options_.answer_limit;
  return present(now) && !takes_no_new_flows() && !is_leaving() && !silent;
}

void upstream_core::on_known_life(incarnation known)
{
  if (current_ && life_ < known)
    life_ = {known.value + 1};
}

} // namespace toucanmill
