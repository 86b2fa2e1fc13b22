#ifndef TOUCANMILL_TABLE_ROUTING_TABLE_HPP
#define TOUCANMILL_TABLE_ROUTING_TABLE_HPP

#include <toucanmill/base/outcome.hpp>
#include <toucanmill/table/service_index.hpp>

namespace toucanmill
{

/// Immutable table of all services. apply() returns a new table, which shares
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

  /// Service that has this public address and port, or had it before its
  /// address was changed. Null when there is none.
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

  /// Returns the table after the update, or this table if the update is not
  /// newer. Errors: corrupt_data when a bucket count is not a power of two up
  /// to 65,536, a chain is too long, a holder index is out of range, two
  /// services have the same address, or a service occurs twice in the update.
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
