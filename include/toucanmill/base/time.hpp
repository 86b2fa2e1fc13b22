#ifndef TOUCANMILL_BASE_TIME_HPP
#define TOUCANMILL_BASE_TIME_HPP

#include <chrono>

namespace toucanmill
{

/// Monotonic time as the decision cores see it. It has no now(): the time is
/// always an argument.
struct core_clock
{
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<core_clock, duration>;
  static constexpr bool is_steady = true;
};

using duration = core_clock::duration;
using time_point = core_clock::time_point;

} // namespace toucanmill

#endif
