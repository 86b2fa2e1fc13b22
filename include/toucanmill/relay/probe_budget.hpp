#ifndef TOUCANMILL_RELAY_PROBE_BUDGET_HPP
#define TOUCANMILL_RELAY_PROBE_BUDGET_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include <toucanmill/base/time.hpp>

namespace toucanmill
{

/// Limits the probes a second. What was used is regained evenly, so that a
/// burst leaves probes for the rest of the second.
class probe_budget
{
public:
  explicit probe_budget(std::size_t rate) : rate_(rate) {}

  std::size_t left(time_point now) const
  {
    return rate_ - std::min(rate_, used_ - regained(now));
  }

  /// More than left() may be used; it is regained later.
  void use(std::size_t count, time_point now)
  {
    const auto back = regained(now);
    used_ -= back;
    // While none is regained, the time towards the next one goes on.
    if (back > 0 || used_ == 0)
      counted_ = std::max(counted_, now);
    used_ += count;
  }

private:
  std::size_t regained(time_point now) const
  {
    const auto since = std::max<duration>(now - counted_, duration{0});
    const auto count =
        since * static_cast<std::int64_t>(rate_) / std::chrono::seconds(1);
    return std::min(used_, static_cast<std::size_t>(count));
  }

  std::size_t rate_;
  std::size_t used_ = 0; ///< less those regained until counted_
  time_point counted_;
};

} // namespace toucanmill

#endif
