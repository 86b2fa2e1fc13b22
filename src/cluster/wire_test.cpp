#include <toucanmill/cluster/wire.hpp>

#include <CppUTest/TestHarness.h>

#include <capnp/message.h>

using namespace toucanmill;

namespace
{

service_table sample_service()
{
  service_table value;
  value.id = service_id{7};
  value.name = "finder-charts";
  value.address = {ipv4_address{0xcb00710a}, 443};
  value.kind = service_kind::http;
  value.version = {3, 90};
  value.holders = {{node_id{1}, {ipv4_address{1}, 10}, false},
                   {node_id{2}, {ipv4_address{2}, 20}, true}};
  value.buckets = {chain{2, {1, 0}}, chain{1, {0}}, chain{}, chain{1, {1}}};
  return value;
}

schema::ServiceTable::Builder write_sample(capnp::MallocMessageBuilder& message)
{
  auto root = message.initRoot<schema::ServiceTable>();
  wire::write(root, sample_service());
  return root;
}

void check_corrupt(schema::ServiceTable::Builder root)
{
  const auto value = wire::read(root.asReader());
  CHECK_TRUE(value.has_error());
  CHECK_TRUE(value.error().code == error_code::corrupt_data);
}

} // namespace

TEST_GROUP(wire){};

// Guards against table fields that are lost between control and the nodes.
TEST(wire, table_update_round_trip)
{
  table_update update{
      {3, 91}, true, {sample_service()}, {service_id{4}, service_id{5}}, {}};
  configuration declared;
  declared.version = 12;
  declared.services = {"a", "b"};
  declared.idle_timeout_ms = 15000;
  declared.routes = {
      {"r", {ipv4_address{9}, 443}, {{"a", 90}, {"b", 10}}, 1000, {"c"}}};
  declared.routes[0].former_incomplete = true;
  update.declared = declared;
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<schema::TableUpdate>();
  wire::write(root, update);
  const auto read = wire::read(root.asReader());
  CHECK_TRUE(read.has_value());
  CHECK_TRUE(read.value() == update);
}

// Guards against changes of routes that are lost between control and the nodes.
TEST(wire, route_changes_round_trip)
{
  table_update update;
  update.version = {3, 91};
  update.base = {3, 80};
  update.routes = route_changes{
      12,
      true,
      {{{{"a", 90}, {"b", 10}}, {"c"}, 1000, {{ipv4_address{9}, 443}}}},
      {{ipv4_address{8}, 80}}};
  update.routes->changed[0].former_incomplete = true;
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<schema::TableUpdate>();
  wire::write(root, update);
  CHECK_TRUE(wire::read(root.asReader()).value() == update);
}

// Guards against report fields that are lost on the way to the leader, and
// against held buckets that are not ascending.
TEST(wire, report_round_trip)
{
  node_report report;
  report.identity = {
      node_id{9}, incarnation{8},       node_role::agent, "upstream-1",
      "spata",    {ipv4_address{3}, 4}, "documents",      4,
      2000};
  report.applied = {2, 17};
  report.leaving = true;
  report.flows = 12;
  report.busy_slots = 3;
  report.held_buckets = {0, 5, 255};
  report.applies_route_changes = true;
  report.formats = {1, 2, 0x0a0b0c0d};
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<schema::NodeReport>();
  wire::write(root, report);
  CHECK_TRUE(wire::read(root.asReader()).value() == report);
  root.getHeldBuckets().set(1, 255);
  CHECK_TRUE(wire::read(root.asReader()).has_error());
}

// Guards against out-of-bounds reads caused by a malformed table from a peer.
TEST(wire, malformed_tables_are_rejected)
{
  capnp::MallocMessageBuilder message;
  write_sample(message).setBucketCount(3);
  check_corrupt(message.getRoot<schema::ServiceTable>());
  write_sample(message).setBucketCount(0);
  check_corrupt(message.getRoot<schema::ServiceTable>());
  write_sample(message).setBucketCount(8);
  check_corrupt(message.getRoot<schema::ServiceTable>());
  write_sample(message).setBucketCount(2);
  check_corrupt(message.getRoot<schema::ServiceTable>());
  write_sample(message).initHolders(1);
  check_corrupt(message.getRoot<schema::ServiceTable>());
  write_sample(message).setKind(static_cast<schema::ServiceKind>(3));
  check_corrupt(message.getRoot<schema::ServiceTable>());
  auto root = write_sample(message);
  root.getChains()[0] = 9;
  check_corrupt(root);
  write_sample(message).getChains()[3] = 1;
  check_corrupt(message.getRoot<schema::ServiceTable>());
}

// Guards against a truncated digest that matches the digest of another request.
TEST(wire, claim_digest_needs_16_octets)
{
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<schema::Claim>();
  claim_request claim{{service_id{1}, "key"}, claim_id{2}, {1, 2, 3}, 0};
  wire::write(root, claim);
  CHECK_TRUE(wire::read(root.asReader()).value().digest == claim.digest);
  root.initDigest(15);
  CHECK_TRUE(wire::read(root.asReader()).has_error());
}

// Guards against reports that grow by the formats that they state, and against
// a report of a build without them that counts as newer.
TEST(wire, report_without_formats_is_of_the_first)
{
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<schema::NodeReport>();
  wire::write(root, node_report{});
  const auto octets = root.totalSize().wordCount * 8;
  root.setOldestFormat(0);
  root.setNewestFormat(0);
  CHECK_TRUE(wire::read(root.asReader()).value().formats == format_support{});
  CHECK_EQUAL(152U, octets); // as before they were stated
}
