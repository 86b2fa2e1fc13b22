#include "role.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <string>

#include <xxhash.h>

#include <toucanmill/base/clock.hpp>
#include <toucanmill/cluster/agent_departure.hpp>
#include <toucanmill/observe/event.hpp>
#include <toucanmill/observe/latency_histogram.hpp>
#include <toucanmill/relay/relay_agent.hpp>
#include <toucanmill/relay/relay_table.hpp>

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

/// Announcements that may be lost before the upstream counts as dead.
constexpr int lost_announcements = 4;

/// While its upstream lives, a stopping agent passes new flows on for this
/// long, so that balancers learn of it before packets are lost.
constexpr duration handover_time = std::chrono::seconds(1);

/// After that it ends right after an announcement, once control keeps its last
/// list of flows: if the next process gets the next announcement, it knows all
/// flows. In announcement intervals.
constexpr double max_last_list_wait = 1.5;
constexpr double max_announcement_age = 0.25;

/// Control keeps the list of flows of each agent that changed, at most once in
/// this time and at most at this rate.
constexpr duration flow_list_interval = std::chrono::seconds(1);
constexpr std::size_t flow_list_octets_per_second = 2048;

node_identity relay_identity(const instance_settings& instance,
                             const agent_settings& settings)
{
  auto identity = make_identity(instance, node_role::agent, settings.data);
  // An address may return with another service: that is another node.
  identity.name = instance.name + "-" + settings.service;
  identity.id = {XXH3_64bits(identity.name.data(), identity.name.size())};
  identity.service = settings.service;
  identity.slots = settings.slots;
  identity.connections = settings.connections;
  return identity;
}

relay_agent_options make_options(const instance_settings& instance,
                                 const agent_settings& settings)
{
  relay_agent_options options;
  auto& upstream = options.relay.upstream;
  upstream.data_centre = instance.data_centre;
  upstream.service = settings.service;
  upstream.address = settings.upstream;
  upstream.silence_limit = lost_announcements * settings.announce_interval;
  auto& relay = options.relay;
  relay.admission = settings.admission == "objectives"
                        ? admission_mode::objectives
                        : admission_mode::slots;
  relay.max_flow_age = settings.max_flow_age;
  relay.flow_idle_limit = std::max(relay.flow_idle_limit, relay.max_flow_age);
  options.data = settings.data;
  options.outbound = settings.outbound;
  options.caller_port = settings.data.port;
  options.codec = platform::make_packet_codec();
  return options;
}

class relay_agent_role final : public role, private feed_node
{
public:
  relay_agent_role(const instance_settings& instance,
                   const agent_settings& settings)
      : instance_(instance), announce_interval_(settings.announce_interval),
        identity_(relay_identity(instance, settings)),
        departure_(identity_.service, identity_.id, {})
  {
  }

  ~relay_agent_role() override
  {
    feed_.stop();
  }

  result<void> open(const agent_settings& settings)
  {
    auto options = make_options(instance_, settings);
    options.on_newer_configuration = [this]
    {
      feed_.report_now();
    };
    options.on_decision = [](const relay_decision& value)
    {
      log_decision(value);
    };
    options.on_latency = [this](relay_timing what, duration taken)
    {
      observe(what, taken);
    };
    BOOST_OUTCOME_TRY(started, relay_agent::start(std::move(options)));
    agent_ = std::move(started);
    feed_.start(instance_, *this);
    return outcome::success();
  }

  void begin_stop() override
  {
    stopping_ = true;
    stopping_since_ = monotonic_now();
    agent_->begin_stop();
    feed_.report_now();
    log_event(event::agent_leaving, identity_.name);
  }

  bool stopped() override
  {
    if (!stopping_)
      return false;
    const auto since = monotonic_now() - stopping_since_;
    const auto status = agent_->status();
    const bool nothing_left = status.ended || status.life == incarnation{};
    if (!nothing_left)
      return since >= handover_time && hands_flows_over(status, since) &&
             (!status.leave_pending || since >= max_stop_time(instance_));
    return departed_ || since >= max_stop_time(instance_);
  }

  std::string unfinished_work() override
  {
    return std::to_string(agent_->status().flows) +
           " flows that the next process takes over";
  }

