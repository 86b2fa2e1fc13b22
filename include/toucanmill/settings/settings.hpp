#ifndef TOUCANMILL_SETTINGS_SETTINGS_HPP
#define TOUCANMILL_SETTINGS_SETTINGS_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <toucanmill/base/address.hpp>
#include <toucanmill/base/finding.hpp>

namespace toucanmill
{

/// Keys outside any section: what every role has.
struct instance_settings
{
  std::string role; ///< "balancer", "agent" or "control"
  std::string name; ///< unique in the system; 1 to 63 of [a-z0-9-]
  std::string data_centre;
  std::string log_level = "INFO"; ///< a level name of log4cplus
  endpoint http;                  ///< metrics and health; port 0: none
  std::vector<endpoint> control;  ///< RPC endpoints of the control instances

  /// Other endpoints of control instances, in place of `control`: the RPC
  /// endpoint of each has the same address and the port control_rpc_port.
  std::vector<endpoint> control_seeds;
  std::uint32_t control_rpc_port = 0;

  endpoint api; ///< HTTP interface towards the platform; port 0: none

  /// A graceful stop takes at most this long. A shorter default would cut
  /// sessions that last a night.
  std::chrono::milliseconds stop_limit{std::chrono::hours(24)};
};

/// Section [balancer].
struct balancer_settings
{
  /// "fabric": encapsulated TCP from fabric edges. "direct": packets of callers
  /// whose flows end at the upstream.
  std::string mode = "fabric";
  endpoint data;                ///< UDP endpoint for packets
  std::vector<endpoint> fabric; ///< mode fabric only
  endpoint relay;               ///< mode direct: UDP endpoint for agents
  /// Mode direct: "hash" spreads new flows over all agents; "near" prefers
  /// those of the balancer's data centre.
  std::string placement = "hash";
};

/// Section [agent].
struct agent_settings
{
  /// "sessions": flows end at the agent. "relay": they end at the upstream.
  std::string mode = "sessions";
  endpoint data;     ///< UDP endpoint for packets
  endpoint upstream; ///< local TCP server, or UDP endpoint in mode relay
  endpoint outbound; ///< mode relay: UDP endpoint for the upstream's packets
  std::chrono::milliseconds announce_interval{1000}; ///< of the upstream
  /// Mode relay: the upstream may discard a flow this long after it was opened.
  std::chrono::milliseconds max_flow_age{60'000};
  std::string service;
  std::uint32_t slots = 4;
  std::uint32_t connections = 2000;
  /// Mode relay: "slots" admits new flows by requests per slot; "objectives" by
  /// the time until their requests would be answered, and lets requests wait.
  std::string admission = "slots";
  std::uint32_t queue = 16;
  std::chrono::milliseconds queue_deadline{1000};
};

/// One element of [[control.group]].
struct group_member_settings
{
  std::uint32_t id = 0;
  endpoint rpc;
};

/// Section [control].
struct control_settings
{
  /// "static": id and group are given. "seeds": the control seeds form the
  /// first group and others join by themselves.
  std::string mode = "static";
  std::uint32_t id = 0;
  endpoint rpc;    ///< as other instances reach it
  endpoint listen; ///< bound in place of `rpc` if given, behind a translation
  /// Mode seeds: without a folder the instance keeps the log in memory and
  /// does not vote.
  std::string folder;
  /// Control instances that may be lost at the same time.
  std::uint32_t tolerated_losses = 1;
  std::vector<group_member_settings> group; ///< first members, voters
  bool bootstrap = false; ///< mode seeds: the system starts for the first time
  /// Data centres that an operator may evacuate; empty: those of known nodes.
  std::vector<std::string> data_centres;
  std::chrono::milliseconds lease{3000};
  /// As in agent_settings; the greatest of all agents.
  std::chrono::milliseconds max_flow_age{60'000};
  /// Silence of the leader after which another instance may take over.
  std::chrono::milliseconds election_timeout{600};
  std::chrono::milliseconds ramp{10000}; ///< until a new upstream has its share
  std::chrono::milliseconds rebalance_interval{1000};
  /// All processes must have read a newer format version for this time before
  /// it is put in force; 0: it never is, so that each can go back.
  std::chrono::milliseconds raise_format_after{0};
  std::uint32_t entries_per_snapshot = 10000;
  std::uint32_t mb_per_snapshot = 64; ///< growth of the log, 10^6 octets
};

/// RPC endpoints of the control instances: `control`, or made from the seeds.
std::vector<endpoint> control_endpoints(const instance_settings& instance);

/// A checked settings file.
struct settings
{
  instance_settings instance;
  std::variant<balancer_settings, agent_settings, control_settings> role;
};

/// Either the settings or everything that is wrong with the file, each with
/// its place. Unknown keys are findings.
using settings_or_findings = std::variant<settings, findings>;

/// Parses TOML text; the file name is used in findings only.
settings_or_findings parse_settings(std::string_view text,
                                    const std::string& file);

/// Reads and parses a file; an unreadable file is one finding.
settings_or_findings load_settings(const std::string& file);

} // namespace toucanmill

#endif
