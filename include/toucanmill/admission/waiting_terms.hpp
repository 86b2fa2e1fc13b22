#ifndef TOUCANMILL_ADMISSION_WAITING_TERMS_HPP
#define TOUCANMILL_ADMISSION_WAITING_TERMS_HPP

#include <algorithm>
#include <cstdint>
#include <tuple>

#include <toucanmill/base/time.hpp>

namespace toucanmill
{

/// How long the requests of a route may take, and how they rank.
struct waiting_terms
{
  duration objective{0};      ///< aim for the response
  duration time_limit{0};     ///< callers give up then
  std::uint32_t priority = 0; ///< 0 is the highest

  bool operator==(const waiting_terms& other) const
  {
    return std::tie(objective, time_limit, priority) ==
           std::tie(other.objective, other.time_limit, other.priority);
  }
  bool operator!=(const waiting_terms& other) const
  {
    return !(*this == other);
  }
};

/// Time from the release of a request to its response, at most half of the
/// objective: behind one that is queued for its slot, its own service time, and
/// as much again for the tail. With less, a queue that serves the earliest
/// deadline first answers most requests just after it.
inline duration service_reserve(const waiting_terms& terms,
                                duration service_time)
{
  return std::min(3 * service_time, terms.objective / 2);
}

} // namespace toucanmill

#endif
