#ifndef TOUCANMILL_TABLE_SERVICE_TABLE_HPP
#define TOUCANMILL_TABLE_SERVICE_TABLE_HPP

#include <algorithm>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include <toucanmill/base/address.hpp>
#include <toucanmill/base/ids.hpp>
#include <toucanmill/table/chain.hpp>
#include <toucanmill/table/configuration.hpp>

namespace toucanmill
{

enum class service_kind : std::uint8_t
{
  stream, ///< bytes are relayed unread
  http,   ///< requests are read, admitted and claimed
  relay,  ///< packets are passed on; flows end at the upstream
};

/// An agent that owns or held buckets of a service.
struct holder
{
  node_id node;
  endpoint agent;       ///< UDP endpoint for encapsulated packets
  bool suspect = false; ///< lease expired; SYN probes skip it

  bool operator==(const holder& other) const
  {
    return node == other.node && agent == other.agent &&
           suspect == other.suspect;
  }
};

/// The buckets of one service at one version of the table.
struct service_table
{
  service_id id;
  std::string name;
  endpoint address; ///< public address and port; port 0: declared routes only

  /// Addresses before a change, oldest first: packets of established flows are
  /// still routed, new flows are not accepted.
  std::vector<endpoint> former_addresses;

  service_kind kind = service_kind::stream;
  table_version version; ///< log entry that last changed this service
  std::vector<holder> holders;
  std::vector<chain> buckets; ///< power of two; empty chain: no upstream

  bool operator==(const service_table& other) const
  {
    return std::tie(id, name, address, former_addresses, kind, version, holders,
                    buckets) ==
           std::tie(other.id, other.name, other.address, other.former_addresses,
                    other.kind, other.version, other.holders, other.buckets);
  }

  bool routes(const endpoint& destination) const
  {
    return destination == address ||
           std::find(former_addresses.begin(), former_addresses.end(),
                     destination) != former_addresses.end();
  }

  /// The present address, then the former ones. None for a service that only
  /// declared routes lead to.
  std::vector<endpoint> routed_addresses() const
  {
    std::vector<endpoint> all;
    if (address.port != 0)
      all.push_back(address);
    all.insert(all.end(), former_addresses.begin(), former_addresses.end());
    return all;
  }
};

/// Former addresses of one service at most.
inline constexpr std::size_t max_former_addresses = 8;

/// Changes from one version of the routing table to a later one.
struct table_update
{
  table_version version; ///< version after the update
  bool full = false;     ///< replaces the table rather than amending it
  std::vector<service_table> changed;
  std::vector<service_id> removed;

  /// The declared configuration, if it changed; without its document.
  std::optional<configuration> declared;

  bool operator==(const table_update& other) const
  {
    return version == other.version && full == other.full &&
           changed == other.changed && removed == other.removed &&
           declared == other.declared;
  }
};

} // namespace toucanmill

#endif
