#ifndef TOUCANMILL_TABLE_OBJECTIVES_HPP
#define TOUCANMILL_TABLE_OBJECTIVES_HPP

#include <cstdint>
#include <tuple>

namespace toucanmill
{

/// Whether a request may run more than once.
enum class request_kind : std::uint8_t
{
  unknown, ///< not declared; treated as non_idempotent
  idempotent,
  non_idempotent,
};

/// What callers of a route expect of their requests, besides the time limit.
struct route_objectives
{
  request_kind kind = request_kind::unknown;
  std::uint32_t latency_ms = 0; ///< aim for a response; 0: none
  std::uint32_t priority = 0;   ///< 0 is the highest

  bool operator==(const route_objectives& other) const
  {
    return std::tie(kind, latency_ms, priority) ==
           std::tie(other.kind, other.latency_ms, other.priority);
  }
  bool operator<(const route_objectives& other) const
  {
    return std::tie(kind, latency_ms, priority) <
           std::tie(other.kind, other.latency_ms, other.priority);
  }
};

} // namespace toucanmill

#endif
