#include <toucanmill/observe/event.hpp>

#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <map>
#include <memory>
#include <mutex>
#include <utility>

#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include <toucanmill/observe/line_writer.hpp>

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
      {event::log_lines_dropped, severity::warning, "log_lines_dropped",
       "Standard output took lines too slowly; the count was lost."},
      {event::log_lines_suppressed, severity::warning, "log_lines_suppressed",
       "An event exceeded its lines for one second; the count was not "
       "written."},
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
      {event::flow_reset, severity::warning, "flow_reset",
       "The balancer reset a flow: no route, refused, or held by no upstream."},
      {event::flow_searched, severity::info, "flow_searched",
       "A packet of a flow that the balancer does not remember asks the "
       "agents in order."},
      {event::packet_unplaced, severity::warning, "packet_unplaced",
       "The balancer stayed silent on a packet; names the reason."},
      {event::packet_returned, severity::info, "packet_returned",
       "No agent on a packet's way could use it; the last one returned it."},
      {event::agent_leaving, severity::info, "agent_leaving",
       "The agent accepts no new flows and finishes what runs."},
      {event::upstream_announced, severity::info, "upstream_announced",
       "The upstream beside the agent started, or began to drain."},
      {event::flow_refused, severity::warning, "flow_refused",
       "The agent did not admit an opening packet; names why and the next "
       "stop."},
      {event::flow_bounced, severity::info, "flow_bounced",
       "The upstream does not hold the flow of a packet; names the next stop."},
      {event::flow_ended, severity::warning, "flow_ended",
       "The agent reset a flow of an upstream that left or started again."},
      {event::request_unanswered, severity::warning, "request_unanswered",
       "A flow ended, or was given up, with a request that had no response."},
      {event::upstream_left, severity::info, "upstream_left",
       "The upstream beside the agent said that it ends."},
      {event::kept_flows_taken, severity::info, "kept_flows_taken",
       "A started agent got the list of flows of the process before it."},
      {event::kept_flows_unusable, severity::warning, "kept_flows_unusable",
       "The list that control kept for the agent can't be read; names why."},
      {event::upstream_call_ignored, severity::warning, "upstream_call_ignored",
       "A call in the name of the upstream changed nothing; names why."},
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
       "The group of control instances changed, or the leader saw it first; "
       "names the voters and how many more of them may be lost."},
      {event::replica_started, severity::info, "replica_started",
       "The control instance runs under this replica id; says how it got it."},
      {event::replica_removed, severity::warning, "replica_removed",
       "The group removed this replica; it clears its folder and joins under a "
       "new id."},
      {event::evacuation_changed, severity::warning, "evacuation_changed",
       "A data centre was evacuated or restored; names all evacuated ones."},
      {event::kept_flows_failed, severity::warning, "kept_flows_failed",
       "The file of agents' flows can't be read or written; names why."},
      {event::version_raised, severity::info, "version_raised",
       "A format version came into force; earlier builds are refused."},
      {event::build_refused, severity::warning, "build_refused",
       "A node or control instance does not read the version in force."},
      {event::replica_halted, severity::error, "replica_halted",
       "An entry or snapshot can't be applied; the instance takes no part."},
      {event::storage_full, severity::warning, "storage_full",
       "The disk is full; the instance hands over its leadership and refuses "
       "changes."},
      {event::storage_writable, severity::info, "storage_writable",
       "The disk has room again; the instance wrote what waited."},
  };
  return all;
}

namespace
{

/// Lines of one event in one second; a resent storm of packets must not cost
/// more processor time than the packets themselves.
constexpr std::uint32_t lines_per_second = 20;

/// Lines that wait for standard output.
constexpr std::size_t queued_lines = 4096;

/// Lines left of each event in the present second.
class line_budget
{
public:
  /// False when the event has used up its lines. `suppressed` gets the number
  /// of lines that were refused in the seconds before, once.
  bool take(event id, std::int64_t second, std::uint64_t& suppressed)
  {
    const std::lock_guard lock(mutex_);
    auto& used = used_[id];
    if (used.second != second)
    {
      suppressed = std::exchange(used.refused, 0);
      used.second = second;
      used.lines = 0;
    }
    if (used.lines < lines_per_second)
    {
      ++used.lines;
      return true;
    }
    ++used.refused;
    ++total_refused_;
    return false;
  }

