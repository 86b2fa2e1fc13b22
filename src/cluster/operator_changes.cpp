#include "cluster_state.hpp"

#include <algorithm>

#include <toucanmill/cluster/validation.hpp>

namespace toucanmill
{

namespace
{

error refusal_error(error_code code, std::string message)
{
  return {code, std::move(message)};
}

/// Applies a change; on error the state is unchanged and the error says why the
/// change was refused.
struct change_applier
{
  cluster_state& state;
  std::uint64_t wall_clock = 0;
  bool changed = true; ///< false: the order was already in force

  result<void> operator()(const create_service& value)
  {
    BOOST_OUTCOME_TRY(check_name("service name", value.name));
    BOOST_OUTCOME_TRY(check_address(value.name, value.address));
    BOOST_OUTCOME_TRY(check_buckets(value.buckets));
    if (state.services.count(value.name) != 0)
      return refusal_error(error_code::already_exists,
                           "service \"" + value.name + "\" already exists");
    auto& service = state.services[value.name];
    service.table.id = service_id{++state.last_service};
    service.table.name = value.name;
    service.table.address = value.address;
    service.table.kind = value.kind;
    service.table.version = state.position;
    service.table.buckets.resize(value.buckets);
    service.moved.resize(value.buckets);
    index_service(state, value.name);
    update_service(state, value.name);
    return outcome::success();
  }

  result<void> operator()(const change_service& value)
  {
    BOOST_OUTCOME_TRY(service, find_service(value.name));
    BOOST_OUTCOME_TRY(check_address(value.name, value.address));
    if (service->table.address == value.address)
      return refusal_error(error_code::invalid_argument,
                           "service \"" + value.name +
                               "\" already has the address " +
                               to_string(value.address));
    auto former = service->table.former_addresses;
    former.erase(std::remove(former.begin(), former.end(), value.address),
                 former.end());
    former.push_back(service->table.address);
    if (former.size() > max_former_addresses)
      return refusal_error(
          error_code::limit_reached,
          "service \"" + value.name + "\" has " +
              std::to_string(max_former_addresses) +
              " former addresses that established flows may use");
    unindex_service(state, value.name);
    service->table.former_addresses = std::move(former);
    service->table.address = value.address;
    service->table.version = state.position;
    index_service(state, value.name);
    return outcome::success();
  }

  result<void> operator()(const delete_service& value)
  {
    BOOST_OUTCOME_TRY(service, find_service(value.name));
    if (const auto& holders = service->table.holders; !holders.empty())
      return refusal_error(
          error_code::unavailable,
          "service \"" + value.name + "\" still has " +
              std::to_string(holders.size()) + " upstreams, one is \"" +
              state.nodes.at(holders.front().node).record.identity.name +
              "\"; stop them first");
    remove_service(state, value.name);
    return outcome::success();
  }

  result<void> operator()(const drain_node& value)
  {
    return issue_order(value.node, node_role::agent, node_order::drain);
  }

  result<void> operator()(const retire_node& value)
  {
    return issue_order(value.node, node_role::balancer, node_order::retire);
  }

  result<void> operator()(const restore_node& value)
  {
    BOOST_OUTCOME_TRY(node, find_node(value.node));
    if (node->record.order == node_order::none)
      return refusal_error(error_code::invalid_argument,
                           "node \"" + value.node +
                               "\" is neither drained nor retired");
    set_order(*node, node_order::none);
    if (node->record.state == node_state::draining)
      change_state(state, *node, node_state::active);
    return outcome::success();
  }

  result<void> operator()(const evacuate_data_centre& value)
  {
    return set_evacuated(value.data_centre, true);
  }

  result<void> operator()(const restore_data_centre& value)
  {
    return set_evacuated(value.data_centre, false);
  }

private:
  result<void> set_evacuated(const std::string& name, bool evacuated)
  {
    BOOST_OUTCOME_TRY(result,
                      change_evacuation(state, {name, evacuated, wall_clock}));
    changed = result;
    return outcome::success();
  }

