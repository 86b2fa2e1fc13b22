#ifndef TOUCANMILL_OBSERVE_EVENT_HPP
#define TOUCANMILL_OBSERVE_EVENT_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <toucanmill/observe/log_line.hpp>

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
  log_lines_dropped = 110,
  log_lines_suppressed = 111,
  table_applied = 200,
  table_rejected = 201,
  control_unreachable = 202,
  control_reachable = 203,
  order_received = 204,
  balancer_withdrawn = 300,
  flow_reset = 301,
  flow_searched = 302,
  packet_unplaced = 303,
  packet_returned = 304,
  agent_leaving = 400,
  upstream_announced = 401,
  flow_refused = 410,
  flow_bounced = 411,
  flow_ended = 412,
  request_unanswered = 413,
  upstream_left = 414,
  kept_flows_taken = 415,
  kept_flows_unusable = 416,
  upstream_call_ignored = 417,
  leadership_gained = 500,
  leadership_lost = 501,
  change_accepted = 502,
  change_refused = 503,
  node_state_changed = 504,
  node_registered = 505,
  group_changed = 506,
  replica_started = 507,
  replica_removed = 508,
  evacuation_changed = 509,
  kept_flows_failed = 510,
  version_raised = 511,
  build_refused = 512,
  replica_halted = 513,
  storage_full = 514,
  storage_writable = 515,
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

/// Starts writing lines to standard output. The level is a name of log4cplus;
/// false when there is no such level. Before the call, lines are dropped.
bool start_logging(const std::string& level);

/// Adds these fields to every later line, for example role and name of a node.
void set_log_context(const log_fields& context);

/// False, and the line is counted as suppressed, when a line of this event
/// would not be written now. Saves the cost of its fields:
///   if (begin_event(id)) log_event(id, make_fields());
bool begin_event(event id);

/// Writes one logfmt line: time, level, event, name, context, fields. Never
/// blocks. An event that exceeds its budget of lines for the present second is
/// counted and reported later instead.
void log_event(event id, const log_fields& fields);

/// The same with one field "detail".
void log_event(event id, std::string_view detail);

/// Lines that were not written.
struct log_losses
{
  std::uint64_t dropped = 0;    ///< the queue was full
  std::uint64_t suppressed = 0; ///< beyond the budget of the event
};
log_losses logging_losses();

/// Writes what is queued and ends the writer.
void stop_logging();

} // namespace toucanmill

#endif
