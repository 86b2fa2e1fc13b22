#ifndef TOUCANMILL_CLUSTER_CLUSTER_STATE_HPP
#define TOUCANMILL_CLUSTER_CLUSTER_STATE_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <toucanmill/cluster/state_machine.hpp>

#include "claim_store.hpp"
#include "request_store.hpp"
#include "service_buckets.hpp"

namespace toucanmill
{

/// Number of removed services recorded for changes_since(); tables older than
/// the latest discarded removal get a full update.
inline constexpr std::size_t max_recorded_removals = 1024;

/// Number of removed routes recorded for changes_since(); older tables get all
/// routes. Exceeds the 12,000 addresses of the target size, so that all may be
/// removed at once.
inline constexpr std::size_t max_recorded_route_removals = 16'384;

/// Maximum number of gone nodes without an order that are kept.
inline constexpr std::size_t max_gone_nodes = 10'000;

/// A node with its assignment weight in parts per thousand.
struct node_entry
{
  node_record record;
  std::uint32_t weight = 1000;
};

/// Log indexes of the declarations that last changed a route and that added its
/// address.
struct route_age
{
  std::uint64_t changed = 0;
  std::uint64_t added = 0;
};

/// Log index and time, in seconds, since which a data centre is evacuated.
struct evacuated_since
{
  std::uint64_t index = 0;
  std::uint64_t at = 0;
};

/// Data of the state machine. Ordered containers make iteration deterministic,
/// so that all replicas compute the same assignments and snapshots.
struct cluster_state
{
  explicit cluster_state(assignment_options initial_options)
      : options(initial_options), claims(initial_options.max_claim_octets)
  {
  }

  assignment_options options;
  table_version position;
  format_version format = first_format_version; ///< in force
  std::uint64_t configuration_version = 0;
  std::uint64_t clock = 0; ///< seconds, latest wall clock in any command
  std::uint32_t last_service = 0;

  configuration declared;
  std::uint64_t declared_index = 0;  ///< log index of the declaration
  std::vector<route_age> route_ages; ///< of declared.routes, in their order
  /// Of declared.routes, in their order: the number of the route_group.
  std::vector<std::uint32_t> route_groups;
  std::deque<std::pair<std::uint64_t, endpoint>> route_removals;
  std::uint64_t route_removals_floor = 0; ///< latest index without a record

  std::map<std::string, evacuated_since> evacuations; ///< by data centre
  std::uint64_t evacuations_index = 0; ///< of their latest change; 0: none yet

  std::map<std::string, service_entry> services;
  std::map<endpoint, std::string> addresses;
  std::set<std::pair<std::uint64_t, std::string>> services_by_change;
  std::deque<std::pair<std::uint64_t, service_id>> removals;
  std::uint64_t removals_floor = 0; ///< index of the latest discarded removal

  std::map<node_id, node_entry> nodes;
  std::map<std::string, node_id> node_names;
  /// Agents that are not gone, by service.
  std::map<std::string, std::set<node_id>> upstreams;
  /// Gone nodes without an order, by log index of their latest change.
  std::set<std::pair<std::uint64_t, node_id>> gone;

  request_store requests;
  claim_store claims;
};

node_entry* find_node(cluster_state& state, const std::string& name);

std::vector<upstream_view> upstream_views(const cluster_state& state,
                                          const std::string& service);

/// Updates the holders and bucket owners of a service to match its upstreams.
/// `orphaned` lists buckets already known to need a new owner. The service gets
/// a new version if this changed it or `changed` is set.
void update_service(cluster_state& state, const std::string& name,
                    std::vector<bucket_index> orphaned = {},
                    bool changed = false);

/// Adds a service to, or removes it from, the indexes.
void index_service(cluster_state& state, const std::string& name);
void unindex_service(cluster_state& state, const std::string& name);

/// Adds a node to, or removes it from, the indexes. Call unindex_node before
/// changing the node's record and index_node afterwards.
void index_node(cluster_state& state, const node_entry& node);
void unindex_node(cluster_state& state, const node_entry& node);

/// Changes a node's state and updates its service.
void change_state(cluster_state& state, node_entry& node, node_state to);

/// Removes a service that has no holders and records the removal.
void remove_service(cluster_state& state, const std::string& name);

// Handlers of the commands in command.hpp.
change_outcome apply_request(cluster_state& state,
                             const operator_request& request);
change_outcome apply_declaration(cluster_state& state,
                                 const declare_configuration& order);
change_outcome apply_evacuation(cluster_state& state,
                                const set_evacuation& value);
void apply_register(cluster_state& state, const register_node& value);
void apply_node_state(cluster_state& state, const set_node_state& value);
void apply_release(cluster_state& state, const release_buckets& value);
void apply_rebalance(cluster_state& state, const rebalance& value);

/// Carries out an evacuation order. Returns whether it changed anything.
/// Errors: invalid_argument if the name is not one of a data centre.
result<bool> change_evacuation(cluster_state& state,
                               const set_evacuation& order);

/// The log index of the latest removal of a route with each address. An address
/// without a record has that of the latest removal that is no longer recorded;
/// 0: it was never removed.
std::map<endpoint, std::uint64_t>
latest_removals(const cluster_state& state,
                const std::vector<endpoint>& addresses);

/// Sets the groups of the declared routes.
void group_routes(cluster_state& state);

std::string write_snapshot(const cluster_state& state);
result<cluster_state> read_snapshot(const std::string& bytes,
                                    assignment_options options);

} // namespace toucanmill

#endif
