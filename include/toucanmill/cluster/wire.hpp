#ifndef TOUCANMILL_CLUSTER_WIRE_HPP
#define TOUCANMILL_CLUSTER_WIRE_HPP

#include <cstdint>
#include <vector>

#include <toucanmill.capnp.h>

#include <toucanmill/base/outcome.hpp>
#include <toucanmill/cluster/command.hpp>
#include <toucanmill/cluster/membership_core.hpp>
#include <toucanmill/cluster/node.hpp>
#include <toucanmill/cluster/state_machine.hpp>
#include <toucanmill/log/types.hpp>
#include <toucanmill/table/service_table.hpp>

/// Conversions between C++ values and the structs of schema/toucanmill.capnp.
/// read() returns corrupt_data for values that are not valid in a message. A
/// Reader over a damaged message may also throw kj::Exception.
namespace toucanmill::wire
{

/// Bucket numbers have 16 bits.
inline constexpr std::uint32_t max_bucket_count = 65536;

schema::ServiceKind to_schema(service_kind value);
schema::NodeRole to_schema(node_role value);
schema::NodeState to_schema(node_state value);
schema::NodeOrder to_schema(node_order value);
schema::Reason to_schema(error_code value);
schema::ClaimVerdict to_schema(claim_verdict value);

result<service_kind> read(schema::ServiceKind value);
result<node_role> read(schema::NodeRole value);
result<node_state> read(schema::NodeState value);
result<node_order> read(schema::NodeOrder value);
result<error_code> read(schema::Reason value);
result<claim_verdict> read(schema::ClaimVerdict value);

void write(schema::Version::Builder to, const table_version& value);
void write(schema::Endpoint::Builder to, const endpoint& value);
void write(schema::ServiceTable::Builder to, const service_table& value);
void write(schema::Configuration::Builder to, const configuration& value);
void write(schema::RouteChanges::Builder to, const route_changes& value);
void write(schema::Evacuation::Builder to, const evacuation& value);
void write(schema::TableUpdate::Builder to, const table_update& value);
void write(schema::NodeIdentity::Builder to, const node_identity& value);
void write(schema::NodeReport::Builder to, const node_report& value);
void write(schema::ReplicaStatus::Builder to, const replica_address& value);
void write(schema::NodeStatus::Builder to, const node_record& record,
           const node_liveness& live);

/// Formats in a NodeReport, NodeStatus or ReplicaStatus. Builds that read the
/// first format alone state nothing, as earlier ones do.
template <class Builder>
void write_formats(Builder to, const format_support& value)
{
  if (value == format_support{})
    return;
  to.setOldestFormat(value.oldest);
  to.setNewestFormat(value.newest);
  to.setBuild(value.build);
}
template <class Reader>
format_support read_formats(Reader from)
{
  return stated_support(from.getOldestFormat(), from.getNewestFormat(),
                        from.getBuild());
}

table_version read(schema::Version::Reader from);
endpoint read(schema::Endpoint::Reader from);
replica_address read(schema::ReplicaStatus::Reader from);
result<service_table> read(schema::ServiceTable::Reader from);
configuration read(schema::Configuration::Reader from);
route_changes read(schema::RouteChanges::Reader from);
evacuation read(schema::Evacuation::Reader from);
result<table_update> read(schema::TableUpdate::Reader from);
result<node_identity> read(schema::NodeIdentity::Reader from);
result<node_report> read(schema::NodeReport::Reader from);

/// Omits wall_clock, which only the leader sets.
void write(schema::Change::Builder to, const operator_request& value);
result<operator_request> read(schema::Change::Reader from);

void write(schema::ChangeOutcome::Builder to, const change_outcome& value);
result<change_outcome> read(schema::ChangeOutcome::Reader from);

/// Omits wall_clock, which only the leader sets.
void write(schema::Claim::Builder to, const claim_request& value);
result<claim_request> read(schema::Claim::Reader from);

/// Encodes the chains field of a ServiceTable: for each bucket, the chain
/// length as one octet, then that many holder indexes (16 bits, little-endian).
std::vector<std::uint8_t> pack_chains(const std::vector<chain>& buckets);

/// Decodes the chains field of a ServiceTable. Errors: corrupt_data when the
/// data does not hold exactly bucket_count chains, a chain is too long, or a
/// holder index repeats or is out of range.
result<std::vector<chain>> unpack_chains(const std::uint8_t* data,
                                         std::size_t size,
                                         std::size_t bucket_count,
                                         std::size_t holder_count);

} // namespace toucanmill::wire

#endif
