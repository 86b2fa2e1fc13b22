#ifndef TOUCANMILL_CLUSTER_STATE_MACHINE_HPP
#define TOUCANMILL_CLUSTER_STATE_MACHINE_HPP

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <toucanmill/cluster/command.hpp>
#include <toucanmill/cluster/node.hpp>
#include <toucanmill/table/service_table.hpp>

namespace toucanmill
{

struct assignment_options
{
  std::size_t moves_per_rebalance = 16; ///< limit per service
  /// An earlier holder may take back a bucket if its chain is shorter than
  /// this.
  std::size_t take_back_chain_length = max_chain_length + 1;
  bool keep_chains = true;         ///< false only to test the effect of chains
  std::uint32_t join_weight = 100; ///< parts per thousand, until rebalanced
  std::size_t max_claim_octets = 64U << 20; ///< at the limit: limit_reached
  std::size_t max_requests = 100'000; ///< retained; at the limit: limit_reached
};

/// A node as the state machine knows it.
struct node_record
{
  node_identity identity;
  node_state state = node_state::active;
  node_order order = node_order::none;
  table_version changed; ///< log entry that last changed state or incarnation
};

/// A data centre whose upstreams get no new flows.
struct evacuation
{
  std::string data_centre;
  std::uint64_t index = 0; ///< log entry since which it applies
  std::uint64_t since = 0; ///< seconds since 1970, by the leader's clock

  bool operator==(const evacuation& other) const
  {
    return data_centre == other.data_centre && index == other.index &&
           since == other.since;
  }
};

/// Part and form of an update that a node needs.
struct declaration_scope
{

  /// Only the routes to this service, without their other targets; all routes
  /// if empty.
  std::optional<std::string> service;
  bool as_declared = false; ///< in table_update::declared, never a difference
  /// Tables of relay services list this holder only, and no owners of buckets:
  /// an agent needs to know only whether balancers may send it packets.
  std::optional<node_id> holder = {};
};

/// Deterministic replicated control state. Instances that have applied the same
/// log entries produce equal snapshots.
class state_machine
{
public:
  explicit state_machine(assignment_options options = {});
  ~state_machine();
  state_machine(state_machine&&) noexcept;
  state_machine& operator=(state_machine&&) noexcept;

  /// Applies a log entry; positions must be strictly increasing.
  command_outcome apply(table_version position, const command& value);

  /// Position of the last applied log entry.
  table_version position() const;

  /// The format version in force.
  format_version format() const;

  /// Incremented by each accepted operator change and by each change of the
  /// evacuations; unrelated to the version of the declared configuration.
  std::uint64_t configuration_version() const;

  /// Changes after a position, limited to service `only` if given. The update
  /// is full if the position is 0.0 or a removal after it is no longer
  /// recorded. All routes are included in a full update and if the removal of
  /// a route after the position is no longer recorded.
  table_update changes_since(table_version since,
                             std::optional<service_id> only = {},
                             const declaration_scope& scope = {}) const;

  /// The configuration in force; version 0 before the first declaration.
  const configuration& declared() const;

  /// Ordered by name.
  std::vector<evacuation> evacuations() const;

  /// Log index of the latest change of the evacuations; 0: none yet.
  std::uint64_t evacuations_index() const;

  /// Null if there is no such service.
  const service_table* find_service(const std::string& name) const;
  std::vector<const service_table*> services() const;

  const node_record* find_node(node_id id) const;
  const node_record* find_node(const std::string& name) const;
  std::vector<const node_record*> nodes() const;

  /// Agents of this service that are not gone, ordered by id.
  std::vector<const node_record*> upstreams(const std::string& service) const;

  /// Buckets whose chains a release_buckets command would remove this node
  /// from, given that at log index `at_index` it holds flows in the buckets
  /// `held` (ascending).
  std::vector<std::uint16_t>
  releasable_buckets(node_id node, std::uint64_t at_index,
                     const std::vector<std::uint16_t>& held) const;

  const assignment_options& options() const;

  std::size_t claim_count() const;

  std::string snapshot() const;
  static result<state_machine> restore(const std::string& bytes,
                                       assignment_options options = {});

private:
  struct state;
  std::unique_ptr<state> state_;
};

} // namespace toucanmill

#endif
