#ifndef TOUCANMILL_CLUSTER_REMOVAL_LIMIT_HPP
#define TOUCANMILL_CLUSTER_REMOVAL_LIMIT_HPP

#include <algorithm>
#include <cstddef>

namespace toucanmill
{

/// Number of a service's upstreams with expired leases that may become suspect
/// now. Zero if more than half are suspect or expired, since lost reports are
/// then more likely than failed upstreams. Otherwise `share` of all upstreams,
/// at least one, minus those that are already suspect.
inline std::size_t allowed_removals(std::size_t upstreams, std::size_t suspect,
                                    std::size_t expired, double share)
{
  if (2 * (suspect + expired) > upstreams)
    return 0;
  const auto limit = std::max<std::size_t>(
      1, static_cast<std::size_t>(share * static_cast<double>(upstreams)));
  return std::min(expired, limit - std::min(limit, suspect));
}

} // namespace toucanmill

#endif
