#include <toucanmill/cluster/assignment.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <numeric>

using namespace toucanmill;

namespace
{

std::vector<chain> owned_by(holder_index holder, std::size_t count)
{
  return std::vector<chain>(count, chain{1, {holder}});
}

void apply(std::vector<chain>& buckets, const std::vector<bucket_move>& moves)
{
  for (const auto& move : moves)
    buckets[move.bucket] = with_owner(buckets[move.bucket], move.to);
}

/// 256 buckets distributed evenly over the holders.
std::vector<chain> distribute_evenly(std::size_t holders)
{
  std::vector<chain> buckets(256);
  apply(buckets, plan_replacement(buckets, holder_weights(holders, 1000), {}));
  return buckets;
}

std::uint32_t owned_count_spread(const std::vector<chain>& buckets,
                                 std::size_t holders)
{
  const auto owned = owned_bucket_counts(buckets, holders);
  const auto [least, most] = std::minmax_element(owned.begin(), owned.end());
  return *most - *least;
}

chain chain_of(std::initializer_list<holder_index> holders)
{
  chain result_chain;
  for (const auto holder : holders)
    result_chain.holders[result_chain.size++] = holder;
  return result_chain;
}

} // namespace

TEST_GROUP(assignment){};

// Guards against quotas that do not add up to the bucket count, and against
// moves caused only by rounding.
TEST(assignment, quotas_add_up_and_balanced_table_is_unchanged)
{
  for (std::size_t holders = 1; holders <= 9; ++holders)
  {
    const auto buckets = distribute_evenly(holders);
    const holder_weights weights(holders, 1000);
    const auto owned = owned_bucket_counts(buckets, holders);
    const auto quotas = bucket_quotas(weights, owned, buckets.size());
    CHECK_EQUAL(256U, std::accumulate(quotas.begin(), quotas.end(), 0U));
    CHECK_TRUE(quotas == owned);
    CHECK_TRUE(plan_rebalance(buckets, weights, {}, 256).empty());
  }
}

// Guards against a drain that moves other holders' buckets, leaves buckets on
// the drained holder or moves them all to one upstream.
TEST(assignment, drain_moves_only_its_buckets_and_spreads_them)
{
  auto buckets = distribute_evenly(7);
  holder_weights weights(7, 1000);
  weights[3] = 0;
  const auto owned = owned_bucket_counts(buckets, 7)[3];
  const auto moves = plan_replacement(buckets, weights, {});
  CHECK_EQUAL(owned, moves.size());
  for (const auto& move : moves)
    CHECK_EQUAL(3, buckets[move.bucket].holders[0]);
  apply(buckets, moves);
  auto counts = owned_bucket_counts(buckets, 7);
  CHECK_EQUAL(0U, counts[3]);
  counts.erase(counts.begin() + 3);
  const auto [least, most] = std::minmax_element(counts.begin(), counts.end());
  CHECK_TRUE(*most - *least <= 1);
}

// Guards against a rebalance that moves more buckets than necessary or does not
// converge.
TEST(assignment, rebalance_is_bounded_and_minimal)
{
  auto buckets = owned_by(0, 256);
  const holder_weights weights(4, 1000);
  std::size_t moved = 0;
  for (int round = 0; round < 12; ++round)
  {
    const auto moves = plan_rebalance(buckets, weights, {}, 16);
    CHECK_EQUAL(16U, moves.size());
    moved += moves.size();
    apply(buckets, moves);
  }
  CHECK_EQUAL(192U, moved);
  CHECK_EQUAL(0U, owned_count_spread(buckets, 4));
  CHECK_TRUE(plan_rebalance(buckets, weights, {}, 16).empty());
}

// Guards against moving buckets with flows while idle buckets could be moved.
TEST(assignment, rebalance_takes_idle_buckets_first)
{
  const auto buckets = owned_by(0, 64);
  const auto moves = plan_rebalance(buckets, {1000, 1000}, {40, 50, 60}, 3);
  CHECK_TRUE(moves == (std::vector<bucket_move>{{40, 1}, {50, 1}, {60, 1}}));
}

// Guards against rebalance moves that lengthen chains unnecessarily.
TEST(assignment, rebalance_prefers_earlier_holders_and_skips_long_chains)
{
  auto buckets = owned_by(0, 4);
  buckets[2] = chain_of({0, 1});
  buckets[0] = chain_of({0, 2, 3, 4});
  const holder_weights weights{1000, 1000, 0, 0, 0};
  CHECK_TRUE(plan_rebalance(buckets, weights, {}, 1) ==
             (std::vector<bucket_move>{{2, 1}}));
  buckets[1] = buckets[2] = buckets[3] = buckets[0];
  CHECK_TRUE(plan_rebalance(buckets, weights, {}, 4).empty());
  CHECK_TRUE(plan_rebalance(buckets, weights, {}, 4, 9).empty());
  buckets[1] = chain_of({0, 2, 3, 1});
  CHECK_TRUE(plan_rebalance(buckets, weights, {}, 4).empty());
  CHECK_TRUE(plan_rebalance(buckets, weights, {}, 4, 9) ==
             (std::vector<bucket_move>{{1, 1}}));
}

// Guards against a drain that drops a holder with flows from a full chain.
TEST(assignment, full_chain_moves_only_to_an_earlier_holder)
{
  const std::vector<chain> buckets{chain_of({0, 1, 2, 3, 4, 5, 6, 7})};
  holder_weights weights(9, 0);
  weights[8] = 1000;
  CHECK_TRUE(plan_replacement(buckets, weights, {}).empty());
  weights[5] = 1;
  CHECK_TRUE(plan_replacement(buckets, weights, {}) ==
             (std::vector<bucket_move>{{0, 5}}));
  CHECK_TRUE(with_owner(buckets[0], 5) == chain_of({5, 0, 1, 2, 3, 4, 6, 7}));
}
