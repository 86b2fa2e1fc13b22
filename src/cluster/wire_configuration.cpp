#include <toucanmill/cluster/wire.hpp>

#include "message.hpp"
#include "text.hpp"

namespace toucanmill::wire
{

using detail::copy_text;

namespace
{

void write_objectives(schema::Objectives::Builder to,
                      const route_objectives& value)
{
  to.setKind(static_cast<schema::RequestKind>(value.kind));
  to.setLatencyMillis(value.latency_ms);
  to.setPriority(value.priority);
}

route_objectives read_objectives(schema::Objectives::Reader from)
{
  route_objectives value;
  const auto kind = from.getKind();
  if (kind == schema::RequestKind::IDEMPOTENT)
    value.kind = request_kind::idempotent;
  if (kind == schema::RequestKind::NON_IDEMPOTENT)
    value.kind = request_kind::non_idempotent;
  value.latency_ms = from.getLatencyMillis();
  value.priority = from.getPriority();
  return value;
}

/// Writes what a route and a group of routes have in common.
template <class Builder, class Value>
void write_handling(Builder to, const Value& value)
{
  to.setTimeoutMillis(value.timeout_ms);
  auto targets = to.initTargets(static_cast<unsigned>(value.targets.size()));
  for (unsigned i = 0; i < targets.size(); ++i)
  {
    targets[i].setService(value.targets[i].service);
    targets[i].setWeight(value.targets[i].weight);
  }
  auto former = to.initFormer(static_cast<unsigned>(value.former.size()));
  for (unsigned i = 0; i < former.size(); ++i)
    former.set(i, value.former[i]);
  to.setFormerIncomplete(value.former_incomplete);
  if (!(value.objectives == route_objectives{}))
    write_objectives(to.initObjectives(), value.objectives);
}

template <class Reader, class Value>
void read_handling(Reader from, Value& value)
{
  value.timeout_ms = from.getTimeoutMillis();
  for (const auto target : from.getTargets())
    value.targets.push_back(
        {copy_text(target.getService()), target.getWeight()});
  for (const auto name : from.getFormer())
    value.former.push_back(copy_text(name));
  value.former_incomplete = from.getFormerIncomplete();
  value.objectives = read_objectives(from.getObjectives());
}

void write_addresses(capnp::List<schema::Endpoint>::Builder to,
                     const std::vector<endpoint>& values)
{
  for (unsigned i = 0; i < to.size(); ++i)
    write(to[i], values[i]);
}

std::vector<endpoint> read_addresses(capnp::List<schema::Endpoint>::Reader from)
{
  std::vector<endpoint> values;
  values.reserve(from.size());
  for (const auto item : from)
    values.push_back(read(item));
  return values;
}

void write_route(schema::Route::Builder to, const route& value)
{
  to.setName(value.name);
  write(to.initAddress(), value.address);
  write_handling(to, value);
}

void write_group(schema::RouteGroup::Builder to, const route_group& value)
{
  write_handling(to, value);
  const auto& addresses = value.addresses;
  write_addresses(to.initAddresses(static_cast<unsigned>(addresses.size())),
                  addresses);
}

route_group read_group(schema::RouteGroup::Reader from)
{
  route_group value;
  read_handling(from, value);
  value.addresses = read_addresses(from.getAddresses());
  return value;
}

route read_route(schema::Route::Reader from)
{
  route value;
  value.name = copy_text(from.getName());
  value.address = read(from.getAddress());
  read_handling(from, value);
  return value;
}

} // namespace

void write(schema::Configuration::Builder to, const configuration& value)
{
  to.setVersion(value.version);
  to.setIdleTimeoutMillis(value.idle_timeout_ms);
  to.setDocument(detail::data_reader(value.document));
  auto routes = to.initRoutes(static_cast<unsigned>(value.routes.size()));
  for (unsigned i = 0; i < routes.size(); ++i)
    write_route(routes[i], value.routes[i]);
  auto services = to.initServices(static_cast<unsigned>(value.services.size()));
  for (unsigned i = 0; i < services.size(); ++i)
    services.set(i, value.services[i]);
  auto warm_up = to.initWarmUp(static_cast<unsigned>(value.warm_up.size()));
  for (unsigned i = 0; i < warm_up.size(); ++i)
  {
    warm_up[i].setService(value.warm_up[i].service);
    warm_up[i].setRate(value.warm_up[i].rate);
  }
}

configuration read(schema::Configuration::Reader from)
{
  configuration value;
  value.version = from.getVersion();
  value.idle_timeout_ms = from.getIdleTimeoutMillis();
  value.document = detail::copy_data(from.getDocument());
  for (const auto item : from.getRoutes())
    value.routes.push_back(read_route(item));
  for (const auto name : from.getServices())
    value.services.push_back(copy_text(name));
  for (const auto item : from.getWarmUp())
    value.warm_up.push_back({copy_text(item.getService()), item.getRate()});
  return value;
}

void write(schema::RouteChanges::Builder to, const route_changes& value)
{
  to.setVersion(value.version);
  to.setWhole(value.whole);
  auto changed = to.initChanged(static_cast<unsigned>(value.changed.size()));
  for (unsigned i = 0; i < changed.size(); ++i)
    write_group(changed[i], value.changed[i]);
  const auto& removed = value.removed;
  write_addresses(to.initRemoved(static_cast<unsigned>(removed.size())),
                  removed);
}

route_changes read(schema::RouteChanges::Reader from)
{
  route_changes value;
  value.version = from.getVersion();
  value.whole = from.getWhole();
  for (const auto item : from.getChanged())
    value.changed.push_back(read_group(item));
  value.removed = read_addresses(from.getRemoved());
  return value;
}

} // namespace toucanmill::wire
