#ifndef TOUCANMILL_CLUSTER_SERVICE_BUCKETS_HPP
#define TOUCANMILL_CLUSTER_SERVICE_BUCKETS_HPP

#include <cstdint>
#include <vector>

#include <toucanmill/cluster/assignment.hpp>
#include <toucanmill/table/service_table.hpp>

namespace toucanmill
{

/// A service with what only control knows about its buckets.
struct service_entry
{
  service_table table;
  /// For each bucket, log index of the change that last replaced its owner. A
  /// holder that acts on that index or a later one accepts no new flow there.
  std::vector<std::uint64_t> moved;
};

/// An upstream as its service sees it.
struct upstream_view
{
  node_id node;
  endpoint agent;
  bool suspect = false;
  std::uint32_t weight = 0; ///< 0: must not own buckets
};

/// Weights by holder index; 0 for holders that are not among the upstreams.
holder_weights weights_of(const service_entry& service,
                          const std::vector<upstream_view>& upstreams);

/// Makes the holder list match the upstreams. Holders that are not among them
/// leave their chains; the buckets that they owned are added to `orphaned`.
/// True when anything changed.
bool match_holders(service_entry& service,
                   const std::vector<upstream_view>& upstreams,
                   std::vector<bucket_index>& orphaned);

/// Applies moves at a log index. Without chains the earlier holders are
/// dropped. True when there was a move.
bool apply_moves(service_entry& service, const std::vector<bucket_move>& moves,
                 std::uint64_t index, bool keep_chains);

/// Buckets in which the node is an earlier holder, holds no flows (`held` is
/// ascending) and acted on a table no older than that of the last move.
std::vector<bucket_index> releasable(const service_entry& service, node_id node,
                                     std::uint64_t at_index,
                                     const std::vector<bucket_index>& held);

/// Takes the node out of those of the buckets where it is an earlier holder
/// and the last move is no newer than the index. True when anything changed.
bool release(service_entry& service, node_id node, std::uint64_t at_index,
             const std::vector<bucket_index>& buckets);

/// Ends the process when a chain is malformed, or a bucket has an owner without
/// weight although an upstream with weight could take it.
void check_buckets_invariants(const service_entry& service,
                              const std::vector<upstream_view>& upstreams);

} // namespace toucanmill

#endif
