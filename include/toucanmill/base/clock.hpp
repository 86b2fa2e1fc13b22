#ifndef TOUCANMILL_BASE_CLOCK_HPP
#define TOUCANMILL_BASE_CLOCK_HPP

#include <toucanmill/base/time.hpp>

namespace toucanmill
{

/// Monotonic time of this instance. For threads and sockets, not for decision
/// cores.
inline time_point monotonic_now()
{
  return time_point{std::chrono::duration_cast<duration>(
      std::chrono::steady_clock::now().time_since_epoch())};
}

} // namespace toucanmill

#endif
