#include <toucanmill/cluster/wire.hpp>

#include <algorithm>

#include "text.hpp"

namespace toucanmill::wire
{

using detail::copy_text;

namespace
{

struct change_writer
{
  schema::Change::Builder to;

  void operator()(const create_service& value)
  {
    auto create = to.initCreateService();
    create.setName(value.name);
    write(create.initAddress(), value.address);
    create.setKind(to_schema(value.kind));
    create.setBuckets(value.buckets);
  }
  void operator()(const change_service& value)
  {
    auto change = to.initChangeService();
    change.setName(value.name);
    write(change.initAddress(), value.address);
  }
  void operator()(const delete_service& value)
  {
    to.setDeleteService(value.name);
  }
  void operator()(const drain_node& value)
  {
    to.setDrainNode(value.node);
  }
  void operator()(const restore_node& value)
  {
    to.setRestoreNode(value.node);
  }
  void operator()(const retire_node& value)
  {
    to.setRetireNode(value.node);
  }
  void operator()(const evacuate_data_centre& value)
  {
    to.setEvacuateDataCentre(value.data_centre);
  }
  void operator()(const restore_data_centre& value)
  {
    to.setRestoreDataCentre(value.data_centre);
  }
};

result<operator_change> read_change(schema::Change::Reader from)
{
  switch (from.which())
  {
  case schema::Change::CREATE_SERVICE:
  {
    const auto create = from.getCreateService();
    BOOST_OUTCOME_TRY(kind, read(create.getKind()));
    return operator_change{create_service{copy_text(create.getName()),
                                          read(create.getAddress()), kind,
                                          create.getBuckets()}};
  }
  case schema::Change::CHANGE_SERVICE:
  {
    const auto change = from.getChangeService();
    return operator_change{
        change_service{copy_text(change.getName()), read(change.getAddress())}};
  }
  case schema::Change::DELETE_SERVICE:
    return operator_change{delete_service{copy_text(from.getDeleteService())}};
  case schema::Change::DRAIN_NODE:
    return operator_change{drain_node{copy_text(from.getDrainNode())}};
  case schema::Change::RESTORE_NODE:
    return operator_change{restore_node{copy_text(from.getRestoreNode())}};
  case schema::Change::RETIRE_NODE:
    return operator_change{retire_node{copy_text(from.getRetireNode())}};
  case schema::Change::EVACUATE_DATA_CENTRE:
    return operator_change{
        evacuate_data_centre{copy_text(from.getEvacuateDataCentre())}};
  case schema::Change::RESTORE_DATA_CENTRE:
    return operator_change{
        restore_data_centre{copy_text(from.getRestoreDataCentre())}};
  }
  return error{error_code::corrupt_data, "unknown operator change type"};
}

} // namespace

void write(schema::Change::Builder to, const operator_request& value)
{
  to.setRequestId(value.request_id);
  to.setIfVersion(value.if_version);
  std::visit(change_writer{to}, value.change);
}

result<operator_request> read(schema::Change::Reader from)
{
  BOOST_OUTCOME_TRY(change, read_change(from));
  operator_request value;
  value.request_id = copy_text(from.getRequestId());
  value.if_version = from.getIfVersion();
  value.change = std::move(change);
  return value;
}

void write(schema::ChangeOutcome::Builder to, const change_outcome& value)
{
  to.setAccepted(value.accepted);
  to.setReason(to_schema(value.reason));
  to.setMessage(value.message);
  to.setVersion(value.version);
  to.setIndex(value.index);
}

result<change_outcome> read(schema::ChangeOutcome::Reader from)
{
  BOOST_OUTCOME_TRY(reason, read(from.getReason()));
  change_outcome value;
  value.accepted = from.getAccepted();
  value.reason = reason;
  value.message = copy_text(from.getMessage());
  value.version = from.getVersion();
  value.index = from.getIndex();
  return value;
}

void write(schema::Evacuation::Builder to, const evacuation& value)
{
  to.setDataCentre(value.data_centre);
  to.setIndex(value.index);
  to.setSince(value.since);
}

evacuation read(schema::Evacuation::Reader from)
{
  return {copy_text(from.getDataCentre()), from.getIndex(), from.getSince()};
}

void write(schema::Claim::Builder to, const claim_request& value)
{
  to.setService(value.key.service.value);
  to.setKey(value.key.key);
  to.setClaim(value.claim.value);
  to.setDigest(kj::arrayPtr(value.digest.data(), value.digest.size()));
}

result<claim_request> read(schema::Claim::Reader from)
{
  claim_request value;
  const auto key = from.getKey();
  value.key = {service_id{from.getService()}, {key.begin(), key.size()}};
  value.claim = claim_id{from.getClaim()};
  const auto digest = from.getDigest();
  if (digest.size() != value.digest.size())
    return error{error_code::corrupt_data, "claim digest has " +
                                               std::to_string(digest.size()) +
                                               " octets instead of 16"};
  std::copy(digest.begin(), digest.end(), value.digest.begin());
  return value;
}

} // namespace toucanmill::wire
