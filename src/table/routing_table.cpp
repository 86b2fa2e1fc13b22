#include <toucanmill/table/routing_table.hpp>

#include "service_check.hpp"

namespace toucanmill
{

namespace
{

std::uint64_t key_of(const endpoint& address)
{
  return static_cast<std::uint64_t>(address.address.value) << 16 | address.port;
}

} // namespace

const service_table* routing_table::find(const endpoint& address) const
{
  const auto found = by_address_.find(key_of(address));
  return found == by_address_.end() ? nullptr : found->second.get();
}

const service_table* routing_table::find(service_id id) const
{
  const auto found = by_id_.find(id);
  return found == by_id_.end() ? nullptr : found->second.get();
}

void routing_table::erase(service_id id)
{
  const auto found = by_id_.find(id);
  if (found == by_id_.end())
    return;
  by_address_.erase(key_of(found->second->address));
  by_id_.erase(found);
}

result<void> routing_table::insert(const service_table& service)
{
  BOOST_OUTCOME_TRYV(detail::check_service(service));
  if (const auto* other = find(service.address))
    return error{error_code::corrupt_data, "services " + to_string(other->id) +
                                               " and " + to_string(service.id) +
                                               " both have address " +
                                               to_string(service.address)};
  const auto shared = std::make_shared<const service_table>(service);
  if (!by_id_.emplace(service.id, shared).second)
    return error{error_code::corrupt_data, "service " + to_string(service.id) +
                                               " occurs twice in one update"};
  by_address_.emplace(key_of(service.address), shared);
  return outcome::success();
}

result<routing_table> routing_table::apply(const table_update& update) const
{
  if (update.version <= version_)
    return *this;
  routing_table next;
  if (!update.full)
    next = *this;
  next.version_ = update.version;
  // All old addresses go first: two services may exchange theirs in one update.
  for (const auto id : update.removed)
    next.erase(id);
  for (const auto& service : update.changed)
    next.erase(service.id);
  for (const auto& service : update.changed)
  {
    BOOST_OUTCOME_TRYV(next.insert(service));
  }
  return next;
}

} // namespace toucanmill
