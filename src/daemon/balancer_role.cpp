#include "role.hpp"

#include <atomic>
#include <optional>

#include <toucanmill/balancer/balancer.hpp>
#include <toucanmill/observe/event.hpp>

#include "node_identity.hpp"
#include "samples.hpp"
#include "table_feed.hpp"

namespace toucanmill::daemon
{

namespace
{

class balancer_role final : public role, private feed_node
{
public:
  balancer_role(std::unique_ptr<balancer> packets, node_identity identity,
                const instance_settings& instance)
      : packets_(std::move(packets)), identity_(std::move(identity))
  {
    feed_.start(instance, *this);
  }

  ~balancer_role() override
  {
    feed_.stop();
    packets_->stop();
  }

  void begin_stop() override
  {
    if (leaving_.exchange(true))
      return;
    log_event(event::balancer_withdrawn, identity_.name);
    packets_->retire();
    feed_.report_now();
  }

  bool stopped() override
  {
    if (!leaving_ || !packets_->retired())
      return false;
    if (!asked_last_report_)
      feed_.report_now();
    asked_last_report_ = true;
    // Control counts only nodes that are not gone among those that a change
    // waits for, so the last report should arrive.
    return departure_known_ || !feed_.reachable();
  }

  std::string unfinished_work() override
  {
    return std::to_string(packets_->counters().active_flows) +
           " flows that other balancers take over";
  }

  std::vector<sample> samples() override
  {
    auto out = control_samples(feed_.counters(), feed_.reachable(),
                               packets_->applied_version());
    const auto counters = packets_->counters();
    add_forwarding(out, counters.forwarding);
    add_counter(out, "toucanmill_send_failures_total",
                "Packets that the system did not send.",
                counters.send_failures);
    add_counter(out, "toucanmill_send_buffer_full_total",
                "Packets dropped for want of socket buffer.",
                counters.send_buffer_full);
    add_counter(out, "toucanmill_receive_failures_total",
                "Receive calls that failed.", counters.receive_failures);
    out.push_back({"toucanmill_flows",
                   "Estimate of active flows.",
                   false,
                   static_cast<double>(counters.active_flows),
                   {}});
    return out;
  }

  health ready() override
  {
    if (leaving_)
      return {false, "withdrawn"};
    if (packets_->applied_version() == table_version{})
      return {false, "no routing table yet"};
    return feed_.reachable()
               ? health{}
               : health{true, "ok, control unreachable: table kept"};
  }

private:
  static void add_forwarding(std::vector<sample>& out,
                             const forward_counters& counters)
  {
    add_counter(out, "toucanmill_forwarded_total", "Packets sent to agents.",
                counters.forwarded);
    for (std::size_t i = 0; i < counters.faults.size(); ++i)
      add_drop(out, to_string(static_cast<packet_fault>(i)),
               counters.faults[i]);
    for (std::size_t i = 0; i < counters.drops.size(); ++i)
      add_drop(out, to_string(static_cast<forward_drop>(i)), counters.drops[i]);
  }

  node_report make_report() override
  {
    node_report report;
    report.identity = identity_;
    report.applied = packets_->applied_version();
    report.fresh = report.applied == table_version{};
    report.leaving = leaving_;
    report.empty = leaving_ && packets_->retired();
    reported_empty_ = report.empty;
    report.flows =
        static_cast<std::uint32_t>(packets_->counters().active_flows);
    return report;
  }

  void confirmed(time_point) override
  {
    departure_known_ = reported_empty_;
  }

  void take_table(const table_update& update) override
  {
    const auto next = table_.apply(update);
    if (!next)
      return log_event(event::table_rejected, next.error().message);
    const bool content =
        update.full || !update.changed.empty() || !update.removed.empty();
    if (content && table_.version() < next.value().version())
      log_event(event::table_applied,
                "index " + std::to_string(update.version.index));
    table_ = next.value();
    packets_->set_table(table_);
  }

  void take_order(node_order order) override
  {
    if (order != node_order::retire || leaving_)
      return;
    log_event(event::order_received, "retire");
    begin_stop();
  }

  std::unique_ptr<balancer> packets_;
  node_identity identity_;
  routing_table table_; ///< used on the client's thread only
  std::atomic<bool> leaving_{false};
  bool asked_last_report_ = false; ///< used on the main thread only
  bool reported_empty_ = false;    ///< used on the client's thread only
  std::atomic<bool> departure_known_{false};
  table_feed feed_;
};

} // namespace

role_result start_balancer(const instance_settings& instance,
                           const balancer_settings& settings)
{
  balancer_options options;
  options.listen = settings.data;
  options.fabric = settings.fabric;
  BOOST_OUTCOME_TRY(packets, balancer::start(options));
  auto identity = make_identity(instance, node_role::balancer, settings.data);
  return std::unique_ptr<role>(std::make_unique<balancer_role>(
      std::move(packets), std::move(identity), instance));
}

} // namespace toucanmill::daemon
