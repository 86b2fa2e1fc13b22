#include "role.hpp"

#include <atomic>
#include <deque>

#include <toucanmill/agent/agent.hpp>
#include <toucanmill/base/clock.hpp>
#include <toucanmill/cluster/agent_departure.hpp>
#include <toucanmill/observe/event.hpp>

#include "node_identity.hpp"
#include "rpc_claims.hpp"
#include "samples.hpp"
#include "table_feed.hpp"

namespace toucanmill::daemon
{

namespace
{

/// A leaving agent gives control this long to move its buckets before it may
/// end, also when it holds no flow: packets of stale balancers still come.
constexpr duration handover_time = std::chrono::seconds(2);

agent_options make_options(const agent_settings& settings)
{
  agent_options options;
  options.data = settings.data;
  options.upstream = settings.upstream;
  options.admission.slots = settings.slots;
  options.admission.queue_capacity = settings.queue;
  options.http.queue_deadline = settings.queue_deadline;
  options.dispatch.max_connections = settings.connections;
  return options;
}

node_identity agent_identity(const instance_settings& instance,
                             const agent_settings& settings)
{
  auto identity = make_identity(instance, node_role::agent, settings.data);
  identity.service = settings.service;
  identity.slots = settings.slots;
  identity.connections = settings.connections;
  return identity;
}

/// Pairs of a service's version and the update that brought it, so that a
/// report names only what the packet thread acts on.
class delivered_tables
{
public:
  void add(table_version service, table_version update)
  {
    if (!tables_.empty() && tables_.back().service == service)
      tables_.back().update = update;
    else
      tables_.push_back({service, update});
  }

  /// Newest update whose table the agent acts on.
  table_version applied(table_version acting)
  {
    while (!tables_.empty() && tables_.front().service < acting)
      tables_.pop_front();
    if (!tables_.empty() && tables_.front().service == acting)
      applied_ = tables_.front().update;
    return applied_;
  }

private:
  struct delivered
  {
    table_version service;
    table_version update;
  };

  std::deque<delivered> tables_;
  table_version applied_;
};

class agent_role final : public role, private feed_node
{
public:
  agent_role(const instance_settings& instance, const agent_settings& settings)
      : instance_(instance), settings_(settings),
        identity_(agent_identity(instance, settings)),
        departure_(identity_.service, identity_.id, {})
  {
  }

  ~agent_role() override
  {
    // The agent uses the client until it has stopped; callbacks of the client
    // may still reach the stopped agent.
    if (agent_ != nullptr)
      agent_->stop();
    feed_.stop();
  }

  result<void> open()
  {
    BOOST_OUTCOME_TRY(started, agent::start(make_options(settings_), claims_));
    agent_ = std::move(started);
    feed_.start(instance_, *this);
    claims_.use(feed_.client());
    return outcome::success();
  }

  void begin_stop() override
  {
    leave();
    stopping_since_ = monotonic_now();
    stopping_ = true;
    feed_.report_now();
  }

  bool stopped() override
  {
    if (!stopping_ || monotonic_now() - stopping_since_ < handover_time)
      return false;
    return agent_->status().open_flows == 0 &&
           (departed_ || !feed_.reachable());
  }

  std::string unfinished_work() override
  {
    const auto status = agent_->status();
    return std::to_string(status.open_flows) + " flows, " +
           std::to_string(status.busy_sessions) + " of them busy";
  }

  std::vector<sample> samples() override
  {
    const auto status = agent_->status();
    auto out =
        control_samples(feed_.counters(), feed_.reachable(), status.version);
    add_drops(out, status.counts);
    add_events(out, status.counts);
    add_packets(out, status.counts);
    add_gauges(out, status);
    return out;
  }

  health ready() override
  {
    if (leaving_)
      return {false, "leaving"};
    if (agent_->status().version == table_version{})
      return {false, "no table of service " + identity_.service + " yet"};
    return feed_.reachable()
               ? health{}
               : health{true, "ok, control unreachable: table kept"};
  }

private:
  static void add_drops(std::vector<sample>& out, const agent_counts& counts)
  {
    for (std::size_t i = 0; i < counts.drops.size(); ++i)
      add_drop(out, to_string(static_cast<dispatch_drop>(i)), counts.drops[i]);
    for (std::size_t i = 0; i < counts.faults.size(); ++i)
      add_drop(out, to_string(static_cast<packet_fault>(i)), counts.faults[i]);
    add_drop(out, "unstamped", counts.unstamped);
    add_drop(out, "unroutable_reply", counts.unroutable);
    add_drop(out, "unsent", counts.unsent);
  }

