#ifndef TOUCANMILL_SRC_DAEMON_ROLE_HPP
#define TOUCANMILL_SRC_DAEMON_ROLE_HPP

#include <memory>
#include <string>
#include <vector>

#include <toucanmill/base/outcome.hpp>
#include <toucanmill/base/time.hpp>
#include <toucanmill/observe/sample.hpp>
#include <toucanmill/observe/status_server.hpp>
#include <toucanmill/settings/settings.hpp>

namespace toucanmill::daemon
{

/// Longest time of a graceful stop. It ends before the limit at which the
/// platform kills the process.
inline duration max_stop_time(const instance_settings& instance)
{
  constexpr duration margin = std::chrono::seconds(1);
  return instance.stop_limit - margin;
}

/// What the daemon does in one of its roles.
class role
{
public:
  virtual ~role() = default;

  /// Begins the graceful stop.
  virtual void begin_stop() = 0;

  /// The graceful stop is complete, also one that an operator ordered.
  virtual bool stopped() = 0;

  /// What a forced stop would cut now.
  virtual std::string unfinished_work() = 0;

  virtual std::vector<sample> samples() = 0;
  virtual health ready() = 0;

  /// Pages of the HTTP interface towards the platform.
  virtual http_handler api()
  {
    return make_status_pages({[this]
                              {
                                return samples();
                              },
                              []
                              {
                                return health{};
                              },
                              [this]
                              {
                                return ready();
                              }});
  }

  /// The settings file changed; the role uses what it can change while it runs.
  virtual void reload(const settings&) {}
};

using role_result = result<std::unique_ptr<role>>;

role_result start_balancer(const instance_settings& instance,
                           const balancer_settings& settings);
role_result start_entry(const instance_settings& instance,
                        const balancer_settings& settings);
role_result start_relay_agent(const instance_settings& instance,
                              const agent_settings& settings);
role_result start_agent(const instance_settings& instance,
                        const agent_settings& settings);
role_result start_control(const instance_settings& instance,
                          const control_settings& settings);

} // namespace toucanmill::daemon

#endif
