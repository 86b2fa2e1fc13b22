#include "cluster_state.hpp"

#include <algorithm>

#include <capnp/message.h>
#include <state.capnp.h>

#include <toucanmill/cluster/wire.hpp>

#include "message.hpp"

namespace toucanmill
{

namespace
{

unsigned list_size(std::size_t size)
{
  return static_cast<unsigned>(size);
}

void write_removals(schema::Snapshot::Builder to, const cluster_state& state)
{
  auto removals = to.initRemovals(list_size(state.removals.size()));
  for (unsigned i = 0; i < removals.size(); ++i)
  {
    removals[i].setIndex(state.removals[i].first);
    removals[i].setService(state.removals[i].second.value);
  }
}

void write_route_history(schema::Snapshot::Builder to,
                         const cluster_state& state)
{
  auto ages = to.initRouteAges(list_size(state.route_ages.size()));
  for (unsigned i = 0; i < ages.size(); ++i)
  {
    ages[i].setChanged(state.route_ages[i].changed);
    ages[i].setAdded(state.route_ages[i].added);
  }
  auto removals = to.initRouteRemovals(list_size(state.route_removals.size()));
  for (unsigned i = 0; i < removals.size(); ++i)
  {
    removals[i].setIndex(state.route_removals[i].first);
    wire::write(removals[i].initAddress(), state.route_removals[i].second);
  }
  to.setRouteRemovalsFloor(state.route_removals_floor);
}

/// Whether each declared route has replaced another one at its address. Without
/// that its list of former services is complete, whoever wrote it.
std::vector<bool> replaced_routes(const cluster_state& state)
{
  const auto& routes = state.declared.routes;
  std::vector<endpoint> addresses;
  for (const auto& item : routes)
    addresses.push_back(item.address);
  const auto removals = latest_removals(state, addresses);
  std::vector<bool> replaced;
  for (std::size_t i = 0; i < routes.size(); ++i)
  {
    const auto& age = state.route_ages[i];
    replaced.push_back(age.changed != age.added ||
                       removals.at(routes[i].address) != 0);
  }
  return replaced;
}

void mark_former_services(schema::Snapshot::Builder to,
                          const cluster_state& state)
{
  auto routes = to.getDeclared().getRoutes();
  const auto replaced = replaced_routes(state);
  for (unsigned i = 0; i < routes.size(); ++i)
    routes[i].setFormerMarked(replaced[i]);
}

void write_evacuations(schema::Snapshot::Builder to, const cluster_state& state)
{
  auto list = to.initEvacuations(list_size(state.evacuations.size()));
  unsigned i = 0;
  for (const auto& [name, since] : state.evacuations)
    wire::write(list[i++], evacuation{name, since.index, since.at});
  to.setEvacuationsIndex(state.evacuations_index);
}

void write_services(schema::Snapshot::Builder to, const cluster_state& state)
{
  auto services = to.initServices(list_size(state.services.size()));
  unsigned i = 0;
  for (const auto& [name, service] : state.services)
  {
    wire::write(services[i].initTable(), service.table);
    services[i].setMoved(
        kj::arrayPtr(service.moved.data(), service.moved.size()));
    ++i;
  }
}

void write_nodes(schema::Snapshot::Builder to, const cluster_state& state)
{
  auto nodes = to.initNodes(list_size(state.nodes.size()));
  unsigned i = 0;
  for (const auto& [id, node] : state.nodes)
  {
    wire::write(nodes[i].initIdentity(), node.record.identity);
    nodes[i].setState(wire::to_schema(node.record.state));
    nodes[i].setOrder(wire::to_schema(node.record.order));
    wire::write(nodes[i].initChanged(), node.record.changed);
    nodes[i].setWeight(node.weight);
    ++i;
  }
}

void write_requests(schema::Snapshot::Builder to, const cluster_state& state)
{
  auto requests = to.initRequests(list_size(state.requests.size()));
  unsigned i = 0;
  state.requests.for_each(
      [&](const stored_request& value)
      {
        auto request = requests[i++];
        wire::write(request.initRequest().initChange(), value.request);
        request.getRequest().setWallClock(value.request.wall_clock);
        wire::write(request.initOutcome(), value.outcome);
        request.setIndex(value.index);
        request.setAt(value.at);
      });
}

void write_claims(schema::Snapshot::Builder to, const cluster_state& state)
{
  auto claims = to.initClaims(list_size(state.claims.size()));
  unsigned i = 0;
  state.claims.for_each(
      [&](const claim_key& key, const stored_claim& value)
      {
        auto claim = claims[i++];
        wire::write(claim.initClaim(),
                    claim_request{key, value.claim, value.digest, 0});
        claim.setIndex(value.index);
        claim.setAt(value.at);
        claim.setCompleted(value.completed);
        claim.setAnswer(detail::data_reader(value.answer));
      });
}

result<service_entry> read_service(schema::Snapshot::Service::Reader from)
{
  service_entry service;
  BOOST_OUTCOME_TRY(table, wire::read(from.getTable()));
  service.table = std::move(table);
  for (const auto index : from.getMoved())
    service.moved.push_back(index);
  if (service.moved.size() != service.table.buckets.size())
    return error{error_code::corrupt_data,
                 "service \"" + service.table.name +
                     "\" does not have one move index per bucket"};
  return service;
}

result<node_entry> read_node(schema::Snapshot::Node::Reader from)
{
  node_entry node;
  BOOST_OUTCOME_TRY(identity, wire::read(from.getIdentity()));
  BOOST_OUTCOME_TRY(state, wire::read(from.getState()));
  BOOST_OUTCOME_TRY(order, wire::read(from.getOrder()));
  node.record = {std::move(identity), state, order,
                 wire::read(from.getChanged())};
  node.weight = from.getWeight();
  return node;
}

result<stored_request> read_request(schema::Snapshot::Request::Reader from)
{
  BOOST_OUTCOME_TRY(request, wire::read(from.getRequest().getChange()));
  BOOST_OUTCOME_TRY(outcome, wire::read(from.getOutcome()));
  request.wall_clock = from.getRequest().getWallClock();
  return stored_request{std::move(request), std::move(outcome), from.getIndex(),
                        from.getAt()};
}

result<void> read_claim(cluster_state& state,
                        schema::Snapshot::StoredClaim::Reader from)
{
  BOOST_OUTCOME_TRY(claim, wire::read(from.getClaim()));
  state.claims.insert(claim.key, {claim.claim, claim.digest, from.getIndex(),
                                  from.getAt(), from.getCompleted(),
                                  detail::copy_data(from.getAnswer())});
  return outcome::success();
}

result<void> read_services(cluster_state& state, schema::Snapshot::Reader from)
{
  for (const auto item : from.getServices())
  {
    BOOST_OUTCOME_TRY(service, read_service(item));
    const auto name = service.table.name;
    state.services.emplace(name, std::move(service));
    index_service(state, name);
  }
  return outcome::success();
}

/// Snapshots of earlier builds hold no history of the routes: tables older than
/// the declaration then get all routes.
void assume_route_history(cluster_state& state)
{
  state.route_ages.assign(state.declared.routes.size(),
                          {state.declared_index, state.declared_index});
  state.route_removals_floor = state.declared_index;
}

result<void> read_route_history(cluster_state& state,
                                schema::Snapshot::Reader from)
{
  if (!from.hasRouteAges())
  {
    assume_route_history(state);
    return outcome::success();
  }
  for (const auto item : from.getRouteAges())
    state.route_ages.push_back({item.getChanged(), item.getAdded()});
  for (const auto item : from.getRouteRemovals())
    state.route_removals.emplace_back(item.getIndex(),
                                      wire::read(item.getAddress()));
  state.route_removals_floor = from.getRouteRemovalsFloor();
  if (state.route_ages.size() != state.declared.routes.size())
    return error{error_code::corrupt_data,
                 "the snapshot does not have one age per declared route"};
  return outcome::success();
}

/// Earlier builds dropped former services without a mark.
void read_former_marks(cluster_state& state, schema::Snapshot::Reader from)
{
  const auto routes = from.getDeclared().getRoutes();
  const auto replaced = replaced_routes(state);
  for (unsigned i = 0; i < routes.size(); ++i)
    if (replaced[i] && !routes[i].getFormerMarked())
      state.declared.routes[i].former_incomplete = true;
}

result<void> read_nodes(cluster_state& state, schema::Snapshot::Reader from)
{
  for (const auto item : from.getNodes())
  {
    BOOST_OUTCOME_TRY(node, read_node(item));
    index_node(state, node);
    const auto id = node.record.identity.id;
    state.nodes.emplace(id, std::move(node));
  }
  return outcome::success();
}

void read_evacuations(cluster_state& state, schema::Snapshot::Reader from)
{
  state.evacuations_index = from.getEvacuationsIndex();
  for (const auto item : from.getEvacuations())
  {
    auto [name, index, since] = wire::read(item);
    state.evacuations[std::move(name)] = {index, since};
  }
}

void read_scalars(cluster_state& state, schema::Snapshot::Reader from)
{
  state.position = wire::read(from.getPosition());
  state.format = std::max(from.getFormatVersion(), first_format_version);
  state.configuration_version = from.getConfigurationVersion();
  state.clock = from.getClock();
  state.last_service = from.getLastService();
  state.removals_floor = from.getRemovalsFloor();
  state.declared = wire::read(from.getDeclared());
  state.declared_index = from.getDeclaredIndex();
  for (const auto item : from.getRemovals())
    state.removals.emplace_back(item.getIndex(), service_id{item.getService()});
}

result<cluster_state> read_state(schema::Snapshot::Reader from,
                                 assignment_options options)
{
  cluster_state state(options);
  read_scalars(state, from);
  if (!this_build().reads(state.format))
    return error{error_code::corrupt_data, "the snapshot has format version " +
                                               std::to_string(state.format) +
                                               "; this is " +
                                               to_string(this_build())};
  read_evacuations(state, from);
  BOOST_OUTCOME_TRY(read_route_history(state, from));
  read_former_marks(state, from);
  group_routes(state);
  BOOST_OUTCOME_TRY(read_services(state, from));
  BOOST_OUTCOME_TRY(read_nodes(state, from));
  for (const auto item : from.getRequests())
  {
    BOOST_OUTCOME_TRY(request, read_request(item));
    state.requests.insert(std::move(request));
  }
  for (const auto item : from.getClaims())
  {
    BOOST_OUTCOME_TRY(read_claim(state, item));
  }
  return state;
}

} // namespace

std::string write_snapshot(const cluster_state& state)
{
  capnp::MallocMessageBuilder message;
  auto to = message.initRoot<schema::Snapshot>();
  wire::write(to.initPosition(), state.position);
  to.setConfigurationVersion(state.configuration_version);
  to.setClock(state.clock);
  to.setLastService(state.last_service);
  to.setRemovalsFloor(state.removals_floor);
  write_removals(to, state);
  write_services(to, state);
  write_nodes(to, state);
  write_requests(to, state);
  write_claims(to, state);
  wire::write(to.initDeclared(), state.declared);
  to.setDeclaredIndex(state.declared_index);
  write_route_history(to, state);
  mark_former_services(to, state);
  if (state.evacuations_index != 0)
    write_evacuations(to, state);
  if (state.format != first_format_version)
    to.setFormatVersion(state.format);
  return detail::serialize(message);
}

result<cluster_state> read_snapshot(const std::string& bytes,
                                    assignment_options options)
{
  return detail::deserialize<schema::Snapshot, cluster_state>(
      bytes,
      [&](schema::Snapshot::Reader from)
      {
        return read_state(from, options);
      });
}

} // namespace toucanmill
