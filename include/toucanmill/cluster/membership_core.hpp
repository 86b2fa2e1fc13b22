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
#include <toucanmill/cluster/version_core.hpp>

namespace toucanmill
{

struct membership_options
{
  duration lease = std::chrono::seconds(3);
  duration suspect_timeout = std::chrono::seconds(30); ///< suspect to gone
  /// The same for agents. One that only control can't reach still serves its
  /// flows, which balancers find only while it is listed.
  duration agent_suspect_timeout = std::chrono::minutes(5);
  duration ramp = std::chrono::seconds(10); ///< slow start of an upstream
  duration rebalance_interval = std::chrono::seconds(1);
  /// Share of a service's upstreams that may be suspect at once; at least one.
  double max_removed_share = 1.0 / 3;
  load_options load;
  /// Greatest age of a flow, from when a balancer sends its opening packet.
  duration flow_lifetime = std::chrono::seconds(75);
};

/// Volatile state of a node, known only to the leader.
struct node_liveness
{
  node_id id;
  bool lease_valid = false;
  table_version applied;
  std::uint32_t flows = 0;
  std::uint32_t busy_slots = 0;
  std::optional<format_support> formats; ///< none: no report to this leader
};

/// Tracks leases and load of the nodes in the leader's memory. Reports and
/// timer ticks produce commands for the leader to propose.
class membership_core
{
public:
  explicit membership_core(membership_options options);
  ~membership_core();

  /// Starts a leadership term; grants every known node a full lease.
  void on_leader(const state_machine& state, time_point now);

  /// Handles a report. Reports of an older incarnation are ignored.
  std::vector<command> on_report(const state_machine& state,
                                 const node_report& report, time_point now);

  /// Commands for expired leases, nodes to remove and due rebalance steps.
  std::vector<command> on_tick(const state_machine& state, time_point now);

  std::vector<node_liveness> liveness(time_point now) const;

  /// Handles a report that was refused because of its formats: the node's lease
  /// is not extended, but the node keeps its place and does not become gone.
  void on_refused(const node_report& report, time_point now);

  /// What the nodes stated that are no nodes yet but get the table.
  std::vector<version_member> observers(time_point now) const;

  /// Flows that agents accepted by tables before this log index have ended.
  /// Rises while all nodes that are not gone report; 0: not known.
  std::uint64_t settled_index() const;

  /// Whether every node with a valid lease has applied at least this log index.
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
