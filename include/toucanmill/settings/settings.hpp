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

  /// A graceful stop takes at most this long. A shorter default would cut
  /// sessions that last a night.
  std::chrono::milliseconds stop_limit{std::chrono::hours(24)};
};

/// Section [balancer].
struct balancer_settings
{
  endpoint data; ///< UDP endpoint for packets
  std::vector<endpoint> fabric;
};

/// Section [agent].
struct agent_settings
{
  endpoint data;     ///< UDP endpoint for packets
  endpoint upstream; ///< local TCP server
  std::string service;
  std::uint32_t slots = 4;
  std::uint32_t connections = 2000;
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
  std::uint32_t id = 0;
  endpoint rpc;
  std::string folder;
  std::vector<group_member_settings> group; ///< first members, voters
  std::chrono::milliseconds lease{3000};
  std::uint32_t entries_per_snapshot = 10000;
};

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
