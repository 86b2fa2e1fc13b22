#include "role.hpp"

#include <array>
#include <atomic>
#include <mutex>
#include <random>
#include <thread>

#include <toucanmill/base/clock.hpp>
#include <toucanmill/control/control_server.hpp>
#include <toucanmill/control/replica_identity.hpp>
#include <toucanmill/observe/event.hpp>
#include <toucanmill/observe/latency_histogram.hpp>

#include <platform/pages.hpp>

#include "samples.hpp"

namespace toucanmill::daemon
{

namespace
{

void log_notice(const control_notice& notice)
{
  using kind = control_notice::kind;
  switch (notice.what)
  {
  case kind::leadership_gained:
    return log_event(event::leadership_gained, notice.detail);
  case kind::leadership_lost:
    return log_event(event::leadership_lost, notice.detail);
  case kind::change_accepted:
    return log_event(event::change_accepted, notice.detail);
  case kind::change_refused:
    return log_event(event::change_refused, notice.detail);
  case kind::node_state_changed:
    return log_event(event::node_state_changed, notice.detail);
  case kind::node_registered:
    return log_event(event::node_registered, notice.detail);
  case kind::group_changed:
    return log_event(event::group_changed, notice.detail);
  case kind::evacuation_changed:
    return log_event(event::evacuation_changed, notice.detail);
  case kind::version_raised:
    return log_event(event::version_raised, notice.detail);
  case kind::build_refused:
    return log_event(event::build_refused, notice.detail);
  case kind::halted:
    return log_event(event::replica_halted, notice.detail);
  case kind::storage_full:
    return log_event(event::storage_full, notice.detail);
  case kind::storage_writable:
    return log_event(event::storage_writable, notice.detail);
  }
}

/// Time from the opening packet at a balancer until the upstream accepts the
/// flow: both may let it wait.
constexpr duration max_opening_time = std::chrono::seconds(15);

/// What a control instance times.
struct control_timings
{
  latency_histogram declare{"toucanmill_declare_seconds",
                            "Time to answer a declaration, by the leader."};
  latency_histogram read{
      "toucanmill_configuration_read_seconds",
      "Time to answer a read, which a quorum confirmed, by the leader."};
  latency_histogram in_force{
      "toucanmill_in_force_seconds",
      "Time from the commit of a configuration until all live nodes use it."};
  latency_histogram persist{"toucanmill_persist_seconds",
                            "Time of a durable write of the log."};

  void add_to(std::vector<sample>& out) const
  {
    for (const auto* histogram : {&declare, &read, &in_force, &persist})
      out.push_back(histogram->read());
  }
};

/// Counts the calls about evacuations by outcome.
class evacuation_counters
{
public:
  void count(platform::evacuation_outcome outcome)
  {
    ++counts_[static_cast<std::size_t>(outcome)];
  }

  void add_to(std::vector<sample>& out) const
  {
    for (std::size_t i = 0; i < counts_.size(); ++i)
      out.push_back(
          {"toucanmill_evacuation_calls_total",
           "HTTP calls that evacuate or restore a data centre, by outcome.",
           true,
           static_cast<double>(counts_[i]),
           {{"outcome", platform::name_of(
                            static_cast<platform::evacuation_outcome>(i))}}});
  }

private:
  std::array<std::atomic<std::uint64_t>, platform::evacuation_outcome_count>
      counts_{};
};

/// Opens the control server; each start after a removal has a new id.
class server_starter
{
public:
  server_starter(const instance_settings& instance,
                 const control_settings& settings, control_timings& timings)
      : settings_(settings), seeds_(control_endpoints(instance)),
        timings_(timings)
  {
  }

  result<std::unique_ptr<control_server>>
  start(replica_start why, std::function<void()> on_removed) const
  {
    BOOST_OUTCOME_TRY(identity,
                      choose_replica_identity(settings_, seeds_, why));
    log_event(event::replica_started,
              to_string(identity.id) + ", " + identity.origin);
    control_server_options options;
    options.rpc = settings_.rpc;
    options.listen = settings_.listen;
    options.log.self = identity.id;
    options.log.initial_group = std::move(identity.initial_group);
    options.log.folder = settings_.folder;
    options.log.entries_per_snapshot = settings_.entries_per_snapshot;
    options.log.octets_per_snapshot = settings_.mb_per_snapshot * octets_per_mb;
    options.log.election_timeout = settings_.election_timeout;
    options.log.random_seed = std::random_device{}();
    options.group = make_group_options(settings_.tolerated_losses);
    options.membership.lease = settings_.lease;
    options.membership.ramp = settings_.ramp;
    options.membership.rebalance_interval = settings_.rebalance_interval;
    options.membership.flow_lifetime =
        settings_.max_flow_age + max_opening_time;
    options.versions.raises = settings_.raise_format_after != duration{0};
    options.versions.stable_time = settings_.raise_format_after;
    options.notify = log_notice;
    options.data_centres = settings_.data_centres;
    options.on_in_force = [this](duration taken)
    {
      timings_.in_force.observe(taken);
    };
    options.log.on_persisted = [this](duration taken)
    {
      timings_.persist.observe(taken);
    };
    options.on_removed = std::move(on_removed);
    options.on_flow_list_failure = [](const std::string& what)
    {
      log_event(event::kept_flows_failed, what);
    };
    if (settings_.mode == "seeds")
      options.seeds = other_seeds();
    return control_server::start(std::move(options));
  }

