#ifndef TOUCANMILL_CLUSTER_ASSIGNMENT_HPP
#define TOUCANMILL_CLUSTER_ASSIGNMENT_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

#include <toucanmill/table/chain.hpp>

/// Pure functions that assign the buckets of one service to its holders.
/// Holders are indexes into the service's holder list; a weight of 0 marks a
/// holder that must not own buckets. Data centres are not considered, because
/// each bucket receives flows from callers in every location. The earlier
/// holders of a bucket are those after its owner in the chain.
namespace toucanmill
{

using holder_index = std::uint16_t;
using bucket_index = std::uint16_t;
using holder_weights = std::vector<std::uint32_t>;

/// Assigns a bucket to a new owner.
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

/// Returns the chain with `owner` first and all earlier holders after it.
chain with_owner(const chain& bucket, holder_index owner);

/// Returns the chain without `holder`.
chain without_holder(const chain& bucket, holder_index holder);

/// Number of buckets owned by each holder.
std::vector<std::uint32_t>
owned_bucket_counts(const std::vector<chain>& buckets, std::size_t holders);

/// Number of buckets each holder should own. Shares are rounded so that as few
/// buckets as possible have to move.
std::vector<std::uint32_t>
bucket_quotas(const holder_weights& weights,
              const std::vector<std::uint32_t>& owned, std::size_t buckets);

/// True when every holder owns at least its quota.
bool is_balanced(const std::vector<chain>& buckets,
                 const holder_weights& weights);

/// Plans new owners, distributed by weight, for buckets that have no owner or
/// one of weight 0 and for orphaned buckets (their owner left the holder list).
/// A bucket with a full chain is not moved unless an earlier holder can take
/// it.
std::vector<bucket_move>
plan_replacement(const std::vector<chain>& buckets,
                 const holder_weights& weights,
                 const std::vector<bucket_index>& orphaned);

/// Plans at most `limit` moves towards the quotas, in this order: buckets
/// without live flows, buckets that an earlier holder can take back, buckets
/// with the shortest chains. A move may lengthen only chains shorter than
/// voluntary_chain_length. Taking back a bucket does not lengthen its chain and
/// is allowed for chains shorter than `take_back_length`.
std::vector<bucket_move>
plan_rebalance(const std::vector<chain>& buckets, const holder_weights& weights,
               const std::vector<bucket_index>& idle, std::size_t limit,
               std::size_t take_back_length = voluntary_chain_length);

} // namespace toucanmill

#endif
