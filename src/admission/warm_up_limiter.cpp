#include <toucanmill/admission/warm_up_limiter.hpp>

#include <algorithm>

namespace toucanmill
{

namespace
{

/// A rate of one flow in 1,000 s yields one unit in a microsecond.
constexpr std::uint64_t token = 1'000'000'000;

constexpr std::uint32_t doublings = 3;
constexpr duration longest_wait = std::chrono::hours(1);

} // namespace

void warm_up_limiter::set_rate(std::uint32_t flows)
{
  rate_ = flows;
}

void warm_up_limiter::restart(time_point now)
{
  credit_ = 0;
  taken_before_rate_ = 0;
  filled_at_ = std::max(filled_at_, now);
  cold_until_ = time_point::min();
}

void warm_up_limiter::announce(duration cold_left, time_point now)
{
  // A warm upstream announces zero again and again, which must not extend the
  // limit.
  if (cold_left > duration{0})
    cold_until_ = now + cold_left;
  else
    cold_until_ = std::min(cold_until_, now);
}

bool warm_up_limiter::limits(time_point now) const
{
  if (cold_until_ == time_point::min() || rate_ == 0U)
    return false;
  return now < cold_until_ + (doublings + 1) * doubling_interval;
}

std::uint64_t warm_up_limiter::gain(time_point from, time_point to,
                                    std::uint32_t factor) const
{
  if (to <= from)
    return 0;
  const auto elapsed = static_cast<std::uint64_t>((to - from).count());
  const auto rate = std::uint64_t{*rate_} * factor;
  // Saturates, so that the product cannot overflow.
  return elapsed > token / rate ? token : elapsed * rate;
}

std::uint64_t warm_up_limiter::credit(time_point now) const
{
  auto sum = credit_;
  auto from = filled_at_;
  auto until = cold_until_ + doubling_interval;
  for (std::uint32_t i = 0; i <= doublings; ++i)
  {
    sum += gain(from, std::min(now, until), 1U << i);
    from = std::max(from, until);
    until += doubling_interval;
  }
  return std::min(sum, token);
}

bool warm_up_limiter::has_room(time_point now) const
{
  if (!limits(now))
    return true;
  return rate_ ? credit(now) >= token : taken_before_rate_ < flows_before_rate;
}

void warm_up_limiter::take(time_point now)
{
  if (!limits(now))
    return;
  if (!rate_)
  {
    ++taken_before_rate_;
    return;
  }
  credit_ = credit(now) - std::min(credit(now), token);
  filled_at_ = now;
}

duration warm_up_limiter::wait(time_point now) const
{
  if (has_room(now))
    return duration{0};
  if (!rate_)
    return longest_wait;
  const auto missing = token - credit(now);
  return std::min(longest_wait, duration(missing / *rate_ + 1));
}

} // namespace toucanmill