  std::vector<sample> samples() override
  {
    const auto status = agent_->status();
    auto out =
        control_samples(feed_.counters(), feed_.reachable(), applied_now());
    for (std::size_t i = 0; i < status.events.size(); ++i)
      out.push_back({"toucanmill_relay_events_total",
                     "Packets and flows by what the agent did.",
                     true,
                     static_cast<double>(status.events[i]),
                     {{"event", to_string(static_cast<relay_event>(i))}}});
    for (std::size_t i = 0; i < calls_.size(); ++i)
      out.push_back({"toucanmill_upstream_calls_total",
                     "Calls in the name of the upstream, by what became of "
                     "them.",
                     true,
                     static_cast<double>(calls_[i].load()),
                     {{"outcome", call_outcomes[i]}}});
    out.push_back(handshakes_.read());
    out.push_back(requests_.read());
    out.push_back(waits_.read());
    out.push_back(feed_.report_times());
    add_gauge(out, "toucanmill_flows", "Open flows.", status.flows);
    add_gauge(out, "toucanmill_busy_flows",
              "Flows whose request has no response yet.", status.busy);
    add_gauge(out, "toucanmill_held_requests",
              "Requests on open flows that wait for the upstream.",
              status.held_requests);
    add_gauge(out, "toucanmill_held_openings",
              "New flows that wait for the upstream.", status.held_openings);
    add_gauge(out, "toucanmill_held_octets",
              "Memory of the requests that wait.", status.held_data);
    return out;
  }

  health ready() override
  {
    return stopping_ ? health{false, "stopping"} : health{};
  }

  http_handler api() override
  {
    platform::upstream_calls calls;
    calls.announce =
        [this](upstream_announcement value, platform::upstream_calls::done done)
    {
      return announce(std::move(value), std::move(done));
    };
    calls.leave =
        [this](std::string instance, platform::upstream_calls::done done)
    {
      return agent_->leave(instance,
                           [this, done, instance](announcement_verdict verdict)
                           {
                             if (verdict == announcement_verdict::accepted)
                               log_event(event::upstream_left, instance);
                             note_call(verdict, "end of " + instance);
                             feed_.report_now();
                             done(verdict);
                           });
    };
    calls.on_unreadable = [this](const std::string& why)
    {
      count_call(unreadable_call);
      log_event(event::upstream_call_ignored, why);
    };
    return platform::make_agent_pages(std::move(calls));
  }

  void reload(const settings& changed) override
  {
    feed_.reload(changed.instance);
  }

private:
  /// The verdicts, in their order, and calls that can't be read.
  static constexpr std::array<const char*, 5> call_outcomes = {
      "accepted", "late", "foreign", "unproven", "unreadable"};
  static constexpr std::size_t unreadable_call = 4;

  /// Whether the next process can know all flows, or waiting for that is of no
  /// use.
  bool hands_flows_over(const relay_status& status, duration stopping_for) const
  {
    const auto age = monotonic_now() - time_point{duration{announced_at_}};
    if (!status.knows_all_flows ||
        age > announce_interval_ * max_last_list_wait)
      return true;
    if (last_list_kept_ && age <= announce_interval_ * max_announcement_age)
      return true;
    return stopping_for >=
               handover_time + announce_interval_ * max_last_list_wait ||
           stopping_for >= max_stop_time(instance_);
  }

  void count_call(std::size_t outcome)
  {
    calls_[outcome].fetch_add(1, std::memory_order_relaxed);
  }

  void note_call(announcement_verdict verdict, const std::string& what)
  {
    const auto outcome = static_cast<std::size_t>(verdict);
    count_call(outcome);
    if (verdict != announcement_verdict::accepted)
      log_event(event::upstream_call_ignored,
                what + ": " + call_outcomes[outcome]);
  }

  void observe(relay_timing what, duration taken)
  {
    switch (what)
    {
    case relay_timing::handshake:
      return handshakes_.observe(taken);
    case relay_timing::request:
      return requests_.observe(taken);
    case relay_timing::held:
      return waits_.observe(taken);
    }
  }

  /// A stopping agent stores its list anew after each announcement.
  void note_announcement()
  {
    announced_at_ = monotonic_now().time_since_epoch().count();
    last_list_kept_ = false;
    if (stopping_)
      feed_.report_now();
  }

  bool announce(upstream_announcement value,
                platform::upstream_calls::done done)
  {
    const bool draining = value.draining;
    const auto instance = value.instance;
    const auto sequence = value.sequence;
    return agent_->announce(
        std::move(value),
        [this, draining, instance, sequence, done](announcement_verdict verdict)
        {
          if (verdict == announcement_verdict::accepted)
            note_announcement();
          if (verdict == announcement_verdict::accepted &&
              (instance != announced_ || draining != announced_draining_))
          {
            announced_ = instance;
            announced_draining_ = draining;
            log_event(event::upstream_announced,
                      instance + (draining ? " draining" : " ready"));
            feed_.report_now();
          }
          note_call(verdict, instance + " number " + std::to_string(sequence));
          done(verdict);
        });
  }

  node_report make_report() override
  {
    const auto status = agent_->status();
    node_report report;
    report.identity = identity_;
    report.identity.life = status.life;
    if (status.slots != 0)
      report.identity.slots = status.slots;
    report.applied = applied_;
    report.fresh = applied_ == table_version{} || !status.knows_buckets;
    report.observes = status.life == incarnation{};
    report.leaving = !status.present || status.draining;
    report.empty = report.leaving && status.ended;
    reported_departure_ = report.observes || report.empty;
    report.flows = static_cast<std::uint32_t>(status.flows);
    report.busy_slots = static_cast<std::uint32_t>(status.busy);
    report.held_buckets = status.held_buckets;
    report.applies_route_changes = true;
    return report;
  }

