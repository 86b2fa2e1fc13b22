#ifndef TOUCANMILL_CONTROL_CONTROL_SERVER_HPP
#define TOUCANMILL_CONTROL_CONTROL_SERVER_HPP

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <toucanmill/base/outcome.hpp>
#include <toucanmill/cluster/membership_core.hpp>
#include <toucanmill/control/control_state.hpp>
#include <toucanmill/log/replicated_log.hpp>

namespace toucanmill
{

struct control_server_options
{
  endpoint rpc;    ///< advertised TCP endpoint of the RPC server
  endpoint listen; ///< endpoint to bind; port 0: bind `rpc`
  replicated_log_options log;
  membership_options membership;
  version_options versions;
  group_options group;
  std::function<void(const control_notice&)> notify;
  std::vector<std::string> data_centres; ///< see control_state_options

  /// See control_state_options; called on the log's thread. May be empty.
  std::function<void(duration)> on_in_force;

  /// RPC endpoints of the seeds, without this instance. If any are given, an
  /// instance that is not a voter joins the group automatically; without a data
  /// folder it stays a learner.
  std::vector<endpoint> seeds;

  /// Called when the lists of agents' open flows can't be read or written; any
  /// thread.
  std::function<void(const std::string&)> on_flow_list_failure =
      [](const std::string&) {};

  /// Called when the group has removed this instance, which must then restart
  /// with a cleared data folder and a new id. Called on the RPC thread,
  /// possibly several times.
  std::function<void()> on_removed;
};

/// `leader` is the leader's RPC endpoint when the error is not_leader; port 0:
/// unknown.
using declare_callback =
    std::function<void(result<change_outcome>, endpoint leader)>;
using configuration_callback =
    std::function<void(result<configuration>, endpoint leader)>;

/// Counters of a control instance, safe to read from any thread.
struct control_counters
{
  std::uint64_t reports = 0;
  std::uint64_t changes = 0;
  std::uint64_t claims = 0;
  std::uint64_t not_leader = 0;         ///< calls redirected to the leader
  std::uint64_t malformed = 0;          ///< calls with invalid values
  std::uint64_t flow_lists = 0;         ///< lists of open flows kept for agents
  std::uint64_t refused_builds = 0;     ///< reports and joins of old builds
  std::uint64_t peer_messages = 0;      ///< replication messages sent
  std::uint64_t peer_octets = 0;        ///< of these, before compression
  std::uint64_t peer_messages_lost = 0; ///< dropped: peer slow or unreachable
};

/// A control instance: replicated log, control state and RPC server.
class control_server
{
public:
  /// Errors: corrupt_data or io_failure if the data folder is unusable;
  /// io_failure if the RPC endpoint can't be bound.
  static result<std::unique_ptr<control_server>>
  start(control_server_options options);
  virtual ~control_server() = default;

  virtual control_counters counters() const = 0;

  /// Current status; blocks until the log's thread answers. Empty if it does
  /// not answer within 5 s.
  virtual replicated_log_status status() = 0;

  /// Declares a configuration, which takes effect if its version is the highest
  /// so far; an older version is accepted without effect. An invalid
  /// configuration gives an outcome with accepted == false. Errors: not_leader,
  /// unavailable, limit_reached. The callback runs on the log's thread.
  virtual void declare(configuration value, declare_callback done) = 0;

  /// Evacuates a data centre or withdraws that order; a repeated order changes
  /// nothing. An unknown name gives an outcome with accepted == false and the
  /// reason not_found. Errors: not_leader, unavailable, limit_reached. The
  /// callback runs on the log's thread.
  virtual void set_evacuation(std::string data_centre, bool evacuated,
                              declare_callback done) = 0;

  /// Reads the declared configuration, confirmed by a quorum; version 0: none.
  /// Errors: not_leader, unavailable.
  virtual void read_configuration(configuration_callback done) = 0;

  /// Replaces the seeds of an instance that was started with seeds; `seeds`
  /// does not contain this instance.
  virtual void use_seeds(std::vector<endpoint> seeds) = 0;

  /// Transfers leadership, leaves the group and stops the threads.
  virtual void stop() = 0;
};

} // namespace toucanmill

#endif
