#ifndef TOUCANMILL_CLUSTER_NODE_HPP
#define TOUCANMILL_CLUSTER_NODE_HPP

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include <toucanmill/base/address.hpp>
#include <toucanmill/base/format_version.hpp>
#include <toucanmill/base/ids.hpp>

namespace toucanmill
{

enum class node_role : std::uint8_t
{
  balancer,
  agent,
};

enum class node_state : std::uint8_t
{
  active,
  draining, ///< drained by an operator, or announced that it is leaving
  suspect,  ///< lease expired
  gone,     ///< left or lost; holds nothing, only its record is kept
};

/// Identity and capacity that a node reports; constant for one incarnation.
struct node_identity
{
  node_id id;
  incarnation life;
  node_role role = node_role::balancer;
  std::string name;
  std::string data_centre;
  endpoint data;           ///< UDP endpoint for packets
  std::string service;     ///< agents only: name of the upstream's service
  std::uint32_t slots = 0; ///< requests that the upstream runs at once
  std::uint32_t connections = 0; ///< flow capacity; 0: unknown

  bool operator==(const node_identity& other) const
  {
    return std::tie(id, life, role, name, data_centre, data, service, slots,
                    connections) == std::tie(other.id, other.life, other.role,
                                             other.name, other.data_centre,
                                             other.data, other.service,
                                             other.slots, other.connections);
  }
};

/// Periodic report of a node to the leader.
struct node_report
{
  node_identity identity;
  table_version applied; ///< version of the table that the node uses
  bool fresh = false;    ///< has no table yet; needs one confirmed by a quorum
  bool leaving = false;  ///< shutting down (SIGTERM); takes no new work
  bool empty = false;    ///< leaving and has no flows left; may be removed
  bool observes = false; ///< only receives the table; not registered as a node
  std::uint32_t flows = 0; ///< open flows
  std::uint32_t busy_slots = 0;
  std::vector<std::uint16_t> held_buckets; ///< agents only; ascending
  /// False for earlier builds, which read only table_update::declared.
  bool applies_route_changes = false;
  format_support formats; ///< of the node's build

  bool operator==(const node_report& other) const
  {
    return std::tie(identity, applied, fresh, leaving, empty, observes, flows,
                    busy_slots, held_buckets, applies_route_changes, formats) ==
           std::tie(other.identity, other.applied, other.fresh, other.leaving,
                    other.empty, other.observes, other.flows, other.busy_slots,
                    other.held_buckets, other.applies_route_changes,
                    other.formats);
  }
};

/// Operator's instruction to a node, sent in the reply to its report.
enum class node_order : std::uint8_t
{
  none,
  drain,  ///< agent: take no new work, finish the work in progress
  retire, ///< balancer: withdraw from the fabric, then exit
};

} // namespace toucanmill

#endif
