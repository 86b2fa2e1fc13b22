#include <toucanmill/cluster/state_machine.hpp>

#include <algorithm>

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
    return apply_declaration(state, value.value);
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

std::uint64_t state_machine::configuration_version() const
{
  return state_->configuration_version;
}

table_update state_machine::changes_since(table_version since,
                                          std::optional<service_id> only) const
{
  table_update update;
  update.version = state_->position;
  update.full =
      since == table_version{} || since.index < state_->removals_floor;
  const auto after = update.full ? 0 : since.index;
  for (auto it =
           state_->services_by_change.upper_bound({after + 1, std::string{}});
       it != state_->services_by_change.end(); ++it)
    if (const auto& table = state_->services.at(it->second).table;
        !only || *only == table.id)
      update.changed.push_back(table);
  if (!update.full)
    update.removed = removals_since(*state_, since.index, only);
  if (state_->declared_index > after)
  {
    update.declared = state_->declared;
    update.declared->document.clear();
  }
  return update;
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
