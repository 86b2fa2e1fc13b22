#ifndef TOUCANMILL_DAEMON_TABLE_FEED_HPP
#define TOUCANMILL_DAEMON_TABLE_FEED_HPP

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include <toucanmill/base/clock.hpp>
#include <toucanmill/control/node_client.hpp>
#include <toucanmill/observe/event.hpp>
#include <toucanmill/observe/latency_histogram.hpp>
#include <toucanmill/settings/settings.hpp>

namespace toucanmill::daemon
{

/// Connection of a node to control: reports, and what comes back. The node's
/// callbacks run on the client's thread. All but on_reachable are the node's.
class table_feed
{
public:
  void start(const instance_settings& instance, node_callbacks callbacks)
  {
    name_ = instance.name;
    callbacks.on_reachable = [this](bool reachable)
    {
      reachable_ = reachable;
      log_event(reachable ? event::control_reachable
                          : event::control_unreachable,
                name_);
    };
    callbacks.on_confirmed =
        [this, confirmed = callbacks.on_confirmed](time_point asked)
    {
      report_times_.observe(monotonic_now() - asked);
      confirmed(asked);
    };
    node_client_options options;
    options.control = control_endpoints(instance);
    auto client = node_client::start(options, std::move(callbacks));
    const std::lock_guard lock(mutex_);
    client_ = std::move(client);
  }

  // The client's thread may wait for the packet thread, which may be in
  // report_now(); so the client ends outside the lock.
  void stop()
  {
    std::unique_ptr<node_client> client;
    {
      const std::lock_guard lock(mutex_);
      client = std::move(client_);
    }
    client.reset();
  }

  bool reachable() const
  {
    return reachable_;
  }

  /// Any thread; has no effect before start() and after stop().
  void report_now()
  {
    const std::lock_guard lock(mutex_);
    if (client_ != nullptr)
      client_->report_now();
  }

  void reload(const instance_settings& instance)
  {
    client_->set_control(control_endpoints(instance));
  }

  node_client_counters counters() const
  {
    return client_->counters();
  }

  /// Times from a report to its answer, which a quorum confirmed.
  sample report_times() const
  {
    return report_times_.read();
  }

private:
  std::string name_;
  std::atomic<bool> reachable_{true};
  std::mutex mutex_; ///< of client_ against start() and stop()
  std::unique_ptr<node_client> client_;
  latency_histogram report_times_{
      "toucanmill_report_seconds",
      "Time from a report to its answer, which a quorum confirmed."};
};

} // namespace toucanmill::daemon

#endif
