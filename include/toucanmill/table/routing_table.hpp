#ifndef TOUCANMILL_TABLE_ROUTING_TABLE_HPP
#define TOUCANMILL_TABLE_ROUTING_TABLE_HPP

#include <memory>
#include <unordered_map>
#include <vector>

#include <toucanmill/base/outcome.hpp>
#include <toucanmill/table/service_table.hpp>

namespace toucanmill
{

/// Immutable table of all services. apply() returns a new table that shares
/// the unchanged services with the old one.
class routing_table
{
public:
  /// The empty table at version 0.0.
  routing_table() = default;

  table_version version() const
  {
    return version_;
  }

  /// Null when no service has this public address and port.
  const service_table* find(const endpoint& address) const;

  /// Null when the service does not exist.
  const service_table* find(service_id id) const;

  std::size_t size() const
  {
    return by_id_.size();
  }

  /// The table after the update. An update that is not newer returns this table
  /// unchanged. Errors: corrupt_data when a service has a bucket count that is
  /// not a power of two up to 65,536, a chain that is too long, an index
  /// outside its holders, or an address that another service has, and when a
  /// service occurs twice.
  result<routing_table> apply(const table_update& update) const;

private:
  using service_ptr = std::shared_ptr<const service_table>;

  void erase(service_id id);
  result<void> insert(const service_table& service);

  table_version version_;
  std::unordered_map<service_id, service_ptr> by_id_;
  std::unordered_map<std::uint64_t, service_ptr> by_address_;
};

} // namespace toucanmill

#endif
