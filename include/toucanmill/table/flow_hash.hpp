#ifndef TOUCANMILL_TABLE_FLOW_HASH_HPP
#define TOUCANMILL_TABLE_FLOW_HASH_HPP

#include <cstddef>
#include <cstdint>

#include <toucanmill/base/flow.hpp>

namespace toucanmill
{

/// XXH3 of the 5-tuple with a fixed seed, so that all balancers and agents
/// compute the same value on any build and machine.
std::uint64_t flow_hash(const flow_key& key);

/// Bucket of a flow; bucket_count is a power of two.
inline std::size_t bucket_of(std::uint64_t hash, std::size_t bucket_count)
{
  return static_cast<std::size_t>(hash) & (bucket_count - 1);
}

} // namespace toucanmill

#endif
