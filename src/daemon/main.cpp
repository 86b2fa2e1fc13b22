#include <csignal>
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

/// How often the main thread looks whether the stop is complete.
constexpr timespec poll_interval{0, 20'000'000};

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
  return exit_bad_settings;
}

daemon::role_result start_role(const settings& checked)
{
  struct starter
  {
    const instance_settings& instance;

    daemon::role_result operator()(const balancer_settings& role) const
    {
      return daemon::start_balancer(instance, role);
    }
    daemon::role_result operator()(const agent_settings& role) const
    {
      return daemon::start_agent(instance, role);
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
  return signals;
}

/// Waits for the end of the role; returns the exit code.
int wait_for_end(daemon::role& role, std::chrono::milliseconds stop_limit)
{
  const auto signals = stop_signals();
  bool stopping = false;
  time_point limit{};
  while (!role.stopped())
  {
    const bool signalled = sigtimedwait(&signals, nullptr, &poll_interval) > 0;
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

int run(const settings& checked)
{
  const auto signals = stop_signals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);

  const auto role = start_role(checked);
  if (!role)
    return fail_start(role.error());
  const auto pages = start_pages(checked.instance.http, *role.value());
  if (!pages)
    return fail_start(pages.error());
  log_event(event::process_started,
            checked.instance.role + " " + checked.instance.name);
  return wait_for_end(*role.value(), checked.instance.stop_limit);
}

} // namespace

int main(int argc, char** argv)
{
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
  return chosen.check_only ? 0 : run(*checked);
}