  /// Refuses a line, without a take(), if the event has used up its lines.
  bool has_room(event id, std::int64_t second)
  {
    const std::lock_guard lock(mutex_);
    auto& used = used_[id];
    if (used.second != second || used.lines < lines_per_second)
      return true;
    ++used.refused;
    ++total_refused_;
    return false;
  }

  std::uint64_t total_refused()
  {
    const std::lock_guard lock(mutex_);
    return total_refused_;
  }

private:
  struct usage
  {
    std::int64_t second = 0;
    std::uint32_t lines = 0;
    std::uint64_t refused = 0;
  };

  std::mutex mutex_;
  std::map<event, usage> used_;
  std::uint64_t total_refused_ = 0;
};

/// Hands the lines of log4cplus to the writer.
class queue_appender final : public log4cplus::Appender
{
public:
  explicit queue_appender(line_writer& writer) : writer_(writer) {}
  ~queue_appender() override
  {
    destructorImpl();
  }
  void close() override {}

protected:
  void append(const log4cplus::spi::InternalLoggingEvent& line) override
  {
    writer_.write(line.getMessage());
  }

private:
  line_writer& writer_;
};

struct logging
{
  line_budget budget;
  std::unique_ptr<line_writer> writer;
  std::string context;
};

logging& state()
{
  static logging value;
  return value;
}

const char* level_name(severity level)
{
  switch (level)
  {
  case severity::info:
    return "info";
  case severity::warning:
    return "warn";
  case severity::error:
    break;
  }
  return "error";
}

/// "2026-12-03T22:31:42.123Z"
std::string time_text(std::chrono::system_clock::time_point now)
{
  const auto seconds = std::chrono::system_clock::to_time_t(now);
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(
                          now.time_since_epoch())
                          .count() %
                      1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 40> text{};
  const auto size =
      std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::snprintf(text.data() + size, text.size() - size, ".%03dZ",
                static_cast<int>(millis));
  return text.data();
}

std::int64_t present_second()
{
  return std::chrono::duration_cast<std::chrono::seconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void write_line(const event_description& description, const std::string& fields)
{
  auto logger = log4cplus::Logger::getRoot();
  const auto level = log_level(description.level);
  if (!logger.isEnabledFor(level))
    return;
  auto line = "time=" + time_text(std::chrono::system_clock::now()) +
              " level=" + level_name(description.level) + " event=E" +
              std::to_string(static_cast<unsigned>(description.id)) +
              " name=" + description.name + state().context;
  if (!fields.empty())
    line += " " + fields;
  logger.log(level, line);
}

} // namespace

bool start_logging(const std::string& level)
{
  static log4cplus::Initializer initializer;
  const auto parsed = log4cplus::getLogLevelManager().fromString(level);
  if (parsed == log4cplus::NOT_SET_LOG_LEVEL)
    return false;
  auto root = log4cplus::Logger::getRoot();
  root.setLogLevel(parsed);
  if (state().writer != nullptr)
    return true;
  state().writer = std::make_unique<line_writer>(STDOUT_FILENO, queued_lines);
  root.addAppender(
      log4cplus::SharedAppenderPtr(new queue_appender(*state().writer)));
  return true;
}

void set_log_context(const log_fields& context)
{
  state().context = " " + context.text();
}

bool begin_event(event id)
{
  return state().writer != nullptr &&
         state().budget.has_room(id, present_second());
}

void log_event(event id, const log_fields& fields)
{
  if (state().writer == nullptr)
    return;
  std::uint64_t suppressed = 0;
  const bool allowed = state().budget.take(id, present_second(), suppressed);
  if (suppressed != 0)
    write_line(describe(event::log_lines_suppressed),
               log_fields()
                   .add("of", describe(id).name)
                   .add("count", static_cast<std::int64_t>(suppressed))
                   .text());
  if (allowed)
    write_line(describe(id), fields.text());
}

void log_event(event id, std::string_view detail)
{
  log_event(id, log_fields().add("detail", detail));
}

log_losses logging_losses()
{
  const auto& writer = state().writer;
  return {writer == nullptr ? 0 : writer->dropped(),
          state().budget.total_refused()};
}

void stop_logging()
{
  if (state().writer != nullptr)
    state().writer->stop();
}

} // namespace toucanmill
