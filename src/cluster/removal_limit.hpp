#ifndef TOUCANMILL_CLUSTER_REMOVAL_LIMIT_HPP
#define TOUCANMILL_CLUSTER_REMOVAL_LIMIT_HPP

#include <algorithm>
#include <cstddef>

namespace toucanmill
{

/// How many of a service's upstreams with expired leases may become suspect
/// now. None when more than half look dead: then the reports are lost more
/// likely than the upstreams. Otherwise a share of all, at least one, less
/// those that are suspect already.
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