  result<service_entry*> find_service(const std::string& name)
  {
    const auto found = state.services.find(name);
    if (found == state.services.end())
      return refusal_error(error_code::not_found,
                           "service \"" + name + "\" does not exist");
    return &found->second;
  }

  result<node_entry*> find_node(const std::string& name)
  {
    if (auto* const node = toucanmill::find_node(state, name))
      return node;
    return refusal_error(error_code::not_found,
                         "node \"" + name + "\" does not exist");
  }

  result<void> check_address(const std::string& name, const endpoint& address)
  {
    BOOST_OUTCOME_TRY(check_endpoint("service \"" + name + "\"", address));
    if (const auto found = state.addresses.find(address);
        found != state.addresses.end() && found->second != name)
      return refusal_error(error_code::already_exists,
                           "address " + to_string(address) +
                               " is in use by service \"" + found->second +
                               "\"");
    return outcome::success();
  }

  result<void> issue_order(const std::string& name, node_role role,
                           node_order order)
  {
    BOOST_OUTCOME_TRY(node, find_node(name));
    const auto& record = node->record;
    if (record.identity.role != role)
      return refusal_error(
          error_code::invalid_argument,
          "node \"" + name + "\" is not " +
              (role == node_role::agent ? "an agent" : "a balancer"));
    if (record.state == node_state::gone)
      return refusal_error(error_code::unavailable,
                           "node \"" + name + "\" is gone");
    if (record.order == order)
      return refusal_error(error_code::invalid_argument,
                           "node \"" + name + "\" already has this order");
    set_order(*node, order);
    if (record.state == node_state::active)
      change_state(state, *node, node_state::draining);
    return outcome::success();
  }

  void set_order(node_entry& node, node_order order)
  {
    unindex_node(state, node);
    node.record.order = order;
    index_node(state, node);
  }
};

change_outcome refused_outcome(const cluster_state& state, error reason)
{
  return {false, reason.code, std::move(reason.message),
          state.configuration_version, 0};
}

result<void> check_version(const cluster_state& state,
                           const operator_request& request)
{
  if (request.if_version != state.configuration_version)
    return refusal_error(error_code::version_conflict,
                         "the change is based on version " +
                             std::to_string(request.if_version) +
                             ", the present version is " +
                             std::to_string(state.configuration_version));
  return outcome::success();
}

change_outcome execute_request(cluster_state& state,
                               const operator_request& request)
{
  if (auto checked = check_version(state, request); checked.has_error())
    return refused_outcome(state, checked.error());
  change_applier applier{state, request.wall_clock};
  if (auto applied = std::visit(applier, request.change); applied.has_error())
    return refused_outcome(state, applied.error());
  if (applier.changed)
    ++state.configuration_version;
  return {true, {}, {}, state.configuration_version, state.position.index};
}

change_outcome outcome_of_retry(const cluster_state& state,
                                const stored_request& first,
                                const operator_request& request)
{
  const auto description = describe_difference(first.request, request);
  if (description.empty())
    return first.outcome;
  return refused_outcome(
      state,
      refusal_error(error_code::request_mismatch,
                    "request id \"" + request.request_id +
                        "\" was used for another change: " + description));
}

} // namespace

change_outcome apply_request(cluster_state& state,
                             const operator_request& request)
{
  state.requests.expire(state.clock);
  if (auto checked = check_request_id(request.request_id); checked.has_error())
    return refused_outcome(state, checked.error());
  if (const auto* const first = state.requests.find(request.request_id))
    return outcome_of_retry(state, *first, request);
  if (state.requests.size() >= state.options.max_requests)
    return refused_outcome(
        state, refusal_error(error_code::limit_reached,
                             "the limit of " +
                                 std::to_string(state.options.max_requests) +
                                 " requests kept for 24 hours is reached"));
  auto outcome = execute_request(state, request);
  state.requests.insert({request, outcome, state.position.index, state.clock});
  return outcome;
}

} // namespace toucanmill