  result<void> clear() const
  {
    if (settings_.folder.empty())
      return outcome::success();
    return clear_data_folder(settings_.folder);
  }

  void use_seeds(const instance_settings& instance)
  {
    seeds_ = control_endpoints(instance);
  }

  /// The seeds without this instance.
  std::vector<endpoint> other_seeds() const
  {
    std::vector<endpoint> others;
    for (const auto& seed : seeds_)
      if (seed != settings_.rpc)
        others.push_back(seed);
    return others;
  }

private:
  static constexpr std::uint64_t octets_per_mb = 1'000'000;

  control_settings settings_;
  std::vector<endpoint> seeds_;
  control_timings& timings_;
};

class control_role final : public role
{
public:
  control_role(const instance_settings& instance,
               const control_settings& settings)
      : starter_(instance, settings, timings_), api_port_(instance.api.port)
  {
  }

  ~control_role() override
  {
    if (stopper_.joinable())
      stopper_.join();
  }

  /// An instance whose disk is full starts without a server and opens it when
  /// there is room.
  result<void> open_at_process_start()
  {
    auto opened = open(replica_start::at_process_start);
    waits_for_room_ =
        !opened && opened.error().code == error_code::storage_full;
    if (!waits_for_room_)
      return opened;
    log_event(event::storage_full, opened.error().message);
    return outcome::success();
  }

  result<void> open(replica_start why)
  {
    BOOST_OUTCOME_TRY(server, starter_.start(why,
                                             [this]
                                             {
                                               removed_ = true;
                                             }));
    const std::lock_guard lock(mutex_);
    server_ = std::move(server);
    return outcome::success();
  }

  void begin_stop() override
  {
    stopping_ = true;
    stopper_ = std::thread(
        [this]
        {
          if (const auto current = server())
            current->stop();
          stopped_ = true;
        });
  }

  bool stopped() override
  {
    if (waits_for_room_ && !stopping_)
      retry_open();
    if (removed_ && !stopping_)
      restart();
    return stopped_;
  }

  http_handler api() override
  {
    platform::operator_calls calls;
    calls.port = api_port_;
    calls.declare =
        [this](configuration value, platform::operator_calls::declared done)
    {
      const auto current = server();
      if (current == nullptr)
        return done(not_running(), {});
      current->declare(std::move(value),
                       [this, done, begun = monotonic_now()](
                           result<change_outcome> outcome, endpoint leader)
                       {
                         if (outcome)
                           timings_.declare.observe(monotonic_now() - begun);
                         done(std::move(outcome), leader.address);
                       });
    };
    calls.read = [this](platform::operator_calls::found done)
    {
      const auto current = server();
      if (current == nullptr)
        return done(not_running(), {});
      current->read_configuration(
          [this, done, begun = monotonic_now()](result<configuration> found,
                                                endpoint leader)
          {
            if (found)
              timings_.read.observe(monotonic_now() - begun);
            done(std::move(found), leader.address);
          });
    };
    add_evacuation_calls(calls);
    return platform::make_control_pages(std::move(calls));
  }

  void reload(const settings& changed) override
  {
    starter_.use_seeds(changed.instance);
    if (const auto current = server())
      current->use_seeds(starter_.other_seeds());
  }

  std::string unfinished_work() override
  {
    return "handing over leadership";
  }

  std::vector<sample> samples() override
  {
    std::vector<sample> out;
    const auto current = server();
    if (current == nullptr)
      return out;
    const auto counters = current->counters();
    add_counter(out, "toucanmill_rpc_reports_total", "Reports received.",
                counters.reports);
    add_counter(out, "toucanmill_rpc_changes_total",
                "Operators' changes received.", counters.changes);
    add_counter(out, "toucanmill_rpc_claims_total", "Claims received.",
                counters.claims);
    add_counter(out, "toucanmill_rpc_not_leader_total",
                "Calls sent on to the leader.", counters.not_leader);
    add_counter(out, "toucanmill_flow_lists_total",
                "Lists of open flows kept for agents.", counters.flow_lists);
    add_counter(out, "toucanmill_rpc_refused_builds_total",
                "Reports and joins of builds that are too old.",
                counters.refused_builds);
    add_counter(out, "toucanmill_rpc_malformed_total",
                "Calls with invalid values.", counters.malformed);
    add_counter(out, "toucanmill_peer_messages_total",
                "Replication messages sent.", counters.peer_messages);
    add_counter(out, "toucanmill_peer_octets_total",
                "Octets of replication messages before compression.",
                counters.peer_octets);
    add_counter(out, "toucanmill_peer_messages_lost_total",
                "Replication messages dropped: peer slow or unreachable, or "
                "another large one on its way.",
                counters.peer_messages_lost);
    evacuations_.add_to(out);
    timings_.add_to(out);
    if (!stopping_)
      add_log_samples(out, *current);
    return out;
  }

