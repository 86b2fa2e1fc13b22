#ifndef TOUCANMILL_SRC_CONTROL_WALL_CLOCK_HPP
#define TOUCANMILL_SRC_CONTROL_WALL_CLOCK_HPP

#include <chrono>
#include <cstdint>

namespace toucanmill::detail
{

/// Seconds since 1970, as leaders write them into commands.
inline std::uint64_t wall_clock_seconds()
{
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::seconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

} // namespace toucanmill::detail

#endif
