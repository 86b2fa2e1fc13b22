#include "service_buckets.hpp"

#include <algorithm>
#include <optional>
#include <unordered_map>

#include <toucanmill/base/invariant.hpp>

namespace toucanmill
{

namespace
{

std::optional<holder_index> index_of(const service_entry& service, node_id node)
{
  const auto& holders = service.table.holders;
  for (std::size_t i = 0; i < holders.size(); ++i)
    if (holders[i].node == node)
      return static_cast<holder_index>(i);
  return {};
}

holder holder_of(const upstream_view& upstream)
{
  return {upstream.node, upstream.agent, upstream.suspect,
          upstream.data_centre};
}

/// Current holders in their existing order, then new upstreams.
std::vector<holder> next_holders(const std::vector<holder>& current,
                                 const std::vector<upstream_view>& upstreams)
{
  std::unordered_map<node_id, const upstream_view*> remaining;
  for (const auto& upstream : upstreams)
    remaining.emplace(upstream.node, &upstream);
  std::vector<holder> next;
  next.reserve(upstreams.size());
  for (const auto& holder : current)
    if (const auto found = remaining.find(holder.node);
        found != remaining.end())
    {
      next.push_back(holder_of(*found->second));
      remaining.erase(found);
    }
  for (const auto& upstream : upstreams)
    if (remaining.count(upstream.node) != 0)
      next.push_back(holder_of(upstream));
  return next;
}

using index_map = std::vector<std::optional<holder_index>>;

/// New index of each current holder; none for removed holders. Holders in both
/// lists must have the same relative order.
index_map map_holder_indexes(const std::vector<holder>& current,
                             const std::vector<holder>& next)
{
  index_map map(current.size());
  std::size_t at = 0;
  for (std::size_t i = 0; i < current.size(); ++i)
    if (at < next.size() && next[at].node == current[i].node)
      map[i] = static_cast<holder_index>(at++);
  return map;
}

chain renumber_holders(const chain& bucket, const index_map& map)
{
  chain next;
  for (const auto holder : bucket)
    if (map[holder])
      next.holders[next.size++] = *map[holder];
  return next;
}

bool is_earlier_holder(const chain& bucket, holder_index holder)
{
  return bucket.size > 0 && bucket.holders[0] != holder &&
         contains(bucket, holder);
}

void check_chain(const chain& bucket, std::size_t holders)
{
  TOUCANMILL_INVARIANT(bucket.size <= max_chain_length, "a chain is too long");
  for (std::size_t i = 0; i < bucket.size; ++i)
  {
    TOUCANMILL_INVARIANT(bucket.holders[i] < holders,
                         "a chain names an unknown holder");
    for (std::size_t j = 0; j < i; ++j)
      TOUCANMILL_INVARIANT(bucket.holders[i] != bucket.holders[j],
                           "a chain names a holder twice");
  }
}

bool could_have_owner(const chain& bucket, const holder_weights& weights)
{
  if (bucket.size < max_chain_length)
    return std::any_of(weights.begin(), weights.end(),
                       [](std::uint32_t weight)
                       {
                         return weight > 0;
                       });
  return std::any_of(bucket.begin(), bucket.end(),
                     [&](holder_index holder)
                     {
                       return weights[holder] > 0;
                     });
}

} // namespace

holder_weights weights_of(const service_entry& service,
                          const std::vector<upstream_view>& upstreams)
{
  std::unordered_map<node_id, std::uint32_t> by_node;
  for (const auto& upstream : upstreams)
    by_node.emplace(upstream.node, upstream.weight);
  holder_weights weights;
  for (const auto& holder : service.table.holders)
    if (const auto found = by_node.find(holder.node); found != by_node.end())
      weights.push_back(found->second);
    else
      weights.push_back(0);
  return weights;
}

bool sync_holders(service_entry& service,
                  const std::vector<upstream_view>& upstreams,
                  std::vector<bucket_index>& orphaned)
{
  auto& table = service.table;
  auto next = next_holders(table.holders, upstreams);
  if (next == table.holders)
    return false;
  const auto map = map_holder_indexes(table.holders, next);
  for (std::size_t i = 0; i < table.buckets.size(); ++i)
  {
    auto& bucket = table.buckets[i];
    if (bucket.size > 0 && !map[bucket.holders[0]])
      orphaned.push_back(static_cast<bucket_index>(i));
    bucket = renumber_holders(bucket, map);
  }
  table.holders = std::move(next);
  return true;
}

bool apply_moves(service_entry& service, const std::vector<bucket_move>& moves,
                 std::uint64_t index, bool keep_chains)
{
  for (const auto& move : moves)
  {
    auto& bucket = service.table.buckets[move.bucket];
    bucket = with_owner(keep_chains ? bucket : chain{}, move.to);
    service.moved[move.bucket] = index;
  }
  return !moves.empty();
}

std::vector<bucket_index> releasable(const service_entry& service, node_id node,
                                     std::uint64_t at_index,
                                     const std::vector<bucket_index>& held)
{
  std::vector<bucket_index> found;
  const auto holder = index_of(service, node);
  if (!holder)
    return found;
  const auto& buckets = service.table.buckets;
  for (std::size_t i = 0; i < buckets.size(); ++i)
    if (const auto bucket = static_cast<bucket_index>(i);
        is_earlier_holder(buckets[i], *holder) &&
        service.moved[i] <= at_index &&
        !std::binary_search(held.begin(), held.end(), bucket))
      found.push_back(bucket);
  return found;
}

bool release(service_entry& service, node_id node, std::uint64_t at_index,
             const std::vector<bucket_index>& buckets)
{
  const auto holder = index_of(service, node);
  bool changed = false;
  for (const auto bucket : buckets)
    if (holder && bucket < service.table.buckets.size() &&
        service.moved[bucket] <= at_index &&
        is_earlier_holder(service.table.buckets[bucket], *holder))
    {
      auto& current = service.table.buckets[bucket];
      current = without_holder(current, *holder);
      changed = true;
    }
  return changed;
}

void check_buckets_invariants(const service_entry& service,
                              const std::vector<upstream_view>& upstreams)
{
  const auto weights = weights_of(service, upstreams);
  for (const auto& bucket : service.table.buckets)
  {
    check_chain(bucket, weights.size());
    const bool owner_is_active =
        bucket.size > 0 && weights[bucket.holders[0]] > 0;
    TOUCANMILL_INVARIANT(owner_is_active || !could_have_owner(bucket, weights),
                         "a bucket has no active owner");
  }
}

} // namespace toucanmill