  health ready() override
  {
    const auto current = server();
    if (stopping_ || current == nullptr)
      return {false, "stopping"};
    const auto status = current->status();
    if (!status.halted.empty())
      return {false, "halted: " + status.halted};
    if (!status.storage_full.empty())
      return {false, "disk full: " + status.storage_full};
    if (!status.leader)
      return {false, "no leader known"};
    return {};
  }

private:
  static error not_running()
  {
    return {error_code::unavailable, "the control instance is starting"};
  }

  void add_evacuation_calls(platform::operator_calls& calls)
  {
    calls.set_evacuation =
        [this](std::string data_centre, bool evacuated,
               const platform::operator_calls::declared& done)
    {
      const auto current = server();
      if (current == nullptr)
        return done(not_running(), {});
      current->set_evacuation(
          std::move(data_centre), evacuated,
          [done](result<change_outcome> outcome, endpoint leader)
          {
            done(std::move(outcome), leader.address);
          });
    };
    calls.on_evacuation = [this](platform::evacuation_outcome outcome,
                                 const std::string& data_centre)
    {
      evacuations_.count(outcome);
      // Control itself reports what it commits or refuses.
      if (outcome == platform::evacuation_outcome::has_body ||
          outcome == platform::evacuation_outcome::other_method)
        log_event(event::change_refused, "evacuation of " + data_centre + ": " +
                                             platform::name_of(outcome));
    };
  }

  /// Null while the instance stops, or starts again.
  std::shared_ptr<control_server> server() const
  {
    const std::lock_guard lock(mutex_);
    return server_;
  }

  void retry_open()
  {
    const auto opened = open(replica_start::at_process_start);
    waits_for_room_ = !opened; // tries again at the next look
    if (opened)
      log_event(event::storage_writable, "the data folder is open");
    else if (opened.error().code != error_code::storage_full)
      log_event(event::start_failed, opened.error().message);
  }

  /// Joins the group anew after it removed this instance.
  void restart()
  {
    log_event(event::replica_removed, "clearing the data folder");
    std::shared_ptr<control_server> old;
    {
      const std::lock_guard lock(mutex_);
      old = std::move(server_);
      server_ = nullptr;
    }
    if (old != nullptr)
      old->stop();
    removed_ = false;
    auto cleared = starter_.clear();
    if (cleared)
      cleared = open(replica_start::after_removal);
    if (cleared.has_error())
    {
      log_event(event::start_failed, cleared.error().message);
      removed_ = true; // tries again at the next look
    }
  }

  static void add_log_samples(std::vector<sample>& out, control_server& server)
  {
    const auto status = server.status();
    add_gauge(out, "toucanmill_log_term", "Term of the replicated log.",
              status.term);
    add_gauge(out, "toucanmill_log_commit_index", "Last committed entry.",
              status.commit_index);
    add_gauge(out, "toucanmill_log_applied_index", "Last applied entry.",
              status.applied_index);
    add_gauge(out, "toucanmill_log_leads", "1 on the leader.",
              status.leads ? 1 : 0);
    add_gauge(out, "toucanmill_log_halted",
              "1 if the instance met an entry that it can't apply.",
              status.halted.empty() ? 0 : 1);
    add_gauge(out, "toucanmill_log_storage_full",
              "1 while writes wait for room on the disk.",
              status.storage_full.empty() ? 0 : 1);
    add_gauge(out, "toucanmill_format_version", "Format version in force.",
              status.required_format);
    for (const auto& sent : status.sent)
    {
      out.push_back({"toucanmill_replication_messages_total",
                     "Replication messages and replies sent, by kind.",
                     true,
                     static_cast<double>(sent.messages),
                     {{"kind", sent.kind}}});
      out.push_back({"toucanmill_replication_octets_total",
                     "Octets of replication messages and replies, by kind.",
                     true,
                     static_cast<double>(sent.octets),
                     {{"kind", sent.kind}}});
    }
  }

  control_timings timings_;
  evacuation_counters evacuations_;
  server_starter starter_;
  const std::uint16_t api_port_;
  mutable std::mutex mutex_;
  std::shared_ptr<control_server> server_;
  std::thread stopper_;
  bool waits_for_room_ = false; ///< used on the main thread only
  std::atomic<bool> removed_{false};
  std::atomic<bool> stopping_{false};
  std::atomic<bool> stopped_{false};
};

} // namespace

role_result start_control(const instance_settings& instance,
                          const control_settings& settings)
{
  auto started = std::make_unique<control_role>(instance, settings);
  BOOST_OUTCOME_TRYV(started->open_at_process_start());
  return std::unique_ptr<role>(std::move(started));
}

} // namespace toucanmill::daemon
