#include <toucanmill/observe/event.hpp>

#include <log4cplus/configurator.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <algorithm>

namespace toucanmill
{

namespace
{

log4cplus::LogLevel log_level(severity level)
{
  switch (level)
  {
  case severity::info:
    return log4cplus::INFO_LOG_LEVEL;
  case severity::warning:
    return log4cplus::WARN_LOG_LEVEL;
  case severity::error:
    break;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

const event_description& describe(event id)
{
  const auto& all = event_catalogue();
  return *std::find_if(all.begin(), all.end(),
                       [id](const auto& item)
                       {
                         return item.id == id;
                       });
}

} // namespace

const std::vector<event_description>& event_catalogue()
{
  static const std::vector<event_description> all = {
      {event::process_started, severity::info, "process_started",
       "The daemon started with a valid settings file."},
      {event::settings_invalid, severity::error, "settings_invalid",
       "The settings file has a finding; one event for each. Exit code 2."},
      {event::stop_requested, severity::info, "stop_requested",
       "SIGTERM or SIGINT: a graceful stop began."},
      {event::stop_forced, severity::warning, "stop_forced",
       "A second signal or the stop limit ended the process; names what was "
       "cut."},
      {event::process_stopped, severity::info, "process_stopped",
       "The graceful stop is complete."},
      {event::start_failed, severity::error, "start_failed",
       "A socket, the data folder or another resource could not be opened."},
      {event::settings_reloaded, severity::info, "settings_reloaded",
       "A changed settings file was taken over while running."},
      {event::reload_refused, severity::error, "reload_refused",
       "A changed settings file has a finding; the present settings stay."},
      {event::table_applied, severity::info, "table_applied",
       "The node acts on a newer routing table."},
      {event::table_rejected, severity::error, "table_rejected",
       "A table from control was invalid; the node keeps its own."},
      {event::control_unreachable, severity::warning, "control_unreachable",
       "No control instance answered; the node goes on with its table."},
      {event::control_reachable, severity::info, "control_reachable",
       "The leader answered again."},
      {event::order_received, severity::info, "order_received",
       "An operator's drain or retire order reached the node."},
      {event::balancer_withdrawn, severity::info, "balancer_withdrawn",
       "The balancer asked the fabric to send no more packets."},
      {event::agent_leaving, severity::info, "agent_leaving",
       "The agent accepts no new flows and finishes what runs."},
      {event::upstream_announced, severity::info, "upstream_announced",
       "The upstream beside the agent started, or began to drain."},
      {event::leadership_gained, severity::info, "leadership_gained",
       "This control instance leads."},
      {event::leadership_lost, severity::info, "leadership_lost",
       "This control instance leads no more."},
      {event::change_accepted, severity::info, "change_accepted",
       "An operator's change was committed."},
      {event::change_refused, severity::warning, "change_refused",
       "An operator's change was refused; names the reason."},
      {event::node_state_changed, severity::warning, "node_state_changed",
       "A node became active, draining, suspect or gone."},
      {event::node_registered, severity::info, "node_registered",
       "A node announced itself, or a new life of a known node."},
      {event::group_changed, severity::info, "group_changed",
       "The group of control instances changed by one."},
      {event::replica_started, severity::info, "replica_started",
       "The control instance runs under this replica id; says how it got it."},
      {event::replica_removed, severity::warning, "replica_removed",
       "The group removed this replica; it clears its folder and joins under a "
       "new id."},
  };
  return all;
}

bool start_logging(const std::string& level)
{
  static log4cplus::Initializer initializer;
  const auto parsed = log4cplus::getLogLevelManager().fromString(level);
  if (parsed == log4cplus::NOT_SET_LOG_LEVEL)
    return false;
  log4cplus::BasicConfigurator configurator(
      log4cplus::Logger::getDefaultHierarchy(), true);
  configurator.configure();
  log4cplus::Logger::getRoot().setLogLevel(parsed);
  return true;
}

void log_event(event id, std::string_view detail)
{
  const auto& description = describe(id);
  const auto level = log_level(description.level);
  auto logger = log4cplus::Logger::getRoot();
  if (!logger.isEnabledFor(level))
    return;
  logger.log(level, "E" + std::to_string(static_cast<unsigned>(id)) + " " +
                        description.name + ": " + std::string(detail));
}

} // namespace toucanmill
