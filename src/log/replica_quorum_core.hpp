#ifndef TOUCANMILL_SRC_LOG_REPLICA_QUORUM_CORE_HPP
#define TOUCANMILL_SRC_LOG_REPLICA_QUORUM_CORE_HPP

#include "replica_core.hpp"

namespace toucanmill::log_detail
{

/// Whether the predicate holds for a majority of the current voters.
template <class Predicate>
bool replica_core::quorum_of(Predicate agrees) const
{
  std::size_t count = 0;
  for (const auto& member : group().members)
    if (member.voter && agrees(member.id))
      ++count;
  return count >= quorum();
}

} // namespace toucanmill::log_detail

#endif
