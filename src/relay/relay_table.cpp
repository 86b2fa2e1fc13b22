#include <toucanmill/relay/relay_table.hpp>

#include <algorithm>
#include <functional>
#include <utility>

#include <toucanmill/base/hash.hpp>
#include <toucanmill/table/flow_hash.hpp>

namespace toucanmill
{

namespace
{

std::vector<std::uint16_t> owners_of(const service_table& table)
{
  std::vector<bool> owns(table.holders.size());
  for (const auto& bucket : table.buckets)
    if (bucket.size > 0)
      owns[bucket.holders[0]] = true;
  std::vector<std::uint16_t> owners;
  for (std::size_t i = 0; i < owns.size(); ++i)
    if (owns[i] && !table.holders[i].suspect)
      owners.push_back(static_cast<std::uint16_t>(i));
  return owners;
}

/// Sorts the candidates by their rendezvous score for this flow, highest first.
std::vector<std::uint16_t> by_score(const service_table& table,
                                    std::vector<std::uint16_t> candidates,
                                    std::uint64_t hash)
{
  std::vector<std::pair<std::uint64_t, std::uint16_t>> scored;
  scored.reserve(candidates.size());
  for (const auto index : candidates)
    scored.emplace_back(mix(hash ^ mix(table.holders[index].node.value)),
                        index);
  std::sort(scored.begin(), scored.end(), std::greater<>());
  std::transform(scored.begin(), scored.end(), candidates.begin(),
                 [](const auto& item)
                 {
                   return item.second;
                 });
  return candidates;
}

const chain& chain_of(const service_table& table, std::uint64_t hash)
{
  return table.buckets[bucket_of(hash, table.buckets.size())];
}

/// Index of the target that the hash selects by weight.
std::size_t choose_target(const std::vector<route_target>& targets,
                          std::uint64_t hash)
{
  std::uint64_t total = 0;
  for (const auto& target : targets)
    total += target.weight;
  if (total == 0)
    return 0;
  // Rehashed because the lower bits already select the bucket.
  auto at = mix(hash) % total;
  for (std::size_t i = 0; i < targets.size(); ++i)
    if (at < targets[i].weight)
      return i;
    else
      at -= targets[i].weight;
  return 0;
}

holder_health health_of(const holder& value, const agent_set& unresponsive)
{
  if (value.suspect)
    return holder_health::suspect;
  return unresponsive.count(value.agent) != 0 ? holder_health::unresponsive
                                              : holder_health::live;
}

} // namespace

const route* relay_table::find_route(const endpoint& address) const
{
  const auto found = routes_->find(key_of(address));
  return found == routes_->end() ? nullptr : found->second.get();
}

const relay_service* relay_table::find_service(const std::string& name) const
{
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : found->second.get();
}

void relay_table::replace_routes(const configuration& declared)
{
  auto next = std::make_shared<route_map>();
  for (const auto& item : declared.routes)
    next->emplace(key_of(item.address), std::make_shared<const route>(item));
  routes_ = std::move(next);
  configuration_ = declared.version;
}

void relay_table::change_routes(const route_changes& changes)
{
  auto next = changes.whole ? std::make_shared<route_map>()
                            : std::make_shared<route_map>(*routes_);
  for (const auto& address : changes.removed)
    next->erase(key_of(address));
  for (const auto& group : changes.changed)
    for (const auto& address : group.addresses)
      (*next)[key_of(address)] = std::make_shared<const route>(
          route{{}, address, group.targets, group.timeout_ms, group.former});
  routes_ = std::move(next);
  configuration_ = changes.version;
}

void relay_table::replace_services(const table_update& update)
{
  if (update.full)
    services_.clear();
  for (const auto id : update.removed)
    for (auto it = services_.begin(); it != services_.end();)
      it = it->second->table.id == id ? services_.erase(it) : std::next(it);
  for (const auto& table : update.changed)
    services_[table.name] = std::make_shared<const relay_service>(
        relay_service{table, key_of_service(table.name), owners_of(table)});
}

relay_table relay_table::apply(const table_update& update) const
{
  if (update.version <= version_ || version_ < update.base)
    return *this;
  auto next = *this;
  next.version_ = update.version;
  next.replace_services(update);
  if (update.declared && update.declared->version > configuration_)
    next.replace_routes(*update.declared);
  if (update.routes && update.routes->version > configuration_)
    next.change_routes(*update.routes);
  return next;
}

visit_stops opening_stops(const relay_service& service, std::uint64_t hash,
                          std::size_t limit)
{
  visit_stops stops;
  const auto& table = service.table;
  if (const auto& bucket = chain_of(table, hash); bucket.size > 0)
    if (const auto& owner = table.holders[bucket.holders[0]]; !owner.suspect)
      stops.add(owner.agent);
  for (const auto index : by_score(table, service.owners, hash))
    if (stops.size < limit)
      stops.add(table.holders[index].agent);
  return stops;
}

std::vector<endpoint> search_order(const relay_service& service,
                                   std::uint64_t hash, holder_health health,
                                   const agent_set& unresponsive)
{
  std::vector<endpoint> order;
  const auto& table = service.table;
  const auto& first = chain_of(table, hash);
  for (const auto index : first)
    if (health_of(table.holders[index], unresponsive) == health)
      order.push_back(table.holders[index].agent);
  std::vector<std::uint16_t> others;
  for (std::size_t i = 0; i < table.holders.size(); ++i)
    if (const auto index = static_cast<std::uint16_t>(i);
        health_of(table.holders[i], unresponsive) == health &&
        std::find(first.begin(), first.end(), index) == first.end())
      others.push_back(index);
  for (const auto index : by_score(table, std::move(others), hash))
    order.push_back(table.holders[index].agent);
  return order;
}

std::vector<const relay_service*> opening_services(const relay_table& table,
                                                   const route& from,
                                                   std::uint64_t hash)
{
  std::vector<const relay_service*> found;
  const auto add = [&](const route_target& target)
  {
    const auto* service =
        target.weight > 0 ? table.find_service(target.service) : nullptr;
    if (service != nullptr && !service->owners.empty() &&
        std::find(found.begin(), found.end(), service) == found.end())
      found.push_back(service);
  };
  if (!from.targets.empty())
    add(from.targets[choose_target(from.targets, hash)]);
  for (const auto& target : from.targets)
    add(target);
  return found;
}

std::vector<const relay_service*> possible_services(const relay_table& table,
                                                    const route& from,
                                                    std::uint64_t hash)
{
  std::vector<const relay_service*> found;
  const auto add = [&](const relay_service* service)
  {
    if (service != nullptr &&
        std::find(found.begin(), found.end(), service) == found.end())
      found.push_back(service);
  };
  if (!from.targets.empty())
    add(table.find_service(
        from.targets[choose_target(from.targets, hash)].service));
  for (const auto& target : from.targets)
    add(table.find_service(target.service));
  for (const auto& name : from.former)
    add(table.find_service(name));
  return found;
}

std::vector<search_stage> search_stages(const relay_table& table,
                                        const route& from, std::uint64_t hash,
                                        const agent_set& unresponsive,
                                        const agent_set& denied)
{
  std::vector<search_stage> stages;
  const auto services = possible_services(table, from, hash);
  const auto add =
      [&](const relay_service& service, holder_health health, bool wants_denied)
  {
    std::size_t added = 0;
    for (const auto& agent : search_order(service, hash, health, unresponsive))
    {
      if ((denied.count(agent) != 0) != wants_denied)
        continue;
      if (added++ % visit_stops::capacity == 0)
      {
        if (stages.size() == max_search_stages)
          return;
        stages.push_back({&service, {}, health, stages.empty()});
      }
      stages.back().stops.add(agent);
    }
  };
  for (const bool wants_denied : {false, true})
    for (const auto health : {holder_health::live, holder_health::unresponsive,
                              holder_health::suspect})
      for (const auto* service : services)
        add(*service, health, wants_denied);
  return stages;
}

} // namespace toucanmill
