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

bool contains(const std::vector<data_centre_key>& sorted, data_centre_key key)
{
  return std::binary_search(sorted.begin(), sorted.end(), key);
}

/// The first group at or after the data centre.
template <class Groups>
auto group_at(Groups& groups, data_centre_key key)
{
  return std::lower_bound(
      groups.begin(), groups.end(), key,
      [](const data_centre_owners& group, data_centre_key wanted)
      {
        return group.data_centre < wanted;
      });
}

void add_open(std::vector<data_centre_owners>& open, data_centre_key key,
              std::uint16_t index)
{
  auto group = group_at(open, key);
  if (group == open.end() || group->data_centre != key)
    group = open.insert(group, {key, {}});
  group->holders.push_back(index);
}

service_owners owners_of(const service_table& table,
                         const std::vector<data_centre_key>& evacuated)
{
  std::vector<bool> owns(table.holders.size());
  for (const auto& bucket : table.buckets)
    if (bucket.size > 0)
      owns[bucket.holders[0]] = true;
  service_owners owners;
  for (std::size_t i = 0; i < owns.size(); ++i)
  {
    const auto& owner = table.holders[i];
    if (!owns[i])
      continue;
    const bool is_evacuated = contains(evacuated, owner.data_centre);
    ++owners.total;
    owners.evacuated += is_evacuated ? 1 : 0;
    if (!owner.suspect && !is_evacuated)
      add_open(owners.open, owner.data_centre, static_cast<std::uint16_t>(i));
  }
  return owners;
}

