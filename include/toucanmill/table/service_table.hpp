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
#include <toucanmill/table/data_centre.hpp>

namespace toucanmill
{

enum class service_kind : std::uint8_t
{
  stream, ///< byte streams are proxied without parsing
  http,   ///< HTTP requests are parsed, admitted and claimed
  relay,  ///< packets are forwarded; upstreams terminate the flows
};

/// An agent that owns or previously owned buckets of a service.
struct holder
{
  node_id node;
  endpoint agent;       ///< UDP endpoint for encapsulated packets
  bool suspect = false; ///< lease expired; stamp_purpose::probe skips it
  data_centre_key data_centre = 0;

  bool operator==(const holder& other) const
  {
    return node == other.node && agent == other.agent &&
           suspect == other.suspect && data_centre == other.data_centre;
  }
};

/// Addresses, holders and buckets of one service at one version of the table.
struct service_table
{
  service_id id;
  std::string name;
  endpoint address; ///< public address; port 0: reached only by declared routes

  /// Previous public addresses, oldest first. Packets of established flows are
  /// still routed; new flows are not accepted.
  std::vector<endpoint> former_addresses;

  service_kind kind = service_kind::stream;
  table_version version; ///< log entry that last changed this service
  std::vector<holder> holders;
  std::vector<chain> buckets; ///< power-of-two count; empty chain: no upstream
  /// New flows in 1,000 s that a cold upstream bears; 0: no limit.
  std::uint32_t warm_up_rate = 0;

  bool operator==(const service_table& other) const
  {
    return std::tie(id, name, address, former_addresses, kind, version, holders,
                    buckets, warm_up_rate) ==
           std::tie(other.id, other.name, other.address, other.former_addresses,
                    other.kind, other.version, other.holders, other.buckets,
                    other.warm_up_rate);
  }

  /// True for the current and the former addresses.
  bool routes(const endpoint& destination) const
  {
    return destination == address ||
           std::find(former_addresses.begin(), former_addresses.end(),
                     destination) != former_addresses.end();
  }

  /// The current address, if there is one, then the former ones.
  std::vector<endpoint> routed_addresses() const
  {
    std::vector<endpoint> all;
    if (address.port != 0)
      all.push_back(address);
    all.insert(all.end(), former_addresses.begin(), former_addresses.end());
    return all;
  }
};

/// Maximum number of former addresses of one service.
inline constexpr std::size_t max_former_addresses = 8;

/// Changes from one version of the routing table to a later one.
struct table_update
{
  table_version version; ///< version after the update
  bool full = false;     ///< replaces the whole table instead of changing it
  std::vector<service_table> changed;
  std::vector<service_id> removed;

  /// The declared configuration without its document, if it changed and is not
  /// in `routes`.
  std::optional<configuration> declared{};

  /// The update holds all changes after this version. It must not be applied to
  /// an older table.
  table_version base{};

  std::optional<route_changes> routes{};

  /// All evacuated data centres, ascending; present in full updates and if the
  /// list changed after `base`.
  std::optional<std::vector<data_centre_key>> evacuated{};

  /// Lists of former services that are not complete are marked so. Builds that
  /// do not mark them may have dropped services from any list.
  bool former_marked = true;

  bool operator==(const table_update& other) const
  {
    return version == other.version && full == other.full &&
           changed == other.changed && removed == other.removed &&
           declared == other.declared && base == other.base &&
           routes == other.routes && evacuated == other.evacuated &&
           former_marked == other.former_marked;
  }
};

/// The warm-up rate that the update states for a service; none: it says nothing
/// about the service, which then has an unknown rate or keeps its present one.
std::optional<std::uint32_t> warm_up_rate_in(const table_update& update,
                                             const std::string& service);

} // namespace toucanmill

#endif
