#include "cluster_state.hpp"

#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace toucanmill
{

namespace
{

/// Bucket count of a declared service; with 256, the shares of 16 upstreams
/// differ by at most 6%.
constexpr std::size_t declared_bucket_count = 256;

std::map<endpoint, std::size_t>
route_positions(const std::vector<route>& routes)
{
  std::map<endpoint, std::size_t> positions;
  for (std::size_t i = 0; i < routes.size(); ++i)
    positions[routes[i].address] = i;
  return positions;
}

void add_declared_service(cluster_state& state, const std::string& name)
{
  auto& service = state.services[name];
  service.table.id = service_id{++state.last_service};
  service.table.name = name;
  service.table.kind = service_kind::relay;
  service.table.version = state.position;
  service.table.buckets.resize(declared_bucket_count);
  service.moved.resize(declared_bucket_count);
  index_service(state, name);
  update_service(state, name);
}

/// Removes services that are no longer declared and have no upstreams left.
/// Until the last upstream is gone, open flows of the service still need it.
void remove_undeclared_services(cluster_state& state)
{
  const std::set<std::string> declared(state.declared.services.begin(),
                                       state.declared.services.end());
  std::vector<std::string> unused;
  for (const auto& [name, service] : state.services)
    if (service.table.kind == service_kind::relay &&
        service.table.holders.empty() && declared.count(name) == 0)
      unused.push_back(name);
  for (const auto& name : unused)
    remove_service(state, name);
}

/// A service gets a new version only if its rate changes.
void set_warm_up_rates(cluster_state& state)
{
  std::map<std::string, std::uint32_t> rates;
  for (const auto& [service, rate] : state.declared.warm_up)
    rates[service] = rate;
  for (auto& [name, service] : state.services)
  {
    const auto found = rates.find(name);
    const auto rate = found == rates.end() ? 0 : found->second;
    if (service.table.warm_up_rate == rate)
      continue;
    unindex_service(state, name);
    service.table.warm_up_rate = rate;
    service.table.version = state.position;
    index_service(state, name);
  }
}

/// Sets the former services of the routes of `next`. An address that returns
/// after its removal may have flows on any service.
void keep_former_services(const cluster_state& state,
                          std::uint64_t settled_index, configuration& next)
{
  const auto present = route_positions(state.declared.routes);
  std::vector<endpoint> added;
  for (const auto& item : next.routes)
    if (present.count(item.address) == 0)
      added.push_back(item.address);
  const auto removals = latest_removals(state, added);
  for (auto& item : next.routes)
    if (const auto found = present.find(item.address); found != present.end())
    {
      const auto changed = state.route_ages[found->second].changed;
      keep_former_services(state.declared.routes[found->second],
                           changed <= settled_index, item);
    }
    else
    {
      item.former.clear();
      item.former_incomplete = settled_index < removals.at(item.address);
    }
}

void record_removal(cluster_state& state, const endpoint& address)
{
  state.route_removals.emplace_back(state.position.index, address);
  if (state.route_removals.size() > max_recorded_route_removals)
  {
    state.route_removals_floor = state.route_removals.front().first;
    state.route_removals.pop_front();
  }
}

/// Records which routes the next configuration changes, adds and removes.
void record_route_changes(cluster_state& state, const configuration& next)
{
  const auto& present = state.declared.routes;
  auto unmatched = route_positions(present);
  const auto index = state.position.index;
  std::vector<route_age> ages;
  ages.reserve(next.routes.size());
  for (const auto& item : next.routes)
    if (const auto found = unmatched.find(item.address);
        found == unmatched.end())
      ages.push_back({index, index});
    else
    {
      const auto& age = state.route_ages[found->second];
      const bool equal = present[found->second] == item;
      ages.push_back({equal ? age.changed : index, age.added});
      unmatched.erase(found);
    }
  for (const auto& [address, at] : unmatched)
    record_removal(state, address);
  state.route_ages = std::move(ages);
}

std::string summarize(const findings& found)
{
  return found.front().key + ": " + found.front().message +
         (found.size() > 1
              ? " (and " + std::to_string(found.size() - 1) + " more)"
              : "");
}

} // namespace

std::map<endpoint, std::uint64_t>
latest_removals(const cluster_state& state,
                const std::vector<endpoint>& addresses)
{
  std::map<endpoint, std::uint64_t> latest;
  for (const auto& address : addresses)
    latest[address] = state.route_removals_floor;
  if (latest.empty())
    return latest;
  for (const auto& [index, address] : state.route_removals)
    if (const auto found = latest.find(address); found != latest.end())
      found->second = index;
  return latest;
}

void group_routes(cluster_state& state)
{
  const auto precedes = [](const route* left, const route* right)
  {
    return std::tie(left->targets, left->former, left->former_incomplete,
                    left->timeout_ms, left->objectives) <
           std::tie(right->targets, right->former, right->former_incomplete,
                    right->timeout_ms, right->objectives);
  };
  std::map<const route*, std::uint32_t, decltype(precedes)> groups(precedes);
  state.route_groups.clear();
  for (const auto& item : state.declared.routes)
  {
    const auto next = static_cast<std::uint32_t>(groups.size());
    state.route_groups.push_back(groups.try_emplace(&item, next).first->second);
  }
}

// Validates before comparing versions: an invalid configuration is refused even
// if a newer version is already in force.
change_outcome apply_declaration(cluster_state& state,
                                 const declare_configuration& order)
{
  const auto& value = order.value;
  if (const auto found = check_configuration(value); !found.empty())
    return {false, error_code::invalid_argument, summarize(found),
            state.declared.version, 0};
  if (value.version > state.declared.version)
  {
    auto next = value;
    keep_former_services(state, order.settled_index, next);
    record_route_changes(state, next);
    state.declared = std::move(next);
    group_routes(state);
    state.declared_index = state.position.index;
    for (const auto& name : value.services)
      if (state.services.count(name) == 0)
        add_declared_service(state, name);
    remove_undeclared_services(state);
    set_warm_up_rates(state);
  }
  return {true, {}, {}, state.declared.version, state.declared_index};
}

} // namespace toucanmill
