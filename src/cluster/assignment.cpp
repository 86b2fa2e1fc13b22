#include <toucanmill/cluster/assignment.hpp>

#include <algorithm>
#include <numeric>
#include <optional>
#include <tuple>

#include <toucanmill/base/invariant.hpp>

namespace toucanmill
{

bool contains(const chain& bucket, holder_index holder)
{
  return std::find(bucket.begin(), bucket.end(), holder) != bucket.end();
}

chain without_holder(const chain& bucket, holder_index holder)
{
  chain remaining;
  for (const auto other : bucket)
    if (other != holder)
      remaining.holders[remaining.size++] = other;
  return remaining;
}

chain with_owner(const chain& bucket, holder_index owner)
{
  const auto earlier = without_holder(bucket, owner);
  TOUCANMILL_INVARIANT(earlier.size < max_chain_length,
                       "a move must not drop a holder from a full chain");
  chain next;
  next.holders[next.size++] = owner;
  for (const auto holder : earlier)
    next.holders[next.size++] = holder;
  return next;
}

std::vector<std::uint32_t>
owned_bucket_counts(const std::vector<chain>& buckets, std::size_t holders)
{
  std::vector<std::uint32_t> owned(holders);
  for (const auto& bucket : buckets)
    if (bucket.size > 0)
      ++owned[bucket.holders[0]];
  return owned;
}

std::vector<std::uint32_t>
bucket_quotas(const holder_weights& weights,
              const std::vector<std::uint32_t>& owned, std::size_t buckets)
{
  const auto total =
      std::accumulate(weights.begin(), weights.end(), std::uint64_t{0});
  std::vector<std::uint32_t> quotas(weights.size());
  if (total == 0)
    return quotas;
  std::size_t remaining = buckets;
  for (std::size_t i = 0; i < weights.size(); ++i)
  {
    quotas[i] = static_cast<std::uint32_t>(weights[i] * buckets / total);
    remaining -= quotas[i];
  }
  std::vector<std::size_t> order;
  for (std::size_t i = 0; i < weights.size(); ++i)
    if (weights[i] > 0)
      order.push_back(i);
  const auto rank = [&](std::size_t i)
  {
    return std::make_tuple(owned[i] <= quotas[i],
                           total - weights[i] * buckets % total, i);
  };
  std::sort(order.begin(), order.end(),
            [&](std::size_t a, std::size_t b)
            {
              return rank(a) < rank(b);
            });
  for (std::size_t i = 0; i < remaining; ++i)
    ++quotas[order[i]];
  return quotas;
}

namespace
{

/// Owned bucket counts and quotas, updated as moves are added to a plan.
struct quota_tracker
{
  quota_tracker(const std::vector<chain>& buckets,
                const holder_weights& holders)
      : weights(holders), owned(owned_bucket_counts(buckets, holders.size())),
        quotas(bucket_quotas(holders, owned, buckets.size()))
  {
  }

  std::int64_t deficit(holder_index holder) const
  {
    return std::int64_t{quotas[holder]} - std::int64_t{owned[holder]};
  }

  void move(const chain& bucket, holder_index to)
  {
    if (bucket.size > 0)
      --owned[bucket.holders[0]];
    ++owned[to];
  }

  const holder_weights& weights;
  std::vector<std::uint32_t> owned;
  std::vector<std::uint32_t> quotas;
};

/// Holder in the chain with the largest deficit, if at least `min_deficit`.
std::optional<holder_index> earlier_holder_with_largest_deficit(
    const chain& bucket, const quota_tracker& tracker, std::int64_t min_deficit)
{
  std::optional<holder_index> best;
  for (const auto holder : bucket)
    if (tracker.weights[holder] > 0 && tracker.deficit(holder) >= min_deficit &&
        (!best || tracker.deficit(holder) > tracker.deficit(*best)))
      best = holder;
  return best;
}

/// Holder of the service with the largest deficit, if at least `min_deficit`.
std::optional<holder_index>
holder_with_largest_deficit(const quota_tracker& tracker,
                            std::int64_t min_deficit)
{
  std::optional<holder_index> best;
  for (std::size_t i = 0; i < tracker.weights.size(); ++i)
    if (const auto holder = static_cast<holder_index>(i);
        tracker.weights[i] > 0 && tracker.deficit(holder) >= min_deficit &&
        (!best || tracker.deficit(holder) > tracker.deficit(*best)))
      best = holder;
  return best;
}

constexpr std::int64_t any_deficit = INT64_MIN;

std::optional<holder_index> choose_replacement(const chain& bucket,
                                               const quota_tracker& tracker)
{
  if (const auto earlier =
          earlier_holder_with_largest_deficit(bucket, tracker, 1))
    return earlier;
  if (bucket.size >= max_chain_length)
    return earlier_holder_with_largest_deficit(bucket, tracker, any_deficit);
  return holder_with_largest_deficit(tracker, any_deficit);
}

using owner_selector = std::optional<holder_index> (*)(const chain&,
                                                       const quota_tracker&);

std::optional<holder_index> choose_earlier_holder(const chain& bucket,
                                                  const quota_tracker& tracker)
{
  return earlier_holder_with_largest_deficit(bucket, tracker, 1);
}

std::optional<holder_index> choose_any_holder(const chain& bucket,
                                              const quota_tracker& tracker)
{
  if (const auto earlier = choose_earlier_holder(bucket, tracker))
    return earlier;
  return holder_with_largest_deficit(tracker, 1);
}

/// Collects the moves of one plan_rebalance call.
class rebalance_plan
{
public:
  rebalance_plan(const std::vector<chain>& buckets,
                 const holder_weights& weights, std::size_t limit)
      : buckets_(buckets), tracker_(buckets, weights), limit_(limit),
        moved_(buckets.size())
  {
  }

