#include <toucanmill/cluster/wire.hpp>

#include "text.hpp"

namespace toucanmill::wire
{

using detail::copy_text;

void write(schema::NodeIdentity::Builder to, const node_identity& value)
{
  to.setId(value.id.value);
  to.setLife(value.life.value);
  to.setRole(to_schema(value.role));
  to.setName(value.name);
  to.setDataCentre(value.data_centre);
  write(to.initData(), value.data);
  to.setService(value.service);
  to.setSlots(value.slots);
  to.setConnections(value.connections);
}

result<node_identity> read(schema::NodeIdentity::Reader from)
{
  node_identity value;
  value.id = node_id{from.getId()};
  value.life = incarnation{from.getLife()};
  BOOST_OUTCOME_TRY(role, read(from.getRole()));
  value.role = role;
  value.name = copy_text(from.getName());
  value.data_centre = copy_text(from.getDataCentre());
  value.data = read(from.getData());
  value.service = copy_text(from.getService());
  value.slots = from.getSlots();
  value.connections = from.getConnections();
  return value;
}

void write(schema::NodeReport::Builder to, const node_report& value)
{
  write(to.initIdentity(), value.identity);
  write(to.initApplied(), value.applied);
  to.setFresh(value.fresh);
  to.setLeaving(value.leaving);
  to.setEmpty(value.empty);
  to.setFlows(value.flows);
  to.setBusySlots(value.busy_slots);
  to.setObserves(value.observes);
  to.setAppliesRouteChanges(value.applies_route_changes);
  write_formats(to, value.formats);
  auto held =
      to.initHeldBuckets(static_cast<unsigned>(value.held_buckets.size()));
  for (unsigned i = 0; i < held.size(); ++i)
    held.set(i, value.held_buckets[i]);
}

result<node_report> read(schema::NodeReport::Reader from)
{
  node_report value;
  BOOST_OUTCOME_TRY(identity, read(from.getIdentity()));
  value.identity = std::move(identity);
  value.applied = read(from.getApplied());
  value.fresh = from.getFresh();
  value.leaving = from.getLeaving();
  value.empty = from.getEmpty();
  value.flows = from.getFlows();
  value.busy_slots = from.getBusySlots();
  value.observes = from.getObserves();
  value.applies_route_changes = from.getAppliesRouteChanges();
  value.formats = read_formats(from);
  for (const auto bucket : from.getHeldBuckets())
  {
    if (!value.held_buckets.empty() && bucket <= value.held_buckets.back())
      return error{error_code::corrupt_data,
                   "the held buckets of node \"" + value.identity.name +
                       "\" are not in ascending order"};
    value.held_buckets.push_back(bucket);
  }
  return value;
}

void write(schema::ReplicaStatus::Builder to, const replica_address& value)
{
  to.setId(value.id.value);
  write(to.initRpc(), value.rpc);
  to.setVoter(value.voter);
}

replica_address read(schema::ReplicaStatus::Reader from)
{
  return {replica_id{from.getId()}, read(from.getRpc()), from.getVoter()};
}

void write(schema::NodeStatus::Builder to, const node_record& record,
           const node_liveness& live)
{
  write(to.initIdentity(), record.identity);
  to.setState(to_schema(record.state));
  to.setOrder(to_schema(record.order));
  to.setLeaseValid(live.lease_valid);
  write(to.initApplied(), live.applied);
  to.setFlows(live.flows);
  to.setBusySlots(live.busy_slots);
  write_formats(to, live.formats.value_or(format_support{}));
}

} // namespace toucanmill::wire
