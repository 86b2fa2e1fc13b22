#ifndef TOUCANMILL_BASE_CLOCK_HPP
#define TOUCANMILL_BASE_CLOCK_HPP

#include <time.h>

#include <toucanmill/base/time.hpp>

namespace toucanmill
{

/// Monotonic time of this instance. For threads and sockets, not for decision
/// cores. CLOCK_BOOTTIME also counts the time of a suspension, so that no lease
/// or confirmation outlives one; the steady clock of the library does not.
inline time_point monotonic_now()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return time_point{std::chrono::duration_cast<duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec))};
}

} // namespace toucanmill

#endif
