#ifndef TOUCANMILL_OBSERVE_EVENT_HPP
#define TOUCANMILL_OBSERVE_EVENT_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace toucanmill
{

/// Numbered log events; docs/events.md is their catalogue. Numbers are never
/// reused.
enum class event : std::uint16_t
{
  process_started = 100,
  settings_invalid = 101,
  stop_requested = 102,
  stop_forced = 103,
  process_stopped = 104,
  start_failed = 105,
  settings_reloaded = 106,
  reload_refused = 107,
  table_applied = 200,
  table_rejected = 201,
  control_unreachable = 202,
  control_reachable = 203,
  order_received = 204,
  balancer_withdrawn = 300,
  agent_leaving = 400,
  upstream_announced = 401,
  leadership_gained = 500,
  leadership_lost = 501,
  change_accepted = 502,
  change_refused = 503,
  node_state_changed = 504,
  node_registered = 505,
  group_changed = 506,
  replica_started = 507,
  replica_removed = 508,
};

enum class severity : std::uint8_t
{
  info,
  warning,
  error,
};

/// Name, severity and meaning of an event.
struct event_description
{
  event id;
  severity level;
  const char* name;
  const char* meaning;
};

const std::vector<event_description>& event_catalogue();

/// Sends log lines to standard error. The level is a name of log4cplus; false
/// when there is no such level.
bool start_logging(const std::string& level);

/// Logs "E<number> <name>: <detail>".
void log_event(event id, std::string_view detail);

} // namespace toucanmill

#endif