  void confirmed(time_point) override
  {
    departed_ = departure_.complete(monotonic_now());
  }

  void known_life(incarnation life) override
  {
    agent_->on_known_life(life);
  }

  bool keeps_flows() const override
  {
    return true;
  }

  std::string make_flow_list() override
  {
    const auto now = monotonic_now();
    // The last list of a stopping agent is the one that the next process gets.
    if (now < next_flow_list_ && !stopping_)
      return {};
    const auto list = agent_->list_flows();
    if (list.of == upstream_start{})
      return {};
    made_last_list_ = list.last_announcement != 0;
    auto octets = encode(list);
    if (octets == flow_list_)
      return {};
    flow_list_ = octets;
    next_flow_list_ =
        now +
        flow_list_interval * (1 + octets.size() / flow_list_octets_per_second);
    return octets;
  }

  void flow_list_kept() override
  {
    last_list_kept_ = made_last_list_;
  }

  void take_kept_flows(const std::string& octets) override
  {
    if (octets.empty())
      return;
    auto kept = decode_flow_list(octets);
    if (!kept)
      return log_event(event::kept_flows_unusable, kept.error().message);
    log_event(event::kept_flows_taken,
              std::to_string(kept.value().flows.size()) + " flows" +
                  (kept.value().last_announcement != 0 ? ", last list" : ""));
    agent_->restore_flows(std::move(kept.value()));
  }

  void take_table(const table_update& update) override
  {
    if (applied_ < update.base)
      return;
    if (update.declared)
    {
      agent_->set_configuration(*update.declared);
      log_configuration(update.declared->version, update.version);
    }
    if (update.routes)
    {
      agent_->change_routes(*update.routes);
      log_configuration(update.routes->version, update.version);
    }
    take_service(update);
    take_evacuated(update);
    departure_.on_answer(update, reported_departure_, monotonic_now());
    applied_ = update.version;
    applied_index_ = update.version.index;
  }

  void take_service(const table_update& update)
  {
    // In one step: packets are relayed meanwhile.
    if (const auto rate = warm_up_rate_in(update, identity_.service))
      agent_->set_warm_up_rate(*rate);
    for (const auto& service : update.changed)
      if (service.name == identity_.service)
        agent_->set_bucket_count(service.buckets.size());
  }

  void take_evacuated(const table_update& update)
  {
    if (!update.full && !update.evacuated)
      return;
    const auto own = key_of_data_centre(instance_.data_centre);
    agent_->set_evacuated(update.evacuated &&
                          std::binary_search(update.evacuated->begin(),
                                             update.evacuated->end(), own));
  }

  static void log_configuration(std::uint64_t configuration,
                                const table_version& version)
  {
    log_event(event::table_applied,
              "configuration " + std::to_string(configuration) + ", index " +
                  std::to_string(version.index));
  }

  table_version applied_now() const
  {
    return {0, applied_index_};
  }

  instance_settings instance_;
  duration announce_interval_;
  node_identity identity_;
  std::unique_ptr<relay_agent> agent_;
  table_version applied_;     ///< used on the client's thread only
  std::string flow_list_;     ///< latest; used on the client's thread only
  time_point next_flow_list_; ///< used on the client's thread only
  std::atomic<std::uint64_t> applied_index_{0};
  std::string announced_;           ///< used on the packet thread only
  bool announced_draining_ = false; ///< used on the packet thread only
  time_point stopping_since_;       ///< used on the main thread only
  bool reported_departure_ = false; ///< used on the client's thread only
  agent_departure departure_;       ///< used on the client's thread only
  std::array<std::atomic<std::uint64_t>, call_outcomes.size()> calls_{};
  bool made_last_list_ = false; ///< used on the client's thread only
  std::atomic<bool> last_list_kept_{false}; ///< since the latest announcement
  std::atomic<duration::rep> announced_at_{0};
  std::atomic<bool> departed_{false};
  std::atomic<bool> stopping_{false};
  latency_histogram handshakes_{
      "toucanmill_handshake_seconds",
      "Time from an opening packet to the answer of the upstream."};
  latency_histogram requests_{
      "toucanmill_request_seconds",
      "Time from a request to the first packet of its response."};
  latency_histogram waits_{
      "toucanmill_held_seconds",
      "Time that released requests and new flows waited at the agent."};
  table_feed feed_;
};

} // namespace

role_result start_relay_agent(const instance_settings& instance,
                              const agent_settings& settings)
{
  auto started = std::make_unique<relay_agent_role>(instance, settings);
  BOOST_OUTCOME_TRYV(started->open(settings));
  return std::unique_ptr<role>(std::move(started));
}

} // namespace toucanmill::daemon