/// The first `limit` candidates by their rendezvous score for this flow,
/// highest first.
std::vector<std::uint16_t> by_score(const service_table& table,
                                    std::vector<std::uint16_t> candidates,
                                    std::uint64_t hash, std::size_t limit)
{
  std::vector<std::pair<std::uint64_t, std::uint16_t>> scored;
  scored.reserve(candidates.size());
  for (const auto index : candidates)
    scored.emplace_back(mix(hash ^ mix(table.holders[index].node.value)),
                        index);
  candidates.resize(std::min(limit, candidates.size()));
  const auto middle =
      scored.begin() + static_cast<std::ptrdiff_t>(candidates.size());
  std::partial_sort(scored.begin(), middle, scored.end(), std::greater<>());
  std::transform(scored.begin(), middle, candidates.begin(),
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

/// The open owners in the preferred data centre, and the others.
struct owners_by_distance
{
  std::vector<std::uint16_t> near;
  std::vector<std::uint16_t> far;
};

owners_by_distance by_distance(const service_owners& owners,
                               const placement_policy& placement)
{
  owners_by_distance out;
  for (const auto& [data_centre, holders] : owners.open)
  {
    auto& to = placement.prefers(data_centre) ? out.near : out.far;
    to.insert(to.end(), holders.begin(), holders.end());
  }
  return out;
}

/// The owner of the flow's bucket; null if it takes no new flows.
const holder* open_bucket_owner(const relay_service& service,
                                std::uint64_t hash)
{
  const auto& bucket = chain_of(service.table, hash);
  if (bucket.size == 0)
    return nullptr;
  const auto& owner = service.table.holders[bucket.holders[0]];
  const auto& open = service.owners.open;
  const auto group = group_at(open, owner.data_centre);
  const bool takes_flows = !owner.suspect && group != open.end() &&
                           group->data_centre == owner.data_centre;
  return takes_flows ? &owner : nullptr;
}

void add_by_score(visit_stops& to, const service_table& table,
                  std::vector<std::uint16_t> candidates, std::uint64_t hash,
                  std::size_t limit)
{
  for (const auto index : by_score(table, std::move(candidates), hash, limit))
    if (to.size < limit)
      to.add(table.holders[index].agent);
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

std::vector<const relay_service*> relay_table::services() const
{
  std::vector<const relay_service*> found;
  found.reserve(services_.size());
  for (const auto& [name, service] : services_)
    found.push_back(service.get());
  std::sort(found.begin(), found.end(),
            [](const relay_service* left, const relay_service* right)
            {
              return left->table.id < right->table.id;
            });
  return found;
}

void relay_table::replace_routes(const configuration& declared,
                                 bool former_marked)
{
  auto next = std::make_shared<route_map>();
  for (const auto& item : declared.routes)
  {
    auto copy = std::make_shared<route>(item);
    copy->former_incomplete |= !former_marked;
    next->emplace(key_of(item.address), std::move(copy));
  }
  routes_ = std::move(next);
  configuration_ = declared.version;
}

void relay_table::change_routes(const route_changes& changes,
                                bool former_marked)
{
  auto next = changes.whole ? std::make_shared<route_map>()
                            : std::make_shared<route_map>(*routes_);
  for (const auto& address : changes.removed)
    next->erase(key_of(address));
  for (const auto& group : changes.changed)
    for (const auto& address : group.addresses)
      (*next)[key_of(address)] = std::make_shared<const route>(
          route{{},
                address,
                group.targets,
                group.timeout_ms,
                group.former,
                group.objectives,
                group.former_incomplete || !former_marked});
  routes_ = std::move(next);
  configuration_ = changes.version;
}

void relay_table::replace_services(const table_update& update)
{
  for (const auto id : update.removed)
    for (auto it = services_.begin(); it != services_.end();)
      it = it->second->table.id == id ? services_.erase(it) : std::next(it);
  for (const auto& table : update.changed)
    services_[table.name] = std::make_shared<const relay_service>(relay_service{
        table, key_of_service(table.name), owners_of(table, evacuated_)});
}

/// Copies only services of which upstreams were evacuated or restored.
void relay_table::replace_evacuated(const table_update& update)
{
  if (!update.full && !update.evacuated)
    return;
  evacuated_ = update.evacuated.value_or(std::vector<data_centre_key>{});
  std::sort(evacuated_.begin(), evacuated_.end());
  for (auto& [name, service] : services_)
    if (auto owners = owners_of(service->table, evacuated_);
        !(owners == service->owners))
      service = std::make_shared<const relay_service>(
          relay_service{service->table, service->key, std::move(owners)});
}

relay_table relay_table::apply(const table_update& update) const
{
  if (update.version <= version_ || version_ < update.base)
    return *this;
  auto next = *this;
  next.version_ = update.version;
  if (update.full)
    next.services_.clear();
  next.replace_evacuated(update);
  next.replace_services(update);
  if (update.declared && update.declared->version > configuration_)
    next.replace_routes(*update.declared, update.former_marked);
  if (update.routes && update.routes->version > configuration_)
    next.change_routes(*update.routes, update.former_marked);
  return next;
}

placed_stops opening_stops(const relay_service& service, std::uint64_t hash,
                           std::size_t limit, const placement_policy& placement)
{
  placed_stops out;
  const auto& table = service.table;
  auto owners = by_distance(service.owners, placement);
  if (placement.mode == placement_mode::hash)
    if (const auto* owner = open_bucket_owner(service, hash))
      out.stops.add(owner->agent);
  add_by_score(out.stops, table, std::move(owners.near), hash,
               std::min(limit, max_near_stops));
  if (placement.mode == placement_mode::near)
    out.near_stops = out.stops.size;
  add_by_score(out.stops, table, std::move(owners.far), hash, limit);
  return out;
}

std::vector<endpoint> search_order(const relay_service& service,
                                   std::uint64_t hash, holder_health health,
                                   const agent_set& unresponsive,
                                   const placement_policy& placement)
{
  const auto& table = service.table;
  const auto& bucket_chain = chain_of(table, hash);
  std::vector<std::uint16_t> near;
  std::vector<std::uint16_t> chained;
  std::vector<std::uint16_t> others;
  const auto is_wanted = [&](std::uint16_t index)
  {
    return health_of(table.holders[index], unresponsive) == health;
  };
  const auto is_near = [&](std::uint16_t index)
  {
    return placement.prefers(table.holders[index].data_centre);
  };
  for (const auto index : bucket_chain)
    if (is_wanted(index) && !is_near(index))
      chained.push_back(index);
  for (std::size_t i = 0; i < table.holders.size(); ++i)
    if (const auto index = static_cast<std::uint16_t>(i); !is_wanted(index))
      continue;
    else if (is_near(index))
      near.push_back(index);
    else if (std::find(bucket_chain.begin(), bucket_chain.end(), index) ==
             bucket_chain.end())
      others.push_back(index);
  std::vector<endpoint> order;
  const auto add = [&](const std::vector<std::uint16_t>& indices)
  {
    for (const auto index : indices)
      order.push_back(table.holders[index].agent);
  };
  const auto all = table.holders.size();
  add(by_score(table, std::move(near), hash, all));
  add(chained);
  add(by_score(table, std::move(others), hash, all));
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
    if (service != nullptr && !service->owners.open.empty() &&
        std::find(found.begin(), found.end(), service) == found.end())
      found.push_back(service);
  };
  if (!from.targets.empty())
    add(from.targets[choose_target(from.targets, hash)]);
  for (const auto& target : from.targets)
    add(target);
  return found;
}

bool is_evacuated(const relay_table& table, const route& from)
{
  std::size_t total = 0;
  std::size_t evacuated = 0;
  for (const auto& target : from.targets)
    if (const auto* service = table.find_service(target.service);
        service != nullptr && target.weight > 0)
    {
      total += service->owners.total;
      evacuated += service->owners.evacuated;
    }
  return total > 0 && total == evacuated;
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
  if (from.former_incomplete)
    for (const auto* service : table.services())
      if (service->table.kind == service_kind::relay)
        add(service);
  return found;
}

std::vector<search_stage> search_stages(const relay_table& table,
                                        const route& from, std::uint64_t hash,
                                        const agent_set& unresponsive,
                                        const placement_policy& placement,
                                        const agent_set& denied)
{
  std::vector<search_stage> stages;
  const auto services = possible_services(table, from, hash);
  const auto add =
      [&](const relay_service& service, holder_health health, bool wants_denied)
  {
    if (stages.size() == max_search_stages)
      return;
    std::size_t added = 0;
    for (const auto& agent :
         search_order(service, hash, health, unresponsive, placement))
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
  {
    if (wants_denied && denied.empty())
      break;
    for (const auto health : {holder_health::live, holder_health::unresponsive,
                              holder_health::suspect})
      for (const auto* service : services)
        add(*service, health, wants_denied);
  }
  return stages;
}

} // namespace toucanmill
