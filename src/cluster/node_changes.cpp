#include "cluster_state.hpp"

#include <algorithm>

#include <toucanmill/cluster/validation.hpp>

namespace toucanmill
{

namespace
{

// With a greater weight, the other upstreams would get almost no buckets.
constexpr std::uint32_t max_weight = 100'000;

void evict_oldest_gone_nodes(cluster_state& state)
{
  while (state.gone.size() > max_gone_nodes)
  {
    const auto id = state.gone.begin()->second;
    unindex_node(state, state.nodes.at(id));
    state.nodes.erase(id);
  }
}

bool name_is_taken(const cluster_state& state, const node_identity& identity)
{
  const auto found = state.node_names.find(identity.name);
  return found != state.node_names.end() && found->second != identity.id;
}

/// Removes the node from all chains, since the flows of the earlier incarnation
/// ended with its process.
void end_earlier_incarnation(cluster_state& state, const node_entry& node)
{
  unindex_node(state, node);
  update_service(state, node.record.identity.service);
}

node_state state_under_order(node_order order)
{
  return order == node_order::none ? node_state::active : node_state::draining;
}

void start_incarnation(cluster_state& state, const node_identity& identity)
{
  auto& node = state.nodes[identity.id];
  node.record.identity = identity;
  node.record.state = state_under_order(node.record.order);
  node.record.changed = state.position;
  node.weight = state.options.join_weight;
  index_node(state, node);
  update_service(state, identity.service);
}

/// Whether a new incarnation may keep the buckets of the previous one. A relay
/// agent forwards packets of flows that its upstream does not hold, so it need
/// not leave its chains. If all upstreams restart at once, removing them one by
/// one would send all new flows to the few that were removed last.
bool may_keep_buckets(const cluster_state& state, const node_entry& node,
                      const node_identity& identity)
{
  const auto& before = node.record.identity;
  const auto service = state.services.find(identity.service);
  return service != state.services.end() &&
         service->second.table.kind == service_kind::relay &&
         node.record.state == node_state::active &&
         before.service == identity.service && before.data == identity.data;
}

void replace_incarnation(cluster_state& state, node_entry& node,
                         const node_identity& identity)
{
  unindex_node(state, node);
  node.record.identity = identity;
  node.record.changed = state.position;
  index_node(state, node);
}

} // namespace

void change_state(cluster_state& state, node_entry& node, node_state to)
{
  unindex_node(state, node);
  if (node.record.state == node_state::gone)
    node.weight = state.options.join_weight;
  node.record.state = to;
  node.record.changed = state.position;
  index_node(state, node);
  const auto service = node.record.identity.service;
  update_service(state, service);
  evict_oldest_gone_nodes(state);
}

void apply_register(cluster_state& state, const register_node& value)
{
  const auto& identity = value.identity;
  if (check_identity(identity).has_error() || name_is_taken(state, identity))
    return;
  const auto found = state.nodes.find(identity.id);
  if (found == state.nodes.end())
    return start_incarnation(state, identity);
  auto& node = found->second;
  const auto life = node.record.identity.life;
  if (life < identity.life && may_keep_buckets(state, node, identity))
    replace_incarnation(state, node, identity);
  else if (life < identity.life)
  {
    end_earlier_incarnation(state, node);
    start_incarnation(state, identity);
  }
  else if (life == identity.life && (node.record.state == node_state::suspect ||
                                     node.record.state == node_state::gone))
    change_state(state, node, state_under_order(node.record.order));
}

void apply_node_state(cluster_state& state, const set_node_state& value)
{
  const auto found = state.nodes.find(value.node);
  if (found == state.nodes.end())
    return;
  auto& node = found->second;
  const auto to = value.state == node_state::active
                      ? state_under_order(node.record.order)
                      : value.state;
  if (node.record.identity.life == value.life && node.record.state != to)
    change_state(state, node, to);
}

void apply_release(cluster_state& state, const release_buckets& value)
{
  const auto found = state.nodes.find(value.node);
  if (found == state.nodes.end() ||
      found->second.record.identity.life != value.life ||
      value.at_index >= state.position.index)
    return;
  const auto& name = found->second.record.identity.service;
  const auto service = state.services.find(name);
  if (service != state.services.end() &&
      release(service->second, value.node, value.at_index, value.buckets))
    update_service(state, name, {}, true);
}

void apply_rebalance(cluster_state& state, const rebalance& value)
{
  const auto found = state.services.find(value.service);
  if (found == state.services.end())
    return;
  for (const auto& [id, per_mille] : value.weights)
    if (const auto node = state.nodes.find(id);
        node != state.nodes.end() &&
        node->second.record.identity.service == value.service)
      node->second.weight = std::clamp(per_mille, 1U, max_weight);
  auto& service = found->second;
  const auto views = upstream_views(state, value.service);
  const auto moves = plan_rebalance(
      service.table.buckets, weights_of(service, views), value.idle,
      state.options.moves_per_rebalance, state.options.take_back_chain_length);
  if (apply_moves(service, moves, state.position.index,
                  state.options.keep_chains))
    update_service(state, value.service, {}, true);
}

} // namespace toucanmill
