#ifndef TOUCANMILL_CONTROL_CONTROL_STATE_HPP
#define TOUCANMILL_CONTROL_CONTROL_STATE_HPP

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <toucanmill/cluster/membership_core.hpp>
#include <toucanmill/cluster/state_machine.hpp>
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
  incarnation life;              ///< latest life of the node that control knows
  std::vector<endpoint> members; ///< RPC endpoints of the control instances
};

/// Something that an operator's log should show.
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
  };

  kind what;
  std::string detail;
};

/// Services and nodes at one moment.
struct control_view
{
  std::vector<service_table> services;
  std::vector<node_record> nodes;
  std::vector<node_liveness> liveness;
  std::uint64_t configuration_version = 0;
  std::size_t claims = 0;
};

struct control_state_options
{
  /// Silent control instances are removed from the group; off for a group that
  /// the settings name.
  bool remove_silent = false;
  bool stores = true; ///< this instance keeps the log on a disk
  group_options group;
  membership_options membership;
  assignment_options assignment;
  std::function<void(const replica_address&, std::string)> send;
  std::function<void(const control_notice&)> notify;

  /// Called when this changes: whether this instance is what it can be, a voter
  /// or without a disk a learner, in a group with a leader. False at the start.
  std::function<void(bool)> on_settled;

  /// Called on the leader about every 0.5 s with the RPC endpoints of the
  /// members, and of those of them that it hears. May be empty.
  std::function<void(std::vector<endpoint> all, std::vector<endpoint> heard)>
      on_members;

  /// Called on the leader with the time from the commit of a configuration
  /// until every live node acts on it. May be empty.
  std::function<void(duration)> on_in_force;
};

/// State machine and membership of a control instance. Every function runs on
/// the thread of the replicated log.
class control_state final : public log_client
{
public:
  explicit control_state(control_state_options options);

  /// Must be called once before the log is used.
  void attach(replicated_log& log);

  std::string apply(const log_entry& entry) override;
  std::string snapshot() override;
  result<void> restore(table_version position,
                       const std::string& bytes) override;
  void on_leadership(bool leads, std::uint64_t term) override;
  void on_tick(time_point now) override;
  void send(const replica_address& to, std::string message) override;

  /// Takes a node's report; call only while a quorum confirms the leadership.
  report_reply on_report(const node_report& report, time_point now);

  control_view view(time_point now) const;

  /// The configuration in force; current only while a quorum confirms that
  /// this instance leads.
  const configuration& declared() const
  {
    return machine_.declared();
  }

  /// Names of live nodes that do not act on this log index yet.
  std::vector<std::string> waiting_for(std::uint64_t index,
                                       time_point now) const;

  bool leads() const
  {
    return leads_;
  }

  const group_options& group() const
  {
    return options_.group;
  }

private:
  void propose(std::vector<command> commands);
  void check_settled(time_point now);
  void check_group(time_point now);
  std::vector<endpoint> members() const;
  std::vector<endpoint> heard_members() const;
  void remove_silent_members();
  void note_command(const command& value, const command_outcome& outcome);
  void check_in_force(time_point now);

  control_state_options options_;
  state_machine machine_;
  membership_core membership_;
  time_point next_group_check_;
  bool first_group_check_ = true; ///< of this leadership
  replicated_log* log_ = nullptr;
  bool leads_ = false;

  /// Index and time of commit of configurations that are not yet in force
  /// everywhere.
  std::deque<std::pair<std::uint64_t, time_point>> spreading_;
  std::optional<bool> settled_;
  time_point leader_known_; ///< latest time at which there was one
};

} // namespace toucanmill

#endif
