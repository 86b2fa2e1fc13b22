#include <toucanmill/table/routing_table.hpp>

#include "service_check.hpp"

namespace toucanmill
{

namespace
{

error duplicate_address_error(const service_table& first,
                              const service_table& second,
                              const endpoint& address)
{
  return {error_code::corrupt_data,
          "services " + to_string(first.id) + " and " + to_string(second.id) +
              " both have address " + to_string(address)};
}

/// Services of the update by id; null for removed ones.
result<service_index::changes> changes_by_id(const table_update& update)
{
  service_index::changes changed;
  for (const auto id : update.removed)
    changed[id.value] = nullptr;
  for (const auto& service : update.changed)
  {
    BOOST_OUTCOME_TRYV(detail::check_service(service));
    auto& entry = changed[service.id.value];
    if (entry != nullptr)
      return error{error_code::corrupt_data, "service " +
                                                 to_string(service.id) +
                                                 " occurs twice in one update"};
    entry = std::make_shared<const service_table>(service);
  }
  return changed;
}

} // namespace

result<service_index::changes>
routing_table::changes_by_address(const service_index::changes& by_id) const
{
  service_index::changes changed;
  // Remove all old addresses first: two services may swap addresses in one
  // update.
  for (const auto& [id, service] : by_id)
    if (const auto* old = by_id_.find(id))
      for (const auto& address : old->routed_addresses())
        changed[key_of(address)] = nullptr;
  for (const auto& [id, service] : by_id)
  {
    if (service == nullptr)
      continue;
    for (const auto& address : service->routed_addresses())
    {
      const auto key = key_of(address);
      const auto [entry, added] = changed.try_emplace(key, nullptr);
      const auto* other = added ? by_address_.find(key) : entry->second.get();
      if (other != nullptr)
        return duplicate_address_error(*other, *service, address);
      entry->second = service;
    }
  }
  return changed;
}

result<routing_table> routing_table::apply(const table_update& update) const
{
  if (update.version <= version_)
    return *this;
  routing_table base;
  if (!update.full)
    base = *this;
  BOOST_OUTCOME_TRY(by_id, changes_by_id(update));
  BOOST_OUTCOME_TRY(by_address, base.changes_by_address(by_id));
  routing_table next;
  next.version_ = update.version;
  next.by_id_ = base.by_id_.with(by_id);
  next.by_address_ = base.by_address_.with(by_address);
  return next;
}

} // namespace toucanmill
