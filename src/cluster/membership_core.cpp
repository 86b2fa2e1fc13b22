#include <toucanmill/cluster/membership_core.hpp>

#include <algorithm>
#include <iterator>
#include <map>
#include <optional>
#include <tuple>

#include <toucanmill/cluster/assignment.hpp>
#include <toucanmill/cluster/validation.hpp>

#include "removal_limit.hpp"

namespace toucanmill
{

namespace
{

// Leases last seconds, so scanning all nodes on every tick would cost more than
// the added precision is worth.
constexpr duration lease_scan_interval = std::chrono::milliseconds(200);

// Share of its full weight that an upstream has when it joins.
constexpr double initial_ramp = 0.1;

struct live_node
{
  incarnation life;
  time_point lease_end;
  time_point joined;
  std::optional<time_point> suspect_since;
  table_version applied;
  std::uint32_t flows = 0;
  std::uint32_t busy_slots = 0;
  std::optional<format_support> formats;
  double correction = 1;
  std::vector<std::uint16_t> held_buckets;
};

using live_nodes = std::map<node_id, live_node>;

/// A sender of reports that is no node yet.
struct observer
{
  version_member stated;
  time_point lease_end;
};

bool may_be_removed(const node_record& record, const node_report& report)
{
  if (record.identity.role == node_role::balancer)
    return report.leaving && report.empty;
  return record.state == node_state::draining && report.leaving &&
         report.empty && record.changed.index <= report.applied.index;
}

/// State that a report requests; none if the current state is correct.
std::optional<node_state> requested_state(const node_record& record,
                                          const node_report& report)
{
  if (record.state == node_state::gone)
    return report.leaving ? std::optional<node_state>{} : node_state::active;
  if (may_be_removed(record, report))
    return node_state::gone;
  if (report.leaving && record.state != node_state::draining)
    return node_state::draining;
  const bool announced_leaving_earlier = record.state == node_state::draining &&
                                         record.order == node_order::none &&
                                         !report.leaving;
  if (record.state == node_state::suspect || announced_leaving_earlier)
    return node_state::active;
  return {};
}

void add_release(std::vector<command>& commands, const state_machine& state,
                 const node_report& report)
{
  const auto& identity = report.identity;
  if (identity.role != node_role::agent || report.fresh)
    return;
  auto buckets = state.releasable_buckets(identity.id, report.applied.index,
                                          report.held_buckets);
  if (!buckets.empty())
    commands.push_back(release_buckets{
        identity.id, identity.life, report.applied.index, std::move(buckets)});
}

} // namespace

/// The table that all nodes have applied, and since when.
struct applied_table
{
  std::uint64_t index = 0;
  time_point since;
};

/// The lowest log index that any node applied which may lead a flow to an agent
/// or accept one; 0 while one of them is silent.
std::uint64_t lowest_applied(const live_nodes& nodes,
                             const state_machine& state, time_point now)
{
  auto lowest = state.position().index;
  for (const auto& [id, node] : nodes)
    if (const auto* const record = state.find_node(id);
        record != nullptr && record->state != node_state::gone)
      lowest = std::min(lowest, now < node.lease_end ? node.applied.index : 0);
  return lowest;
}

struct membership_core::state_data
{
  membership_options options;
  live_nodes nodes;
  std::uint64_t settled_index = 0;
  applied_table settling; ///< its index replaces settled_index next
  std::map<node_id, observer> observers;
  time_point next_scan;
  time_point rebalanced_until; ///< services due before this were handled
  std::size_t next_service = 0;

  /// Processes that start later get their first table from a quorum, so what
  /// all nodes have applied once is never undone.
  void settle(const state_machine& state, time_point now)
  {
    if (settling.index > settled_index &&
        now - settling.since >= options.flow_lifetime)
      settled_index = settling.index;
    if (settling.index > settled_index)
      return;
    settling = {lowest_applied(nodes, state, now), now};
  }

  double ramp(const live_node& node, time_point now) const
  {
    const auto elapsed_share =
        std::chrono::duration<double>(now - node.joined) /
        std::chrono::duration<double>(options.ramp);
    return std::clamp(elapsed_share, initial_ramp, 1.0);
  }

