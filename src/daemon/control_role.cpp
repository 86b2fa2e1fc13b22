#include "role.hpp"

#include <atomic>
#include <random>
#include <thread>

#include <toucanmill/control/control_server.hpp>
#include <toucanmill/observe/event.hpp>

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
  }
}

control_server_options make_options(const control_settings& settings)
{
  control_server_options options;
  options.rpc = settings.rpc;
  options.log.self = {settings.id};
  options.log.folder = settings.folder;
  for (const auto& member : settings.group)
    options.log.initial_group.push_back({{member.id}, member.rpc, true});
  options.log.entries_per_snapshot = settings.entries_per_snapshot;
  options.log.random_seed = std::random_device{}();
  options.membership.lease = settings.lease;
  options.notify = log_notice;
  return options;
}

class control_role final : public role
{
public:
  explicit control_role(std::unique_ptr<control_server> server)
      : server_(std::move(server))
  {
  }

  ~control_role() override
  {
    if (stopper_.joinable())
      stopper_.join();
  }

  void begin_stop() override
  {
    stopper_ = std::thread(
        [this]
        {
          server_->stop();
          stopped_ = true;
        });
  }

  bool stopped() override
  {
    return stopped_;
  }

  std::string unfinished_work() override
  {
    return "handing over leadership";
  }

  std::vector<sample> samples() override
  {
    const auto counters = server_->counters();
    std::vector<sample> out;
    add_counter(out, "toucanmill_rpc_reports_total", "Reports received.",
                counters.reports);
    add_counter(out, "toucanmill_rpc_changes_total",
                "Operators' changes received.", counters.changes);
    add_counter(out, "toucanmill_rpc_claims_total", "Claims received.",
                counters.claims);
    add_counter(out, "toucanmill_rpc_not_leader_total",
                "Calls sent on to the leader.", counters.not_leader);
    add_counter(out, "toucanmill_rpc_malformed_total",
                "Calls with invalid values.", counters.malformed);
    add_counter(out, "toucanmill_peer_messages_total",
                "Replication messages sent.", counters.peer_messages);
    add_counter(out, "toucanmill_peer_octets_total",
                "Octets of replication messages.", counters.peer_octets);
    add_counter(out, "toucanmill_peer_messages_lost_total",
                "Replication messages dropped: peer slow or unreachable.",
                counters.peer_messages_lost);
    if (!stopper_.joinable())
      add_log_samples(out);
    return out;
  }

  health ready() override
  {
    if (stopper_.joinable())
      return {false, "stopping"};
    if (!server_->status().leader)
      return {false, "no leader known"};
    return {};
  }

private:
  void add_log_samples(std::vector<sample>& out)
  {
    const auto status = server_->status();
    add_gauge(out, "toucanmill_log_term", "Term of the replicated log.",
              status.term);
    add_gauge(out, "toucanmill_log_commit_index", "Last committed entry.",
              status.commit_index);
    add_gauge(out, "toucanmill_log_applied_index", "Last applied entry.",
              status.applied_index);
    add_gauge(out, "toucanmill_log_leads", "1 on the leader.",
              status.leads ? 1 : 0);
  }

  std::unique_ptr<control_server> server_;
  std::thread stopper_;
  std::atomic<bool> stopped_{false};
};

} // namespace

role_result start_control(const instance_settings&,
                          const control_settings& settings)
{
  BOOST_OUTCOME_TRY(server, control_server::start(make_options(settings)));
  return std::unique_ptr<role>(
      std::make_unique<control_role>(std::move(server)));
}

} // namespace toucanmill::daemon
