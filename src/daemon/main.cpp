#include <csignal>
#include <filesystem>
#include <iostream>

#include <CLI/CLI.hpp>

#include <toucanmill/base/clock.hpp>
#include <toucanmill/observe/event.hpp>
#include <toucanmill/settings/settings.hpp>

#include "role.hpp"

namespace
{

using namespace toucanmill;

constexpr int exit_bad_settings = 2;
constexpr int exit_start_failed = 3;
constexpr int exit_forced = 4;

/// How often the main thread looks whether a stop is complete.
constexpr timespec stop_poll_interval{0, 50'000'000};

/// How often it looks for an ordered stop and a changed settings file.
constexpr timespec poll_interval{1, 0};

struct options
{
  std::string file;
  bool check_only = false;
};

int report(const findings& found, bool check_only)
{
  for (const auto& item : found)
    if (check_only)
      std::cerr << to_string(item) << "\n";
    else
      log_event(event::settings_invalid, to_string(item));
  stop_logging();
  return exit_bad_settings;
}

daemon::role_result start_role(const settings& checked)
{
  struct starter
  {
    const instance_settings& instance;

    daemon::role_result operator()(const balancer_settings& role) const
    {
      return role.mode == "direct" ? daemon::start_entry(instance, role)
                                   : daemon::start_balancer(instance, role);
    }
    daemon::role_result operator()(const agent_settings& role) const
    {
      return role.mode == "relay" ? daemon::start_relay_agent(instance, role)
                                  : daemon::start_agent(instance, role);
    }
    daemon::role_result operator()(const control_settings& role) const
    {
      return daemon::start_control(instance, role);
    }
  };
  return std::visit(starter{checked.instance}, checked.role);
}

sigset_t stop_signals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  return signals;
}

/// Notices that a file was replaced or written, also without a signal.
class file_watch
{
public:
  explicit file_watch(std::string file) : file_(std::move(file))
  {
    changed();
  }

  bool changed()
  {
    std::error_code code;
    const auto written = std::filesystem::last_write_time(file_, code);
    const auto size = code ? 0 : std::filesystem::file_size(file_, code);
    if (code || (written == written_ && size == size_))
      return false;
    written_ = written;
    size_ = size;
    return true;
  }

private:
  std::string file_;
  std::filesystem::file_time_type written_;
  std::uintmax_t size_ = 0;
};

/// Hands changed settings to the role; keeps the present ones when the file is
/// not valid.
void reload(const std::string& file, daemon::role& role)
{
  const auto loaded = load_settings(file);
  if (const auto* found = std::get_if<findings>(&loaded))
  {
    for (const auto& item : *found)
      log_event(event::reload_refused, to_string(item));
    return;
  }
  role.reload(std::get<settings>(loaded));
  log_event(event::settings_reloaded, file);
}

/// Waits for the end of the role; returns the exit code.
int wait_for_end(daemon::role& role, const std::string& file,
                 std::chrono::milliseconds stop_limit)
{
  const auto signals = stop_signals();
  bool stopping = false;
  time_point limit{};
  file_watch watch(file);
  while (!role.stopped())
  {
    const int signal = sigtimedwait(
        &signals, nullptr, stopping ? &stop_poll_interval : &poll_interval);
    if (watch.changed() || signal == SIGHUP)
      reload(file, role);
    const bool signalled = signal > 0 && signal != SIGHUP;
    if (signalled && !stopping)
    {
      log_event(event::stop_requested, "finishing what runs");
      stopping = true;
      limit = monotonic_now() + stop_limit;
      role.begin_stop();
    }
    else if (stopping && (signalled || monotonic_now() >= limit))
    {
      log_event(event::stop_forced, "cut: " + role.unfinished_work());
      return exit_forced;
    }
  }
  log_event(event::process_stopped, "complete");
  return 0;
}

result<std::unique_ptr<status_server>> start_pages(const endpoint& listen,
                                                   daemon::role& role)
{
  if (listen.port == 0)
    return std::unique_ptr<status_server>();
  return status_server::start(listen, {[&role]
                                       {
                                         return role.samples();
                                       },
                                       []
                                       {
                                         return health{};
                                       },
                                       [&role]
                                       {
                                         return role.ready();
                                       }});
}

int fail_start(const error& why)
{
  log_event(event::start_failed, why.message);
  return exit_start_failed;
}

result<std::unique_ptr<http_server>> start_api(const endpoint& listen,
                                               daemon::role& role)
{
  if (listen.port == 0)
    return std::unique_ptr<http_server>();
  return http_server::start(listen, role.api());
}

int run(const settings& checked, const std::string& file)
{
  set_log_context(log_fields()
                      .add("role", checked.instance.role)
                      .add("node", checked.instance.name));
  const auto role = start_role(checked);
  if (!role)
    return fail_start(role.error());
  const auto pages = start_pages(checked.instance.http, *role.value());
  if (!pages)
    return fail_start(pages.error());
  const auto api = start_api(checked.instance.api, *role.value());
  if (!api)
    return fail_start(api.error());
  log_event(event::process_started,
            checked.instance.role + " " + checked.instance.name);
  return wait_for_end(*role.value(), file, checked.instance.stop_limit);
}

} // namespace

int main(int argc, char** argv)
{
  // Threads inherit the mask. A thread that does not block a stop signal would
  // end the process by it while the main thread does not wait for one.
  const auto signals = stop_signals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);

  CLI::App app("Runs one role of a toucanmill load balancer.", "toucanmilld");
  options chosen;
  app.add_option("settings", chosen.file, "TOML settings file")->required();
  app.add_flag("--check-config", chosen.check_only,
               "Check the settings file, then end");
  app.footer("Exit codes: 0 stopped, 2 invalid settings, 3 start failed, "
             "4 stop forced, 70 data folder failed.");
  CLI11_PARSE(app, argc, argv);

  const auto loaded = load_settings(chosen.file);
  const auto* checked = std::get_if<settings>(&loaded);
  start_logging("INFO");
  if (checked == nullptr)
    return report(std::get<findings>(loaded), chosen.check_only);
  if (!start_logging(checked->instance.log_level))
    return report(
        {{chosen.file, 0, 0, "log_level",
          "\"" + checked->instance.log_level + "\" is not a log level"}},
        chosen.check_only);
  if (chosen.check_only)
    return 0;
  const int code = run(*checked, chosen.file);
  stop_logging();
  // The role and its servers are gone. The thread pool of log4cplus did not end
  // under the users' scheduler, which held up each restart by 5 s.
  std::_Exit(code);
}
