#ifndef TOUCANMILL_TABLE_ROUTING_TABLE_HPP
#define TOUCANMILL_TABLE_ROUTING_TABLE_HPP

#include <toucanmill/base/outcome.hpp>
#include <toucanmill/table/service_index.hpp>

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

  /// Null when no service has this public address and port, or had it before
  /// a change of its address.
  const service_table* find(const endpoint& address) const
  {
    return by_address_.find(key_of(address));
  }

  /// Null when the service does not exist.
  const service_table* find(service_id id) const
  {
    return by_id_.find(id.value);
  }

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
  static std::uint64_t key_of(const endpoint& address)
  {
    return static_cast<std::uint64_t>(address.address.value) << 16 |
           address.port;
  }

  result<service_index::changes>
  changes_by_address(const service_index::changes& by_id) const;

  table_version version_;
  service_index by_id_;
  service_index by_address_;
};

} // namespace toucanmill

#endif
