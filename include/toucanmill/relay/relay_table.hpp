#ifndef TOUCANMILL_RELAY_RELAY_TABLE_HPP
#define TOUCANMILL_RELAY_RELAY_TABLE_HPP

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <toucanmill/relay/agent_monitor.hpp>
#include <toucanmill/relay/relay_message.hpp>
#include <toucanmill/table/configuration.hpp>
#include <toucanmill/table/service_table.hpp>

namespace toucanmill
{

/// A service with the precomputed data for choosing the order of visits.
struct relay_service
{
  service_table table;
  service_key key = 0;
  /// Indices of the holders that own a bucket and are not suspect, ascending.
  std::vector<std::uint16_t> owners;
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

  /// Returns a copy of this table if the update is not newer, or if its base is
  /// newer than this table. A configuration that is not newer than the current
  /// one is ignored.
  relay_table apply(const table_update& update) const;

private:
  using service_ptr = std::shared_ptr<const relay_service>;
  using route_ptr = std::shared_ptr<const route>;
  using route_map = std::unordered_map<std::uint64_t, route_ptr>;

  void replace_routes(const configuration& declared);
  void change_routes(const route_changes& changes);
  void replace_services(const table_update& update);

  table_version version_;
  std::uint64_t configuration_ = 0;
  std::shared_ptr<const route_map> routes_ =
      std::make_shared<const route_map>();
  std::unordered_map<std::string, service_ptr> services_;
};

/// At most `limit` agents in the order in which an opening packet visits them:
/// the owner of the bucket, then the other owners by rendezvous hashing.
visit_stops opening_stops(const relay_service& service, std::uint64_t hash,
                          std::size_t limit);

/// Whether a holder is expected to deliver a packet.
enum class holder_health : std::uint8_t
{
  live,
  unresponsive, ///< its agent does not answer this balancer
  suspect,      ///< its lease expired
};

/// Holders of this health in the order in which a packet of an established flow
/// visits them: the chain of the bucket, then the others by rendezvous hashing.
std::vector<endpoint> search_order(const relay_service& service,
                                   std::uint64_t hash, holder_health health,
                                   const agent_set& unresponsive = {});

/// The services that may take a new flow of the route: the one that the weights
/// select, then, for a flow that it refuses, the others with a weight above 0.
/// Services without owners are left out.
std::vector<const relay_service*> opening_services(const relay_table& table,
                                                   const route& from,
                                                   std::uint64_t hash);

/// All services that may hold a flow of the route, the most likely first.
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
                                        const agent_set& denied = {});

} // namespace toucanmill

#endif
