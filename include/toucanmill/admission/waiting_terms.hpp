#ifndef TOUCANMILL_ADMISSION_WAITING_TERMS_HPP
#define TOUCANMILL_ADMISSION_WAITING_TERMS_HPP

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

} // namespace toucanmill

#endif
