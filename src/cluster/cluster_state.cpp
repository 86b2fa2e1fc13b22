#include "cluster_state.hpp"

#include <toucanmill/base/invariant.hpp>

namespace toucanmill
{

node_entry* find_node(cluster_state& state, const std::string& name)
{
  const auto found = state.node_names.find(name);
  return found == state.node_names.end() ? nullptr
                                         : &state.nodes.at(found->second);
}

std::vector<upstream_view> upstream_views(const cluster_state& state,
                                          const std::string& service)
{
  std::vector<upstream_view> views;
  const auto found = state.upstreams.find(service);
  if (found == state.upstreams.end())
    return views;
  for (const auto id : found->second)
  {
    const auto& [record, weight] = state.nodes.at(id);
    views.push_back({id, record.identity.data,
                     record.state == node_state::suspect,
                     record.state == node_state::active ? weight : 0,
                     key_of_data_centre(record.identity.data_centre)});
  }
  return views;
}

void update_service(cluster_state& state, const std::string& name,
                    std::vector<bucket_index> orphaned, bool changed)
{
  const auto found = state.services.find(name);
  if (found == state.services.end())
    return;
  auto& service = found->second;
  const auto views = upstream_views(state, name);
  changed |= sync_holders(service, views, orphaned);
  const auto moves = plan_replacement(service.table.buckets,
                                      weights_of(service, views), orphaned);
  changed |= apply_moves(service, moves, state.position.index,
                         state.options.keep_chains);
  check_buckets_invariants(service, views);
  if (!changed)
    return;
  unindex_service(state, name);
  service.table.version = state.position;
  index_service(state, name);
}

void index_service(cluster_state& state, const std::string& name)
{
  const auto& table = state.services.at(name).table;
  state.services_by_change.emplace(table.version.index, name);
  for (const auto& address : table.routed_addresses())
    state.addresses[address] = name;
}

void unindex_service(cluster_state& state, const std::string& name)
{
  const auto& table = state.services.at(name).table;
  state.services_by_change.erase({table.version.index, name});
  for (const auto& address : table.routed_addresses())
    state.addresses.erase(address);
}

void remove_service(cluster_state& state, const std::string& name)
{
  state.removals.emplace_back(state.position.index,
                              state.services.at(name).table.id);
  if (state.removals.size() > max_recorded_removals)
  {
    state.removals_floor = state.removals.front().first;
    state.removals.pop_front();
  }
  unindex_service(state, name);
  state.services.erase(name);
}

void index_node(cluster_state& state, const node_entry& node)
{
  const auto& [identity, status, order, changed] = node.record;
  state.node_names[identity.name] = identity.id;
  const bool gone = status == node_state::gone;
  if (identity.role == node_role::agent && !gone)
    state.upstreams[identity.service].insert(identity.id);
  if (gone && order == node_order::none)
    state.gone.emplace(changed.index, identity.id);
}

void unindex_node(cluster_state& state, const node_entry& node)
{
  const auto& identity = node.record.identity;
  state.node_names.erase(identity.name);
  state.gone.erase({node.record.changed.index, identity.id});
  if (const auto found = state.upstreams.find(identity.service);
      found != state.upstreams.end())
  {
    found->second.erase(identity.id);
    if (found->second.empty())
      state.upstreams.erase(found);
  }
}

} // namespace toucanmill