  /// Number of services due for a rebalance step. Each service is due once per
  /// interval. Steps are spread over the ticks because rebalancing all of
  /// 12,000 services in one step took 220 ms.
  std::size_t due_services(std::size_t services, time_point now)
  {
    const auto interval = options.rebalance_interval;
    if (services == 0 || interval <= now - rebalanced_until)
    {
      rebalanced_until = now;
      return services;
    }
    const auto count =
        services * static_cast<std::size_t>((now - rebalanced_until).count()) /
        static_cast<std::size_t>(interval.count());
    rebalanced_until += interval * count / services;
    return count;
  }
};

membership_core::membership_core(membership_options options)
    : data_(std::make_unique<state_data>())
{
  data_->options = options;
}

membership_core::~membership_core() = default;

void membership_core::on_leader(const state_machine& state, time_point now)
{
  data_->nodes.clear();
  data_->observers.clear();
  data_->settled_index = 0;
  data_->settling = {};
  for (const auto* const record : state.nodes())
  {
    if (record->state == node_state::gone)
      continue;
    auto& node = data_->nodes[record->identity.id];
    node.life = record->identity.life;
    node.lease_end = now + data_->options.lease;
    node.joined = now - data_->options.ramp;
  }
  data_->next_scan = now;
  data_->rebalanced_until = now;
}

std::vector<command> membership_core::on_report(const state_machine& state,
                                                const node_report& report,
                                                time_point now)
{
  const auto& identity = report.identity;
  data_->observers.erase(identity.id);
  if (report.observes)
    data_->observers[identity.id] = {{identity.name, report.formats},
                                     now + data_->options.lease};
  if (report.observes || check_identity(identity).has_error())
    return {};
  const auto* const record = state.find_node(identity.id);
  if (record != nullptr && identity.life < record->identity.life)
    return {};
  auto [found, added] = data_->nodes.try_emplace(identity.id);
  auto& node = found->second;
  if (!added && identity.life < node.life)
    return {};
  if (added || node.life < identity.life)
    node = {};
  if (node.life != identity.life)
    node.joined = now;
  node.life = identity.life;
  node.lease_end = now + data_->options.lease;
  node.suspect_since.reset();
  node.applied = report.applied;
  node.flows = report.flows;
  node.busy_slots = report.busy_slots;
  node.formats = report.formats;
  node.held_buckets = report.held_buckets;
  if (record == nullptr && report.leaving)
    return {};
  if (record == nullptr || record->identity.life < identity.life)
    return {register_node{identity}};
  std::vector<command> commands;
  if (const auto to = requested_state(*record, report))
    commands.push_back(set_node_state{identity.id, identity.life, *to});
  add_release(commands, state, report);
  return commands;
}

namespace
{

/// Nodes with expired leases, by service; balancers are under the empty name.
using expired_nodes =
    std::map<std::string,
             std::vector<std::pair<time_point, const node_record*>>>;

/// Upstreams of a service that the removal limit is applied to.
struct limited_upstreams
{
  std::size_t total = 0;
  std::size_t suspect = 0;
};

/// An agent that is suspect for longer than suspect_timeout counts as gone: it
/// must not keep others from becoming suspect.
limited_upstreams count_upstreams(const state_machine& state,
                                  const std::string& service,
                                  const live_nodes& nodes,
                                  const membership_options& options,
                                  time_point now)
{
  limited_upstreams out;
  for (const auto* record : state.upstreams(service))
  {
    const bool suspect = record->state == node_state::suspect;
    const auto found = nodes.find(record->identity.id);
    if (suspect && found != nodes.end() && found->second.suspect_since &&
        now - *found->second.suspect_since >= options.suspect_timeout)
      continue;
    ++out.total;
    out.suspect += suspect ? 1 : 0;
  }
  return out;
}

void add_suspects(std::vector<command>& commands, const state_machine& state,
                  expired_nodes& expired, const live_nodes& nodes,
                  const membership_options& options, time_point now)
{
  for (auto& [service, records] : expired)
  {
    auto allowed = records.size();
    if (!service.empty())
    {
      const auto limited = count_upstreams(state, service, nodes, options, now);
      allowed = allowed_removals(limited.total, limited.suspect, records.size(),
                                 options.max_removed_share);
    }
    std::sort(records.begin(), records.end(),
              [](const auto& left, const auto& right)
              {
                return std::tie(left.first, left.second->identity.id) <
                       std::tie(right.first, right.second->identity.id);
              });
    for (std::size_t i = 0; i < allowed; ++i)
      commands.push_back(set_node_state{records[i].second->identity.id,
                                        records[i].second->identity.life,
                                        node_state::suspect});
  }
}

/// Marks nodes with expired leases as suspect, and suspects as gone after their
/// timeout.
std::vector<command> scan_leases(live_nodes& nodes, const state_machine& state,
                                 const membership_options& options,
                                 time_point now)
{
  std::vector<command> commands;
  expired_nodes expired;
  for (auto it = nodes.begin(); it != nodes.end();)
  {
    auto& [id, node] = *it;
    const auto* const record = state.find_node(id);
    const bool valid = now < node.lease_end;
    if (!valid && (record == nullptr || record->state == node_state::gone))
    {
      it = nodes.erase(it);
      continue;
    }
    ++it;
    if (valid)
      continue;
    if (record->state != node_state::suspect)
    {
      const bool is_agent = record->identity.role == node_role::agent;
      expired[is_agent ? record->identity.service : std::string{}].emplace_back(
          node.lease_end, record);
      continue;
    }
    if (!node.suspect_since)
      node.suspect_since = now;
    const auto timeout = record->identity.role == node_role::agent
                             ? options.agent_suspect_timeout
                             : options.suspect_timeout;
    if (now - *node.suspect_since >= timeout)
      commands.push_back(
          set_node_state{id, record->identity.life, node_state::gone});
  }
  add_suspects(commands, state, expired, nodes, options, now);
  return commands;
}

/// Buckets in which the owner reported no flows.
std::vector<bucket_index> idle_buckets(const service_table& table,
                                       const live_nodes& nodes)
{
  std::vector<const live_node*> owners;
  for (const auto& holder : table.holders)
    if (const auto found = nodes.find(holder.node); found != nodes.end())
      owners.push_back(&found->second);
    else
      owners.push_back(nullptr);
  std::vector<bucket_index> idle;
  for (std::size_t i = 0; i < table.buckets.size(); ++i)
  {
    const auto bucket = static_cast<bucket_index>(i);
    const auto& chain = table.buckets[i];
    const auto* const owner =
        chain.size > 0 ? owners[chain.holders[0]] : nullptr;
    if (owner != nullptr &&
        !std::binary_search(owner->held_buckets.begin(),
                            owner->held_buckets.end(), bucket))
      idle.push_back(bucket);
  }
  return idle;
}

holder_weights weights_by_holder(const service_table& table,
                                 const rebalance& step)
{
  std::map<node_id, std::uint32_t> by_node;
  for (const auto& [node, per_mille] : step.weights)
    by_node.emplace(node, per_mille);
  holder_weights weights;
  for (const auto& holder : table.holders)
    if (const auto found = by_node.find(holder.node); found != by_node.end())
      weights.push_back(found->second);
    else
      weights.push_back(0);
  return weights;
}

} // namespace

std::vector<command> membership_core::on_tick(const state_machine& state,
                                              time_point now)
{
  std::vector<command> commands;
  if (data_->next_scan <= now)
  {
    data_->next_scan = now + lease_scan_interval;
    for (auto it = data_->observers.begin(); it != data_->observers.end();)
      it = it->second.lease_end <= now ? data_->observers.erase(it)
                                       : std::next(it);
    commands = scan_leases(data_->nodes, state, data_->options, now);
    data_->settle(state, now);
  }
  const auto services = state.services();
  for (auto due = data_->due_services(services.size(), now); due > 0; --due)
    if (auto step = rebalance_step(
            state, *services[data_->next_service++ % services.size()], now))
      commands.push_back(std::move(*step));
  return commands;
}

std::optional<rebalance>
membership_core::rebalance_step(const state_machine& state,
                                const service_table& table, time_point now)
{
  std::vector<live_node*> members;
  std::vector<upstream_load> loads;
  rebalance step;
  for (const auto* const record : state.upstreams(table.name))
    if (const auto found = data_->nodes.find(record->identity.id);
        record->state == node_state::active && found != data_->nodes.end())
    {
      auto& node = found->second;
      members.push_back(&node);
      loads.push_back({record->identity.connections, node.flows,
                       data_->ramp(node, now), node.correction});
      step.weights.push_back({record->identity.id, 0});
    }
  if (members.size() < 2)
    return {};
  const auto corrections = next_corrections(loads, data_->options.load);
  for (std::size_t i = 0; i < members.size(); ++i)
    members[i]->correction = loads[i].correction = corrections[i];
  const auto weights = bucket_weights(loads);
  for (std::size_t i = 0; i < weights.size(); ++i)
    step.weights[i].per_mille = weights[i];
  step.service = table.name;
  const auto by_holder = weights_by_holder(table, step);
  if (is_balanced(table.buckets, by_holder))
    return {};
  step.idle = idle_buckets(table, data_->nodes);
  if (plan_rebalance(table.buckets, by_holder, step.idle, 1,
                     state.options().take_back_chain_length)
          .empty())
    return {};
  return step;
}

std::vector<node_liveness> membership_core::liveness(time_point now) const
{
  std::vector<node_liveness> found;
  found.reserve(data_->nodes.size());
  for (const auto& [id, node] : data_->nodes)
    found.push_back({id, now < node.lease_end, node.applied, node.flows,
                     node.busy_slots, node.formats});
  return found;
}

void membership_core::on_refused(const node_report& report, time_point now)
{
  const auto found = data_->nodes.find(report.identity.id);
  if (found == data_->nodes.end() || report.identity.life < found->second.life)
    return;
  found->second.formats = report.formats;
  if (found->second.suspect_since)
    found->second.suspect_since = now;
}

std::vector<version_member> membership_core::observers(time_point now) const
{
  std::vector<version_member> found;
  for (const auto& [id, item] : data_->observers)
    if (now < item.lease_end)
      found.push_back(item.stated);
  return found;
}

std::uint64_t membership_core::settled_index() const
{
  return data_->settled_index;
}

bool membership_core::in_force(std::uint64_t index, time_point now) const
{
  return std::all_of(data_->nodes.begin(), data_->nodes.end(),
                     [&](const auto& entry)
                     {
                       return entry.second.lease_end <= now ||
                              index <= entry.second.applied.index;
                     });
}

} // namespace toucanmill