  void add(const std::vector<bucket_index>& candidates, owner_selector choose,
           std::size_t chain_length_limit)
  {
    for (const auto bucket : candidates)
      if (moves_.size() < limit_ && may_move(bucket, chain_length_limit))
        if (const auto to = choose(buckets_[bucket], tracker_))
          move(bucket, *to);
  }

  std::vector<bucket_move> moves() &&
  {
    return std::move(moves_);
  }

private:
  bool may_move(bucket_index bucket, std::size_t chain_length_limit) const
  {
    if (bucket >= buckets_.size() || moved_[bucket])
      return false;
    const auto& chain = buckets_[bucket];
    return chain.size > 0 && chain.size < chain_length_limit &&
           tracker_.weights[chain.holders[0]] > 0 &&
           tracker_.deficit(chain.holders[0]) < 0;
  }

  void move(bucket_index bucket, holder_index to)
  {
    tracker_.move(buckets_[bucket], to);
    moved_[bucket] = true;
    moves_.push_back({bucket, to});
  }

  const std::vector<chain>& buckets_;
  quota_tracker tracker_;
  std::size_t limit_;
  std::vector<bool> moved_;
  std::vector<bucket_move> moves_;
};

std::vector<bucket_index> by_chain_length(const std::vector<chain>& buckets)
{
  std::vector<bucket_index> order(buckets.size());
  std::iota(order.begin(), order.end(), bucket_index{0});
  std::stable_sort(order.begin(), order.end(),
                   [&](bucket_index a, bucket_index b)
                   {
                     return buckets[a].size < buckets[b].size;
                   });
  return order;
}

} // namespace

bool is_balanced(const std::vector<chain>& buckets,
                 const holder_weights& weights)
{
  return !holder_with_largest_deficit(quota_tracker(buckets, weights), 1);
}

std::vector<bucket_move>
plan_replacement(const std::vector<chain>& buckets,
                 const holder_weights& weights,
                 const std::vector<bucket_index>& orphaned)
{
  std::vector<bool> needs_owner(buckets.size());
  for (const auto bucket : orphaned)
    needs_owner[bucket] = true;
  for (std::size_t i = 0; i < buckets.size(); ++i)
    if (buckets[i].size == 0 || weights[buckets[i].holders[0]] == 0)
      needs_owner[i] = true;
  std::vector<bucket_move> moves;
  quota_tracker tracker(buckets, weights);
  for (std::size_t i = 0; i < buckets.size(); ++i)
    if (needs_owner[i])
      if (const auto to = choose_replacement(buckets[i], tracker))
      {
        tracker.move(buckets[i], *to);
        moves.push_back({static_cast<bucket_index>(i), *to});
      }
  return moves;
}

std::vector<bucket_move> plan_rebalance(const std::vector<chain>& buckets,
                                        const holder_weights& weights,
                                        const std::vector<bucket_index>& idle,
                                        std::size_t limit,
                                        std::size_t take_back_length)
{
  rebalance_plan plan(buckets, weights, limit);
  const auto order = by_chain_length(buckets);
  plan.add(idle, choose_any_holder, voluntary_chain_length);
  plan.add(order, choose_earlier_holder, take_back_length);
  plan.add(order, choose_any_holder, voluntary_chain_length);
  return std::move(plan).moves();
}

} // namespace toucanmill