  static void add_events(std::vector<sample>& out, const agent_counts& counts)
  {
    for (std::size_t i = 0; i < counts.requests.size(); ++i)
      out.push_back({"toucanmill_requests_total",
                     "Requests by how they ended, and retries by reason.",
                     true,
                     static_cast<double>(counts.requests[i]),
                     {{"event", to_string(static_cast<request_event>(i))}}});
  }

  static void add_packets(std::vector<sample>& out, const agent_counts& counts)
  {
    add_counter(out, "toucanmill_packets_delivered_total",
                "Packets given to the TCP stack.", counts.delivered);
    add_counter(out, "toucanmill_packets_passed_on_total",
                "Packets sent to another agent.", counts.passed_on);
    add_counter(out, "toucanmill_resets_total",
                "Packets of unknown flows answered with a reset.",
                counts.resets);
    add_counter(out, "toucanmill_flows_accepted_total", "Flows accepted.",
                counts.new_flows);
    add_counter(out, "toucanmill_flows_silent_total",
                "Flows ended by keepalive or retransmission limits.",
                counts.silent_flows);
    add_counter(out, "toucanmill_flows_reset_by_caller_total",
                "Flows reset by callers.", counts.reset_by_caller);
  }

  static void add_gauges(std::vector<sample>& out, const agent_status& status)
  {
    add_gauge(out, "toucanmill_flows", "Open flows.", status.open_flows);
    add_gauge(out, "toucanmill_slots_in_use",
              "Requests that the upstream runs.", status.slots_in_use);
    add_gauge(out, "toucanmill_queue_length", "Requests that wait for a slot.",
              status.queue_length);
  }

  node_report make_report() override
  {
    const auto status = agent_->status();
    node_report report;
    report.identity = identity_;
    report.applied = tables_.applied(status.version);
    report.fresh = report.applied == table_version{};
    report.leaving = stopping_;
    report.empty = report.leaving && status.open_flows == 0;
    reported_empty_ = report.empty;
    report.flows = static_cast<std::uint32_t>(status.open_flows);
    report.busy_slots = static_cast<std::uint32_t>(status.slots_in_use);
    report.held_buckets = status.held_buckets;
    return report;
  }

  void take_table(const table_update& update) override
  {
    for (const auto& table : update.changed)
      if (table.name == identity_.service)
      {
        service_version_ = table.version;
        agent_->set_table(table);
        log_event(event::table_applied,
                  "index " + std::to_string(table.version.index));
      }
    tables_.add(service_version_, update.version);
    departure_.on_answer(update, reported_empty_, monotonic_now());
  }

  void confirmed(time_point) override
  {
    agent_->confirmed();
    departed_ = departure_.complete(monotonic_now());
  }

  void take_order(node_order order) override
  {
    if (order == node_order::drain && !leaving_)
    {
      log_event(event::order_received, "drain");
      leave();
    }
    else if (order == node_order::none && leaving_ && !stopping_)
    {
      log_event(event::order_received, "restore");
      leaving_ = false;
      agent_->set_leaving(false);
    }
  }

  void leave()
  {
    if (leaving_.exchange(true))
      return;
    log_event(event::agent_leaving, identity_.name);
    agent_->set_leaving(true);
  }

  instance_settings instance_;
  agent_settings settings_;
  node_identity identity_;
  rpc_claims claims_;
  std::unique_ptr<agent> agent_;
  delivered_tables tables_;       ///< used on the client's thread only
  table_version service_version_; ///< used on the client's thread only
  bool reported_empty_ = false;   ///< used on the client's thread only
  time_point stopping_since_;     ///< used on the main thread only
  std::atomic<bool> stopping_{false};
  std::atomic<bool> leaving_{false};
  agent_departure departure_; ///< used on the client's thread only
  std::atomic<bool> departed_{false};
  table_feed feed_;
};

} // namespace

role_result start_agent(const instance_settings& instance,
                        const agent_settings& settings)
{
  auto started = std::make_unique<agent_role>(instance, settings);
  BOOST_OUTCOME_TRYV(started->open());
  return std::unique_ptr<role>(std::move(started));
}

} // namespace toucanmill::daemon
