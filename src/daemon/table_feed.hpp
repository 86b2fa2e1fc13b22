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

/// What a role does with its connection to control. All functions are called on
/// the client's thread.
class feed_node
{
public:
  virtual ~feed_node() = default;

  virtual node_report make_report() = 0;
  virtual void take_table(const table_update& update) = 0;

  /// A quorum confirmed the table at some time after `asked`.
  virtual void confirmed(time_point asked) = 0;

  virtual void take_order(node_order) {}

  /// Latest life of this node that control knows.
  virtual void known_life(incarnation) {}

  /// Whether control keeps the open flows of this node.
  virtual bool keeps_flows() const
  {
    return false;
  }

  /// The encoded flow_list to keep; empty: none is due.
  virtual std::string make_flow_list()
  {
    return {};
  }

  /// Control keeps the list of the latest call of make_flow_list.
  virtual void flow_list_kept() {}

  /// The list of an earlier process; empty: none.
  virtual void take_kept_flows(const std::string&) {}
};

/// Connection of a node to control: reports, and what comes back.
class table_feed
{
public:
  void start(const instance_settings& instance, feed_node& node)
  {
    name_ = instance.name;
    node_client_options options;
    options.control = control_endpoints(instance);
    auto client = node_client::start(options, callbacks(node));
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

  /// Between start() and stop().
  node_client& client()
  {
    return *client_;
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
  node_callbacks callbacks(feed_node& node)
  {
    node_callbacks out;
    out.make_report = [&node]
    {
      return node.make_report();
    };
    out.on_update = [&node](const table_update& update)
    {
      node.take_table(update);
    };
    out.on_confirmed = [this, &node](time_point asked)
    {
      report_times_.observe(monotonic_now() - asked);
      node.confirmed(asked);
    };
    out.on_order = [&node](node_order order)
    {
      node.take_order(order);
    };
    out.on_known_life = [&node](incarnation life)
    {
      node.known_life(life);
    };
    if (node.keeps_flows())
      out.make_flow_list = [&node]
      {
        return node.make_flow_list();
      };
    out.on_flow_list_kept = [&node]
    {
      node.flow_list_kept();
    };
    out.on_kept_flows = [&node](const std::string& list)
    {
      node.take_kept_flows(list);
    };
    out.on_reachable = [this](bool reachable)
    {
      reachable_ = reachable;
      log_event(reachable ? event::control_reachable
                          : event::control_unreachable,
                name_);
    };
    return out;
  }

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
