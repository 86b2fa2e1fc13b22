#include <toucanmill/cluster/wire.hpp>

#include "message.hpp"
#include "text.hpp"

namespace toucanmill::wire
{

using detail::copy_text;

namespace
{

void write_route(schema::Route::Builder to, const route& value)
{
  to.setName(value.name);
  write(to.initAddress(), value.address);
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
}

route read_route(schema::Route::Reader from)
{
  route value;
  value.name = copy_text(from.getName());
  value.address = read(from.getAddress());
  value.timeout_ms = from.getTimeoutMillis();
  for (const auto target : from.getTargets())
    value.targets.push_back(
        {copy_text(target.getService()), target.getWeight()});
  for (const auto name : from.getFormer())
    value.former.push_back(copy_text(name));
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
  return value;
}

} // namespace toucanmill::wire
