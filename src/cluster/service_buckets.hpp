#ifndef TOUCANMILL_CLUSTER_SERVICE_BUCKETS_HPP
#define TOUCANMILL_CLUSTER_SERVICE_BUCKETS_HPP

#include <cstdint>
#include <vector>

#include <toucanmill/cluster/assignment.hpp>
#include <toucanmill/table/service_table.hpp>

namespace toucanmill
{

/// A service with the bucket data that only control instances keep.
struct service_entry
{
  service_table table;
  /// For each bucket, log index of the change that last replaced its owner. An
  /// earlier holder that has applied that index accepts no new flows in it.
  std::vector<std::uint64_t> moved;
};

/// The properties of an upstream that matter for bucket assignment.
struct upstream_view
{
  node_id node;
  endpoint agent;
  bool suspect = false;
  std::uint32_t weight = 0; ///< 0: must not own buckets
  data_centre_key data_centre = 0;
};

/// Weights by holder index; 0 for holders not in `upstreams`.
holder_weights weights_of(const service_entry& service,
                          const std::vector<upstream_view>& upstreams);

/// Makes the holder list match the upstreams. Other holders are removed from
/// their chains, and the buckets they owned are added to `orphaned`. Returns
/// whether anything changed.
bool sync_holders(service_entry& service,
                  const std::vector<upstream_view>& upstreams,
                  std::vector<bucket_index>& orphaned);

/// Applies moves at a log index. Unless `keep_chains` is set, earlier holders
/// are dropped from the chains. Returns whether there was a move.
bool apply_moves(service_entry& service, const std::vector<bucket_move>& moves,
                 std::uint64_t index, bool keep_chains);

/// Buckets in which the node is an earlier holder, holds no flows (`held` lists
/// buckets with flows, ascending) and whose last move is not after `at_index`.
std::vector<bucket_index> releasable(const service_entry& service, node_id node,
                                     std::uint64_t at_index,
                                     const std::vector<bucket_index>& held);

/// Removes the node from those of `buckets` in which it is an earlier holder
/// and whose last move is not after `at_index`. Returns whether anything
/// changed.
bool release(service_entry& service, node_id node, std::uint64_t at_index,
             const std::vector<bucket_index>& buckets);

/// Aborts the process if a chain is malformed, or if a bucket has no owner with
/// nonzero weight although an upstream with nonzero weight could take it.
void check_buckets_invariants(const service_entry& service,
                              const std::vector<upstream_view>& upstreams);

} // namespace toucanmill

#endif
