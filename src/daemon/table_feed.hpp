#ifndef TOUCANMILL_DAEMON_TABLE_FEED_HPP
#define TOUCANMILL_DAEMON_TABLE_FEED_HPP

#include <atomic>
#include <memory>
#include <string>
#include <utility>

#include <toucanmill/control/node_client.hpp>
#include <toucanmill/observe/event.hpp>
#include <toucanmill/settings/settings.hpp>

namespace toucanmill::daemon
{

/// Connection of a node to control: reports, and what comes back. The node's
/// callbacks run on the client's thread.
class table_feed
{
public:
  /// The callback on_reachable is the feed's own.
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
    node_client_options options;
    options.control = control_endpoints(instance);
    client_ = node_client::start(options, std::move(callbacks));
  }

  void stop()
  {
    client_.reset();
  }

  bool reachable() const
  {
    return reachable_;
  }

  void report_now()
  {
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

private:
  std::string name_;
  std::atomic<bool> reachable_{true};
  std::unique_ptr<node_client> client_;
};

} // namespace toucanmill::daemon

#endif
