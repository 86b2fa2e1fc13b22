#include "role.hpp"

#include <atomic>
#include <string>

#include <toucanmill/base/clock.hpp>
#include <toucanmill/observe/event.hpp>
#include <toucanmill/relay/entry_balancer.hpp>

#include <platform/packet_layout.hpp>
#include <platform/pages.hpp>

#include "flow_log.hpp"
#include "node_identity.hpp"
#include "samples.hpp"
#include "table_feed.hpp"

namespace toucanmill::daemon
{

namespace
{

/// The routers notice a withdrawal after two polls, 0.5 s apart.
constexpr duration withdrawal_time = std::chrono::milliseconds(1500);

/// No packet for this long after the withdrawal ends a graceful stop.
constexpr duration quiet_period = std::chrono::milliseconds(700);

void add_new_flows(std::vector<sample>& to, const char* first_stop,
                   std::uint64_t count)
{
  to.push_back({"toucanmill_new_flows_total",
                "New flows, by the distance of the first agent they visit.",
                true,
                static_cast<double>(count),
                {{"first_stop", first_stop}}});
}

class entry_role final : public role, private feed_node
{
public:
  explicit entry_role(const instance_settings& instance) : instance_(instance)
  {
  }

  ~entry_role() override
  {
    feed_.stop();
  }

  result<void> open(const balancer_settings& settings)
  {
    identity_ = make_identity(instance_, node_role::balancer, settings.data);
    entry_balancer_options options;
    options.entry.self = settings.relay;
    options.entry.placement = placement_of(settings);
    options.callers = settings.data;
    options.caller_port = settings.data.port;
    options.codec = platform::make_packet_codec();
    options.on_table_wanted = [this]
    {
      feed_.report_now();
    };
    options.on_decision = [](const entry_decision& value)
    {
      log_decision(value);
    };
    BOOST_OUTCOME_TRY(started, entry_balancer::start(std::move(options)));
    packets_ = std::move(started);
    feed_.start(instance_, *this);
    return outcome::success();
  }

  void begin_stop() override
  {
    leaving_ = true;
    leaving_since_ = quiet_since_ = monotonic_now();
    log_event(event::balancer_withdrawn, instance_.name);
    feed_.report_now();
  }

  bool stopped() override
  {
    if (!leaving_)
      return false;
    const auto now = monotonic_now();
    if (const auto packets = packets_->status().packets;
        packets != packets_seen_)
    {
      packets_seen_ = packets;
      quiet_since_ = now;
    }
    const auto limit = max_stop_time(instance_);
    return now - leaving_since_ >= limit ||
           (now - leaving_since_ >= withdrawal_time &&
            now - quiet_since_ >= quiet_period);
  }

  std::string unfinished_work() override
  {
    return std::to_string(packets_->status().remembered_flows) +
           " flows that other balancers take over";
  }

  std::vector<sample> samples() override
  {
    const auto status = packets_->status();
    auto out =
        control_samples(feed_.counters(), feed_.reachable(), status.version);
    const auto& counters = status.counters;
    add_counter(out, "toucanmill_forwarded_total", "Packets sent to agents.",
                counters.visits);
    add_new_flows(out, "near", counters.near_flows);
    add_new_flows(out, "far", counters.far_flows);
    add_counter(out, "toucanmill_reported_copies_total",
                "Copies of opening packets sent to the agent that had reported "
                "their flow.",
                counters.reported_copies);
    add_counter(out, "toucanmill_searches_total",
                "Packets of flows that were not remembered.",
                counters.searches);
    add_counter(out, "toucanmill_search_retries_total",
                "Attempts to find a flow after one without an answer.",
                counters.search_retries);
    add_counter(out, "toucanmill_search_joined_total",
                "Packets that waited for a search under way.", counters.joined);
    add_counter(out, "toucanmill_search_joined_dropped_total",
                "Packets that could not wait for a search, for want of room.",
                status.waiting_dropped);
    add_counter(out, "toucanmill_verifications_total",
                "Remembered agents asked whether they hold a flow.",
                counters.verifications);
    add_counter(out, "toucanmill_missed_total", "Packets that agents returned.",
                counters.missed);
    add_counter(out, "toucanmill_awaited_total",
                "Packets kept until the table was confirmed.",
                counters.awaited);
    for (std::size_t i = 0; i < counters.drops.size(); ++i)
      add_drop(out, to_string(static_cast<entry_drop>(i)), counters.drops[i]);
    for (std::size_t i = 0; i < counters.resets.size(); ++i)
      out.push_back({"toucanmill_resets_total",
                     "Flows reset by the system, by reason.",
                     true,
                     static_cast<double>(counters.resets[i]),
                     {{"reason", to_string(static_cast<reset_reason>(i))}}});
    out.push_back(feed_.report_times());
    add_gauge(out, "toucanmill_unresponsive_agents",
              "Agents that left a probe unanswered.",
              status.unresponsive_agents);
    add_gauge(out, "toucanmill_flows", "Flows that are remembered.",
              status.remembered_flows);
    return out;
  }

  health ready() override
  {
    if (leaving_)
      return {false, "withdrawn"};
    if (!has_routes_)
      return {false, "no declared configuration yet"};
    return feed_.reachable() ? health{}
                             : health{true, "ok, control unreachable"};
  }

  http_handler api() override
  {
    return platform::make_balancer_pages(
        [this]
        {
          return ready();
        });
  }

  void reload(const settings& changed) override
  {
    feed_.reload(changed.instance);
  }

private:
  placement_policy placement_of(const balancer_settings& settings) const
  {
    const bool near = settings.placement == "near";
    return {near ? placement_mode::near : placement_mode::hash,
            key_of_data_centre(instance_.data_centre)};
  }

  node_report make_report() override
  {
    node_report report;
    report.identity = identity_;
    report.applied = table_.version();
    report.fresh = report.applied == table_version{};
    report.leaving = leaving_;
    report.flows =
        static_cast<std::uint32_t>(packets_->status().remembered_flows);
    report.applies_route_changes = true;
    return report;
  }

  void confirmed(time_point asked) override
  {
    packets_->set_confirmed(asked);
  }

  void take_table(const table_update& update) override
  {
    const auto before = table_.configuration_version();
    table_ = table_.apply(update);
    packets_->set_table(std::make_shared<const relay_table>(table_));
    has_routes_ = table_.configuration_version() != 0;
    if (before != table_.configuration_version())
      log_event(event::table_applied,
                "configuration " +
                    std::to_string(table_.configuration_version()) +
                    ", index " + std::to_string(update.version.index));
  }

  instance_settings instance_;
  node_identity identity_;
  std::unique_ptr<entry_balancer> packets_;
  relay_table table_;        ///< used on the client's thread only
  time_point leaving_since_; ///< used on the main thread only
  time_point quiet_since_;   ///< used on the main thread only
  std::uint64_t packets_seen_ = 0;
  std::atomic<bool> leaving_{false};
  std::atomic<bool> has_routes_{false};
  table_feed feed_;
};

} // namespace

role_result start_entry(const instance_settings& instance,
                        const balancer_settings& settings)
{
  auto started = std::make_unique<entry_role>(instance);
  BOOST_OUTCOME_TRYV(started->open(settings));
  return std::unique_ptr<role>(std::move(started));
}

} // namespace toucanmill::daemon
