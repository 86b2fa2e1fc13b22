#include <toucanmill/cluster/state_machine.hpp>

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <tuple>

#include <toucanmill/base/invariant.hpp>

#include "cluster_state.hpp"

namespace toucanmill
{

struct state_machine::state : cluster_state
{
  using cluster_state::cluster_state;

  explicit state(cluster_state restored) : cluster_state(std::move(restored)) {}
};

namespace
{

struct command_applier
{
  cluster_state& state;

  command_outcome operator()(const operator_request& value)
  {
    advance_clock(value.wall_clock);
    return apply_request(state, value);
  }
  command_outcome operator()(const declare_configuration& value)
  {
    return apply_declaration(state, value);
  }
  command_outcome operator()(const set_evacuation& value)
  {
    advance_clock(value.wall_clock);
    return apply_evacuation(state, value);
  }
  command_outcome operator()(const register_node& value)
  {
    apply_register(state, value);
    return no_outcome{};
  }
  command_outcome operator()(const set_node_state& value)
  {
    apply_node_state(state, value);
    return no_outcome{};
  }
  command_outcome operator()(const release_buckets& value)
  {
    apply_release(state, value);
    return no_outcome{};
  }
  command_outcome operator()(const rebalance& value)
  {
    apply_rebalance(state, value);
    return no_outcome{};
  }
  command_outcome operator()(const claim_request& value)
  {
    advance_clock(value.wall_clock);
    return state.claims.request(value, state.position.index, state.clock);
  }
  command_outcome operator()(const claim_completion& value)
  {
    state.claims.complete(value);
    return no_outcome{};
  }
  command_outcome operator()(const raise_version& value)
  {
    state.format = std::max(state.format, value.version);
    return no_outcome{};
  }
  command_outcome operator()(const claim_release& value)
  {
    state.claims.release(value);
    return no_outcome{};
  }

private:
  void advance_clock(std::uint64_t wall_clock)
  {
    state.clock = std::max(state.clock, wall_clock);
  }
};

bool has_target(const route& item, const std::string& service)
{
  return std::any_of(item.targets.begin(), item.targets.end(),
                     [&](const route_target& target)
                     {
                       return target.service == service;
                     });
}

bool opens_flows_to(const route& item, const std::string& service)
{
  return std::any_of(item.targets.begin(), item.targets.end(),
                     [&](const route_target& target)
                     {
                       return target.service == service && target.weight > 0;
                     });
}

configuration declaration_for(const cluster_state& state,
                              const std::optional<std::string>& service)
{
  const auto& declared = state.declared;
  configuration out;
  out.version = declared.version;
  out.services = declared.services;
  out.idle_timeout_ms = declared.idle_timeout_ms;
  for (const auto& item : declared.routes)
    if (!service || has_target(item, *service))
      out.routes.push_back(item);
  return out;
}

/// Addresses of routes removed after a log index.
std::vector<endpoint> route_removals_since(const cluster_state& state,
                                           std::uint64_t index)
{
  const auto& removals = state.route_removals;
  const auto first = std::upper_bound(removals.begin(), removals.end(), index,
                                      [](std::uint64_t at, const auto& removal)
                                      {
                                        return at < removal.first;
                                      });
  std::vector<endpoint> removed;
  std::transform(first, removals.end(), std::back_inserter(removed),
                 [](const auto& removal)
                 {
                   return removal.second;
                 });
  return removed;
}

/// Routes that changed after a log index, for nodes that need all routes.
std::vector<route_group> changed_groups(const cluster_state& state,
                                        std::uint64_t index)
{
  std::vector<route_group> changed;
  std::map<std::uint32_t, std::size_t> positions;
  const auto& routes = state.declared.routes;
  for (std::size_t i = 0; i < routes.size(); ++i)
  {
    if (state.route_ages[i].changed <= index)
      continue;
    const auto [found, added] =
        positions.try_emplace(state.route_groups[i], changed.size());
    if (added)
      changed.push_back({routes[i].targets,
                         routes[i].former,
                         routes[i].timeout_ms,
                         {},
                         routes[i].objectives,
                         routes[i].former_incomplete});
    changed[found->second].addresses.push_back(routes[i].address);
  }
  return changed;
}

/// Adds the routes to the service that changed after a log index, grouped by
/// time limit and objectives. A changed route to other services counts as
/// removed if the node may have received it with earlier targets.
void add_changes_for(const cluster_state& state, std::uint64_t index,
                     const std::string& service, route_changes& out)
{
  std::map<std::pair<std::uint32_t, route_objectives>, route_group> admitted;
  const auto& routes = state.declared.routes;
  for (std::size_t i = 0; i < routes.size(); ++i)
    if (const auto& age = state.route_ages[i]; age.changed > index)
    {
      if (opens_flows_to(routes[i], service))
        admitted[{routes[i].timeout_ms, routes[i].objectives}]
            .addresses.push_back(routes[i].address);
      else if (age.added <= index)
        out.removed.push_back(routes[i].address);
    }
  for (auto& [limits, group] : admitted)
  {
    group.targets = {{service, 1}};
    std::tie(group.timeout_ms, group.objectives) = limits;
    out.changed.push_back(std::move(group));
  }
}

route_changes route_changes_since(const cluster_state& state,
                                  std::uint64_t index,
                                  const std::optional<std::string>& service)
{
  route_changes out;
  out.version = state.declared.version;
  out.whole = index == 0 || index < state.route_removals_floor;
  const auto since = out.whole ? 0 : index;
  if (!out.whole)
    out.removed = route_removals_since(state, since);
  if (service)
    add_changes_for(state, since, *service, out);
  else
    out.changed = changed_groups(state, since);
  return out;
}

std::vector<service_id> removals_since(const cluster_state& state,
                                       std::uint64_t index,
                                       std::optional<service_id> only)
{
  std::vector<service_id> removed;
  for (const auto& [at, id] : state.removals)
    if (at > index && (!only || *only == id))
      removed.push_back(id);
  return removed;
}

std::vector<data_centre_key> evacuated_keys(const cluster_state& state)
{
  std::set<data_centre_key> keys;
  for (const auto& [name, since] : state.evacuations)
    keys.insert(key_of_data_centre(name));
  return {keys.begin(), keys.end()};
}

} // namespace

state_machine::state_machine(assignment_options options)
    : state_(std::make_unique<state>(options))
{
}

state_machine::~state_machine() = default;
state_machine::state_machine(state_machine&&) noexcept = default;
state_machine& state_machine::operator=(state_machine&&) noexcept = default;

command_outcome state_machine::apply(table_version position,
                                     const command& value)
{
  TOUCANMILL_INVARIANT(state_->position < position &&
                           state_->position.index < position.index,
                       "positions of applied entries must rise");
  state_->position = position;
  return std::visit(command_applier{*state_}, value);
}

table_version state_machine::position() const
{
  return state_->position;
}

format_version state_machine::format() const
{
  return state_->format;
}

std::uint64_t state_machine::configuration_version() const
{
  return state_->configuration_version;
}

namespace
{

service_table table_for_holder(const service_table& table, node_id holder)
{
  service_table part;
  part.id = table.id;
  part.name = table.name;
  part.address = table.address;
  part.former_addresses = table.former_addresses;
  part.kind = table.kind;
  part.version = table.version;
  part.warm_up_rate = table.warm_up_rate;
  part.buckets.resize(table.buckets.size());
  for (const auto& item : table.holders)
    if (item.node == holder)
      part.holders.push_back(item);
  return part;
}

} // namespace

table_update state_machine::changes_since(table_version since,
                                          std::optional<service_id> only,
                                          const declaration_scope& scope) const
{
  table_update update;
  update.version = state_->position;
  update.full =
      since == table_version{} || since.index < state_->removals_floor;
  if (!update.full)
    update.base = since;
  const auto after = update.full ? 0 : since.index;
  for (auto it =
           state_->services_by_change.upper_bound({after + 1, std::string{}});
       it != state_->services_by_change.end(); ++it)
    if (const auto& table = state_->services.at(it->second).table;
        !only || *only == table.id)
      update.changed.push_back(scope.holder && table.kind == service_kind::relay
                                   ? table_for_holder(table, *scope.holder)
                                   : table);
  if (!update.full)
    update.removed = removals_since(*state_, since.index, only);
  if (state_->declared_index > after)
  {
    if (scope.as_declared)
      update.declared = declaration_for(*state_, scope.service);
    else
      update.routes = route_changes_since(*state_, after, scope.service);
  }
  if (state_->evacuations_index > after)
    update.evacuated = evacuated_keys(*state_);
  return update;
}

std::vector<evacuation> state_machine::evacuations() const
{
  std::vector<evacuation> found;
  for (const auto& [name, since] : state_->evacuations)
    found.push_back({name, since.index, since.at});
  return found;
}

std::uint64_t state_machine::evacuations_index() const
{
  return state_->evacuations_index;
}

const configuration& state_machine::declared() const
{
  return state_->declared;
}

const service_table* state_machine::find_service(const std::string& name) const
{
  const auto found = state_->services.find(name);
  return found == state_->services.end() ? nullptr : &found->second.table;
}

std::vector<const service_table*> state_machine::services() const
{
  std::vector<const service_table*> found;
  found.reserve(state_->services.size());
  for (const auto& [name, service] : state_->services)
    found.push_back(&service.table);
  return found;
}

const node_record* state_machine::find_node(node_id id) const
{
  const auto found = state_->nodes.find(id);
  return found == state_->nodes.end() ? nullptr : &found->second.record;
}

const node_record* state_machine::find_node(const std::string& name) const
{
  const auto* const node = toucanmill::find_node(*state_, name);
  return node == nullptr ? nullptr : &node->record;
}

std::vector<const node_record*> state_machine::nodes() const
{
  std::vector<const node_record*> found;
  found.reserve(state_->nodes.size());
  for (const auto& [id, node] : state_->nodes)
    found.push_back(&node.record);
  return found;
}

std::vector<const node_record*>
state_machine::upstreams(const std::string& service) const
{
  std::vector<const node_record*> found;
  if (const auto members = state_->upstreams.find(service);
      members != state_->upstreams.end())
    for (const auto id : members->second)
      found.push_back(&state_->nodes.at(id).record);
  return found;
}

std::vector<std::uint16_t>
state_machine::releasable_buckets(node_id node, std::uint64_t at_index,
                                  const std::vector<std::uint16_t>& held) const
{
  const auto* const record = find_node(node);
  if (record == nullptr)
    return {};
  const auto service = state_->services.find(record->identity.service);
  if (service == state_->services.end())
    return {};
  return releasable(service->second, node, at_index, held);
}

const assignment_options& state_machine::options() const
{
  return state_->options;
}

std::size_t state_machine::claim_count() const
{
  return state_->claims.size();
}

std::string state_machine::snapshot() const
{
  return write_snapshot(*state_);
}

result<state_machine> state_machine::restore(const std::string& bytes,
                                             assignment_options options)
{
  BOOST_OUTCOME_TRY(restored, read_snapshot(bytes, options));
  state_machine machine(options);
  machine.state_ = std::make_unique<state>(std::move(restored));
  return machine;
}

} // namespace toucanmill
