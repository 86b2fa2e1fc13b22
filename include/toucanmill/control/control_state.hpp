#ifndef TOUCANMILL_CONTROL_CONTROL_STATE_HPP
#define TOUCANMILL_CONTROL_CONTROL_STATE_HPP

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <toucanmill/cluster/membership_core.hpp>
#include <toucanmill/cluster/state_machine.hpp>
#include <toucanmill/cluster/version_core.hpp>
#include <toucanmill/control/group_core.hpp>
#include <toucanmill/log/replicated_log.hpp>

namespace toucanmill
{

/// Reply to a node's report.
struct report_reply
{
  table_update update;
  node_order order = node_order::none;
  service_id service;            ///< agents: 0 when the service does not exist
  incarnation life;              ///< latest known incarnation of the node
  std::vector<endpoint> members; ///< RPC endpoints of the control instances
  std::optional<error> refusal;  ///< the node's build is too old; no reply
};

/// Event reported to the operator's log.
struct control_notice
{
  enum class kind : std::uint8_t
  {
    leadership_gained,
    leadership_lost,
    change_accepted,
    change_refused,
    node_state_changed,
    node_registered,
    group_changed,
    evacuation_changed,
    version_raised,
    build_refused,
    halted,
    storage_full,
    storage_writable,
  };

  kind what;
  std::string detail;
};

/// Point-in-time view of services and nodes.
struct control_view
{
  std::vector<service_table> services;
  std::vector<node_record> nodes;
  std::vector<node_liveness> liveness;
  std::uint64_t configuration_version = 0;
  std::size_t claims = 0;
  format_version format = first_format_version; ///< in force
  std::vector<std::string> held_back_by;        ///< empty unless this one leads
};

struct control_state_options
{
  /// Whether unresponsive control instances are removed from the group. Off if
  /// the settings list the group's members explicitly.
  bool remove_silent_members = false;
  bool persists_log = true; ///< this instance keeps its log on disk
  /// Data centres that may be evacuated; empty: those of the known nodes.
  std::vector<std::string> data_centres;
  group_options group;
  membership_options membership;
  version_options versions;
  format_support formats = this_build();
  assignment_options assignment;
  std::function<void(const replica_address&, std::string)> send;
  std::function<void(const control_notice&)> notify;

  /// Called with the joined state at the first tick and whenever it changes. An
  /// instance is joined while it has its final role (voter, or learner if its
  /// log is in memory) in a group with a leader.
  std::function<void(bool)> on_joined;

  /// Called on the leader about every 0.5 s with the RPC endpoints of all
  /// members and of the reachable ones. May be empty.
  std::function<void(std::vector<endpoint> all,
                     std::vector<endpoint> reachable)>
      on_members;

  /// Called on the leader with the time from the commit of a configuration
  /// until it is in force, that is, applied by every live node. May be empty.
  std::function<void(duration)> on_in_force;
};

/// State machine and node membership of a control instance. All functions run
/// on the thread of the replicated log.
class control_state final : public log_client
{
public:
  explicit control_state(control_state_options options);

  /// Must be called once, before the log is used.
  void attach(replicated_log& log);

  std::string apply(const log_entry& entry) override;
  std::string snapshot() override;
  result<void> restore(table_version position,
                       const std::string& bytes) override;
  format_version required_format() const override
  {
    return machine_.format();
  }
  std::optional<error> failure() const override
  {
    return failure_;
  }
  std::optional<error>
  refusal(const replicated_log_status& status) const override;
  void on_leadership(bool leads, std::uint64_t term) override;
  void on_storage_full(const std::optional<error>& why) override;
  void on_tick(time_point now) override;
  void send(const replica_address& to, std::string message) override;

  /// Handles a node's report. Call only after a quorum has confirmed that this
  /// instance leads.
  report_reply on_report(const node_report& report, time_point now);

  /// The error for a control instance whose build does not read the version in
  /// force, or the one that this leader has proposed; none: it does.
  std::optional<error> refuse_build(const std::string& name,
                                    const format_support& formats);

  control_view view(time_point now) const;

  /// The declared configuration. Up to date only if a quorum has confirmed that
  /// this instance leads.
  const configuration& declared() const
  {
    return machine_.declared();
  }

  std::vector<evacuation> evacuations() const
  {
    return machine_.evacuations();
  }

  /// The refusal of an evacuation order, which is also reported as a notice, if
  /// the data centre is unknown. One that is evacuated is always known, so that
  /// it can be restored after its nodes are gone or the settings have changed.
  std::optional<change_outcome>
  refuse_unknown(const std::string& data_centre) const;

  /// Names of live nodes that have not applied this log index yet.
  std::vector<std::string> waiting_for(std::uint64_t index,
                                       time_point now) const;

  bool leads() const
  {
    return leads_;
  }

  /// As membership_core::settled_index(). Any thread; 0 unless this one leads.
  std::uint64_t settled_index() const
  {
    return settled_index_;
  }

  const group_options& group() const
  {
    return options_.group;
  }

private:
  void propose(std::vector<command> commands);
  void check_joined(time_point now);
  void note_group(time_point now);
  void check_group(time_point now);
  std::vector<endpoint> members() const;
  std::vector<endpoint> reachable_members() const;
  void remove_silent_members();
  bool knows_data_centre(const std::string& name) const;
  void notify_command(const command& value, const command_outcome& outcome);
  void notify_evacuations() const;
  void check_in_force(time_point now);
  void check_version(time_point now);
  std::vector<version_member> version_members(time_point now) const;
  void fail(error why);

  control_state_options options_;
  state_machine machine_;
  membership_core membership_;
  time_point next_group_check_;
  bool first_group_check_ = true; ///< since becoming leader
  replicated_log* log_ = nullptr;
  bool leads_ = false;
  time_point leads_since_;
  std::vector<replica_address> group_; ///< as of the last tick
  time_point group_changed_;           ///< or the leadership began

  /// Log index and commit time of configurations that some live nodes have not
  /// applied yet.
  std::deque<std::pair<std::uint64_t, time_point>> pending_declarations_;
  std::atomic<std::uint64_t> settled_index_{0};
  version_core versions_;
  /// Proposed by this leader and perhaps not in force yet; 0: none.
  format_version proposed_format_ = 0;
  std::set<std::string> refused_builds_; ///< reported as notices
  std::optional<error> failure_;         ///< nothing is applied any more
  std::optional<bool> joined_;
  time_point leader_last_known_; ///< last time a leader was known
};

} // namespace toucanmill

#endif
