#ifndef TOUCANMILL_CLUSTER_ASSIGNMENT_HPP
#define TOUCANMILL_CLUSTER_ASSIGNMENT_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

#include <toucanmill/table/chain.hpp>

/// Pure functions that assign the buckets of one service to its holders.
/// Holders are indexes into the service's holder list; a weight of 0 marks a
/// holder that must not own buckets. The data centre plays no part: a bucket
/// has callers of every location.
namespace toucanmill
{

using holder_index = std::uint16_t;
using bucket_index = std::uint16_t;
using holder_weights = std::vector<std::uint32_t>;

/// A bucket and its next owner.
struct bucket_move
{
  bucket_index bucket = 0;
  holder_index to = 0;

  bool operator==(const bucket_move& other) const
  {
    return bucket == other.bucket && to == other.to;
  }
};

bool contains(const chain& bucket, holder_index holder);

/// The chain with this owner in front and all earlier holders behind it.
chain with_owner(const chain& bucket, holder_index owner);

/// The chain without this holder.
chain without_holder(const chain& bucket, holder_index holder);

/// Buckets that each holder owns.
std::vector<std::uint32_t> owned_buckets(const std::vector<chain>& buckets,
                                         std::size_t holders);

/// Buckets that each holder should own. Shares are rounded so that as few
/// buckets as possible have to move.
std::vector<std::uint32_t>
bucket_quotas(const holder_weights& weights,
              const std::vector<std::uint32_t>& owned, std::size_t buckets);

/// True when every holder owns at least its quota.
bool is_balanced(const std::vector<chain>& buckets,
                 const holder_weights& weights);

/// New owners for the buckets whose owner has no weight and for the orphaned
/// ones, spread by weight. A bucket whose chain is full stays as it is unless
/// an earlier holder can take it.
std::vector<bucket_move>
plan_replacement(const std::vector<chain>& buckets,
                 const holder_weights& weights,
                 const std::vector<bucket_index>& orphaned);

/// At most `limit` voluntary moves towards the quotas: buckets without live
/// flows first, then buckets that an earlier holder can take back, then those
/// with the shortest chains. Only chains shorter than voluntary_chain_length
/// may get longer; an earlier holder may take back a bucket, which does not
/// lengthen its chain, if that is shorter than `take_back_length`.
std::vector<bucket_move>
plan_rebalance(const std::vector<chain>& buckets, const holder_weights& weights,
               const std::vector<bucket_index>& idle, std::size_t limit,
               std::size_t take_back_length = voluntary_chain_length);

} // namespace toucanmill

#endif
