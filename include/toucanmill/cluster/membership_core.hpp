#ifndef TOUCANMILL_CLUSTER_MEMBERSHIP_CORE_HPP
#define TOUCANMILL_CLUSTER_MEMBERSHIP_CORE_HPP

#include <memory>
#include <optional>
#include <vector>

#include <toucanmill/base/time.hpp>
#include <toucanmill/cluster/command.hpp>
#include <toucanmill/cluster/load_weights.hpp>
#include <toucanmill/cluster/node.hpp>
#include <toucanmill/cluster/state_machine.hpp>

namespace toucanmill
{

struct membership_options
{
  duration lease = std::chrono::seconds(3);
  duration suspect_limit = std::chrono::seconds(30); ///< then gone
  duration ramp = std::chrono::seconds(10);          ///< cold start
  duration rebalance_interval = std::chrono::seconds(1);
  double max_removed_share = 1.0 / 3; ///< of a service's upstreams, at least 1
  load_options load;
};

/// Live state of a node that only the leader has.
struct node_liveness
{
  node_id id;
  bool lease_valid = false;
  table_version applied;
  std::uint32_t flows = 0;
  std::uint32_t busy_slots = 0;
};

/// Leases and load of the nodes, in the leader's memory. Turns reports and the
/// passing of time into commands to propose.
class membership_core
{
public:
  explicit membership_core(membership_options options);
  ~membership_core();

  /// Becomes leader: every known node gets a full lease.
  void on_leader(const state_machine& state, time_point now);

  /// Takes a report. A report of an older life has no effect.
  std::vector<command> on_report(const state_machine& state,
                                 const node_report& report, time_point now);

  /// Expired leases, nodes to remove and rebalance steps that are due.
  std::vector<command> on_tick(const state_machine& state, time_point now);

  std::vector<node_liveness> liveness(time_point now) const;

  /// Every node with a valid lease applied at least this log index.
  bool in_force(std::uint64_t index, time_point now) const;

private:
  std::optional<rebalance> rebalance_step(const state_machine& state,
                                          const service_table& table,
                                          time_point now);

  struct state_data;
  std::unique_ptr<state_data> data_;
};

} // namespace toucanmill

#endif
