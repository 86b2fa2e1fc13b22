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
  std::size_t moves_per_rebalance = 16; ///< buckets of one service
  /// An earlier holder may take back a bucket whose chain is shorter than this.
  std::size_t take_back_chain_length = max_chain_length + 1;
  bool keep_chains = true;              ///< off only to show that chains matter
  std::uint32_t join_weight = 100;      ///< parts per thousand, before the ramp
  std::size_t claim_octets = 64U << 20; ///< of all claims; then limit_reached
  std::size_t requests = 100'000;       ///< of operators; then limit_reached
};

/// A node as the state machine knows it.
struct node_record
{
  node_identity identity;
  node_state state = node_state::active;
  node_order order = node_order::none;
  table_version changed; ///< log entry of its latest change of state
};

/// Deterministic control state. Instances that applied the same entries have
/// equal snapshots.
class state_machine
{
public:
  explicit state_machine(assignment_options options = {});
  ~state_machine();
  state_machine(state_machine&&) noexcept;
  state_machine& operator=(state_machine&&) noexcept;

  /// Applies an entry; positions must rise.
  command_outcome apply(table_version position, const command& value);

  /// Position of the last applied entry.
  table_version position() const;

  /// Rises by one with each accepted operator's change.
  std::uint64_t configuration_version() const;

  /// Everything that changed after a position; only one service when named.
  /// Full when the position is 0.0 or older than the record of removals.
  table_update changes_since(table_version since,
                             std::optional<service_id> only = {}) const;

  /// The configuration in force; version 0 before the first.
  const configuration& declared() const;

  /// Null when there is no such service.
  const service_table* find_service(const std::string& name) const;
  std::vector<const service_table*> services() const;

  const node_record* find_node(node_id id) const;
  const node_record* find_node(const std::string& name) const;
  std::vector<const node_record*> nodes() const;

  /// Nodes that are not gone and name this service as theirs, by id.
  std::vector<const node_record*> upstreams(const std::string& service) const;

  /// Buckets that a release_buckets command would take this node out of, given
  /// that it holds flows in the buckets `held` (ascending) at a log index.
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
