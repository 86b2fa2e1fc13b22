#ifndef TOUCANMILL_RELAY_RELAY_TABLE_HPP
#define TOUCANMILL_RELAY_RELAY_TABLE_HPP

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <toucanmill/relay/agent_monitor.hpp>
#include <toucanmill/relay/placement.hpp>
#include <toucanmill/relay/relay_message.hpp>
#include <toucanmill/table/configuration.hpp>
#include <toucanmill/table/service_table.hpp>

namespace toucanmill
{

/// The upstreams of a service in one data centre that take new flows.
struct data_centre_owners
{
  data_centre_key data_centre = 0;
  std::vector<std::uint16_t> holders; ///< indices, ascending

  bool operator==(const data_centre_owners& other) const
  {
    return data_centre == other.data_centre && holders == other.holders;
  }
};

/// The owners of buckets. An upstream that drains owns none.
struct service_owners
{
  /// Those that are neither suspect nor evacuated, by data centre, ascending.
  std::vector<data_centre_owners> open;
  std::size_t total = 0;     ///< also suspect and evacuated ones
  std::size_t evacuated = 0; ///< in evacuated data centres

  bool operator==(const service_owners& other) const
  {
    return open == other.open && total == other.total &&
           evacuated == other.evacuated;
  }
};

/// A service with the precomputed data for choosing the order of visits.
struct relay_service
{
  service_table table;
  service_key key = 0;
  service_owners owners;
};

/// The routing table of a balancer: the declared routes and the holders
/// (agents) of each service. Immutable; apply() returns the next table.
class relay_table
{
public:
  table_version version() const
  {
    return version_;
  }

  /// Version of the declared configuration; 0 if there is none yet.
  std::uint64_t configuration_version() const
  {
    return configuration_;
  }

  /// Null when no route has this address and port.
  const route* find_route(const endpoint& address) const;

  /// Null when the service is not known.
  const relay_service* find_service(const std::string& name) const;

  /// By id, ascending.
  std::vector<const relay_service*> services() const;

  /// Ascending.
  const std::vector<data_centre_key>& evacuated() const
  {
    return evacuated_;
  }

  /// Returns a copy of this table if the update is not newer, or if its base is
  /// newer than this table. A configuration that is not newer than the current
  /// one is ignored.
  relay_table apply(const table_update& update) const;

private:
  using service_ptr = std::shared_ptr<const relay_service>;
  using route_ptr = std::shared_ptr<const route>;
  using route_map = std::unordered_map<std::uint64_t, route_ptr>;

  void replace_routes(const configuration& declared, bool former_marked);
  void change_routes(const route_changes& changes, bool former_marked);
  void replace_services(const table_update& update);
  void replace_evacuated(const table_update& update);

  table_version version_;
  std::uint64_t configuration_ = 0;
  std::shared_ptr<const route_map> routes_ =
      std::make_shared<const route_map>();
  std::unordered_map<std::string, service_ptr> services_;
  std::vector<data_centre_key> evacuated_;
};

/// At most `limit` agents in the order in which an opening packet visits them,
/// without those in evacuated data centres. With hash placement: the owner of
/// the bucket, then the other owners by rendezvous hashing. With near
/// placement: at most max_near_stops owners in the balancer's data centre, then
/// those in others, each by rendezvous hashing.
placed_stops opening_stops(const relay_service& service, std::uint64_t hash,
                           std::size_t limit,
                           const placement_policy& placement = {});

/// Whether a holder is expected to deliver a packet.
enum class holder_health : std::uint8_t
{
  live,
  unresponsive, ///< its agent does not answer this balancer
  suspect,      ///< its lease expired
};

/// Holders of this health in the order in which a packet of an established flow
/// visits them: with near placement those in the balancer's data centre by
/// rendezvous hashing, then the chain of the bucket, then the others by
/// rendezvous hashing. Includes those in evacuated data centres.
std::vector<endpoint> search_order(const relay_service& service,
                                   std::uint64_t hash, holder_health health,
                                   const agent_set& unresponsive = {},
                                   const placement_policy& placement = {});

/// The services that may take a new flow of the route: the one that the weights
/// select, then, for a flow that it refuses, the others with a weight above 0.
/// Services without owners that take new flows are left out.
std::vector<const relay_service*> opening_services(const relay_table& table,
                                                   const route& from,
                                                   std::uint64_t hash);

/// Whether the services with a weight above 0 have upstreams, all of them in
/// evacuated data centres.
bool is_evacuated(const relay_table& table, const route& from);

/// All services that may hold a flow of the route, the most likely first: every
/// relay service of the table if the route's list of former services is
/// incomplete. A flow is gone only once all their agents have denied it.
std::vector<const relay_service*> possible_services(const relay_table& table,
                                                    const route& from,
                                                    std::uint64_t hash);

/// One step of a search: the stops that one message visits.
struct search_stage
{
  const relay_service* service = nullptr;
  visit_stops stops;
  holder_health health = holder_health::live; ///< of all its stops
  /// Visited by the packet itself; the others are only asked for the flow.
  bool by_packet = false;
};

/// The stage number is one octet of the header.
inline constexpr std::size_t max_search_stages = 255;

/// The stages of a search for a flow of the route, in order: the live holders
/// of each possible service, then the unresponsive and the suspect ones, since
/// a packet is lost at a dead agent. Stages beyond max_search_stages are left
/// out. Agents that have denied the flow come last. The packet itself visits
/// the first stage, which nearly always finds the flow.
std::vector<search_stage> search_stages(const relay_table& table,
                                        const route& from, std::uint64_t hash,
                                        const agent_set& unresponsive = {},
                                        const placement_policy& placement = {},
                                        const agent_set& denied = {});

} // namespace toucanmill

#endif
