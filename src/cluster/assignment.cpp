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
  chain left;
  for (const auto other : bucket)
    if (other != holder)
      left.holders[left.size++] = other;
  return left;
}

chain with_owner(const chain& bucket, holder_index owner)
{
  const auto earlier = without_holder(bucket, owner);
  TOUCANMILL_INVARIANT(earlier.size < max_chain_length,
                       "a move must not push a holder out of a full chain");
  chain next;
  next.holders[next.size++] = owner;
  for (const auto holder : earlier)
    next.holders[next.size++] = holder;
  return next;
}

std::vector<std::uint32_t> owned_buckets(const std::vector<chain>& buckets,
                                         std::size_t holders)
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
  std::size_t left = buckets;
  for (std::size_t i = 0; i < weights.size(); ++i)
  {
    quotas[i] = static_cast<std::uint32_t>(weights[i] * buckets / total);
    left -= quotas[i];
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
  for (std::size_t i = 0; i < left; ++i)
    ++quotas[order[i]];
  return quotas;
}

namespace
{

/// Owned buckets and quotas while a plan grows.
struct balance
{
  balance(const std::vector<chain>& buckets, const holder_weights& holders)
      : weights(holders), owned(owned_buckets(buckets, holders.size())),
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

/// Holder with the largest deficit among those in the chain.
std::optional<holder_index> neediest_earlier_holder(const chain& bucket,
                                                    const balance& now,
                                                    std::int64_t least)
{
  std::optional<holder_index> best;
  for (const auto holder : bucket)
    if (now.weights[holder] > 0 && now.deficit(holder) >= least &&
        (!best || now.deficit(holder) > now.deficit(*best)))
      best = holder;
  return best;
}

/// Holder with the largest deficit of all.
std::optional<holder_index> neediest(const balance& now, std::int64_t least)
{
  std::optional<holder_index> best;
  for (std::size_t i = 0; i < now.weights.size(); ++i)
    if (const auto holder = static_cast<holder_index>(i);
        now.weights[i] > 0 && now.deficit(holder) >= least &&
        (!best || now.deficit(holder) > now.deficit(*best)))
      best = holder;
  return best;
}

constexpr std::int64_t any_deficit = INT64_MIN;

std::optional<holder_index> replacement_for(const chain& bucket,
                                            const balance& now)
{
  if (const auto earlier = neediest_earlier_holder(bucket, now, 1))
    return earlier;
  if (bucket.size >= max_chain_length)
    return neediest_earlier_holder(bucket, now, any_deficit);
  return neediest(now, any_deficit);
}

using target_choice = std::optional<holder_index> (*)(const chain&,
                                                      const balance&);

std::optional<holder_index> earlier_target(const chain& bucket,
                                           const balance& now)
{
  return neediest_earlier_holder(bucket, now, 1);
}

std::optional<holder_index> any_target(const chain& bucket, const balance& now)
{
  if (const auto earlier = earlier_target(bucket, now))
    return earlier;
  return neediest(now, 1);
}

/// Moves of one round of plan_rebalance.
class rebalance_plan
{
public:
  rebalance_plan(const std::vector<chain>& buckets,
                 const holder_weights& weights, std::size_t limit)
      : buckets_(buckets), now_(buckets, weights), limit_(limit),
        taken_(buckets.size())
  {
  }

  void add(const std::vector<bucket_index>& candidates, target_choice choose,
           std::size_t longest)
  {
    for (const auto bucket : candidates)
      if (moves_.size() < limit_ && may_leave_its_owner(bucket, longest))
        if (const auto to = choose(buckets_[bucket], now_))
          move(bucket, *to);
  }

  std::vector<bucket_move> moves() &&
  {
    return std::move(moves_);
  }

private:
  bool may_leave_its_owner(bucket_index bucket, std::size_t longest) const
  {
    if (bucket >= buckets_.size() || taken_[bucket])
      return false;
    const auto& chain = buckets_[bucket];
    return chain.size > 0 && chain.size < longest &&
           now_.weights[chain.holders[0]] > 0 &&
           now_.deficit(chain.holders[0]) < 0;
  }

  void move(bucket_index bucket, holder_index to)
  {
    now_.move(buckets_[bucket], to);
    taken_[bucket] = true;
    moves_.push_back({bucket, to});
  }

  const std::vector<chain>& buckets_;
  balance now_;
  std::size_t limit_;
  std::vector<bool> taken_;
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
  return !neediest(balance(buckets, weights), 1);
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
  balance now(buckets, weights);
  for (std::size_t i = 0; i < buckets.size(); ++i)
    if (needs_owner[i])
      if (const auto to = replacement_for(buckets[i], now))
      {
        now.move(buckets[i], *to);
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
  plan.add(idle, any_target, voluntary_chain_length);
  plan.add(order, earlier_target, take_back_length);
  plan.add(order, any_target, voluntary_chain_length);
  return std::move(plan).moves();
}

} // namespace toucanmill
