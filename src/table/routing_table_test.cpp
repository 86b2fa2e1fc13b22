#include "table_builder_test.hpp"

#include <CppUTest/TestHarness.h>

using namespace toucanmill;
using namespace toucanmill::test;

namespace
{

routing_table table_of(std::uint32_t services)
{
  return routing_table{}.apply(full_update(services, 4, 3)).value();
}

table_update delta(std::uint64_t index, std::vector<service_table> changed,
                   std::vector<service_id> removed = {})
{
  return {{1, index}, false, std::move(changed), std::move(removed)};
}

void check_corrupt(const service_table& service)
{
  const auto applied = table_of(3).apply(delta(10, {service}));
  CHECK_TRUE(applied.has_error());
  CHECK_TRUE(applied.error().code == error_code::corrupt_data);
}

} // namespace

TEST_GROUP(routing_table){};

// Guards against a lookup that misses a service or returns the wrong one.
TEST(routing_table, finds_by_address_and_id)
{
  const auto table = table_of(100);
  CHECK_EQUAL(100U, table.size());
  for (std::uint32_t id = 1; id <= 100; ++id)
  {
    const auto expected = build_service(id, 4, 3);
    CHECK_TRUE(*table.find(service_id{id}) == expected);
    CHECK_TRUE(table.find(expected.address) == table.find(service_id{id}));
  }
  const auto address = public_address(1).address;
  CHECK_TRUE(table.find(endpoint{address, 444}) == nullptr);
  CHECK_TRUE(table.find(public_address(101)) == nullptr);
  CHECK_TRUE(table.find(service_id{101}) == nullptr);
}

// Guards against a delayed update that overwrites newer state.
TEST(routing_table, older_and_equal_updates_change_nothing)
{
  const auto table = table_of(3);
  for (const bool full : {false, true})
  {
    const table_update stale{{1, 3}, full, {}, {service_id{1}}};
    const auto after = table.apply(stale).value();
    CHECK_EQUAL(3U, after.size());
    CHECK_TRUE(after.version() == table.version());
    CHECK_EQUAL(3U, table.apply({{0, 99}, full, {}, {}}).value().size());
  }
}

// Guards against a delta that modifies the table that the packet thread reads.
TEST(routing_table, delta_shares_unchanged_services_and_keeps_old_table)
{
  const auto before = table_of(3);
  auto changed = build_service(2, 8, 3);
  const auto after =
      before.apply(delta(10, {changed}, {service_id{3}})).value();
  CHECK_TRUE(after.version() == (table_version{1, 10}));
  CHECK_TRUE(*after.find(service_id{2}) == changed);
  CHECK_TRUE(after.find(service_id{1}) == before.find(service_id{1}));
  CHECK_TRUE(after.find(service_id{3}) == nullptr);
  CHECK_TRUE(after.find(public_address(3)) == nullptr);
  CHECK_EQUAL(2U, after.size());
  CHECK_EQUAL(3U, before.size());
  CHECK_EQUAL(4U, before.find(service_id{2})->buckets.size());
}

// Guards against services that remain after a full update that omits them.
TEST(routing_table, full_update_replaces_everything)
{
  auto update = full_update(1, 4, 3);
  update.version = {2, 1};
  const auto after = table_of(3).apply(update).value();
  CHECK_EQUAL(1U, after.size());
  CHECK_TRUE(after.find(public_address(2)) == nullptr);
}

// Guards against an old address that still maps to its previous service, and
// against mixing up two services that swap addresses.
TEST(routing_table, addresses_may_move_in_one_update)
{
  auto first = build_service(1, 4, 3);
  auto second = build_service(2, 4, 3);
  std::swap(first.address, second.address);
  const auto swapped = table_of(3).apply(delta(10, {first, second})).value();
  CHECK_EQUAL(2U, swapped.find(public_address(1))->id.value);
  CHECK_EQUAL(1U, swapped.find(public_address(2))->id.value);
  first.address = public_address(9);
  const auto moved = swapped.apply(delta(11, {first})).value();
  CHECK_EQUAL(1U, moved.find(public_address(9))->id.value);
  CHECK_TRUE(moved.find(public_address(2)) == nullptr);
}

// Guards against an address change that breaks established flows of the old
// address, and against a former address that maps to another service.
TEST(routing_table, former_addresses_are_routed_until_removed)
{
  auto service = build_service(1, 4, 3);
  service.former_addresses = {service.address};
  service.address = public_address(9);
  const auto moved = table_of(3).apply(delta(10, {service})).value();
  CHECK_EQUAL(1U, moved.find(public_address(1))->id.value);
  CHECK_EQUAL(1U, moved.find(public_address(9))->id.value);

  auto successor = build_service(2, 4, 3);
  successor.address = public_address(1);
  CHECK_TRUE(moved.apply(delta(11, {successor})).has_error());

  service.former_addresses.clear();
  const auto removed = moved.apply(delta(12, {service, successor})).value();
  CHECK_EQUAL(2U, removed.find(public_address(1))->id.value);
}

// Guards against tables that make the packet thread read out of bounds.
TEST(routing_table, inconsistent_services_are_corrupt)
{
  for (const std::size_t count : {0, 3, 131072})
  {
    auto service = build_service(9, 4, 3);
    service.buckets.resize(count);
    check_corrupt(service);
  }
  auto service = build_service(9, 4, 3);
  service.buckets[3].holders[0] = 3;
  check_corrupt(service);
  service = build_service(9, 4, 3);
  service.buckets[3].size = max_chain_length + 1;
  check_corrupt(service);
}

// Guards against an address that two services have, and against a service that
// occurs twice in one update.
TEST(routing_table, ambiguous_updates_are_corrupt)
{
  auto service = build_service(9, 4, 3);
  service.address = public_address(1);
  check_corrupt(service);
  const auto twice = build_service(9, 4, 3);
  CHECK_TRUE(table_of(3).apply(delta(10, {twice, twice})).has_error());
  auto other = twice;
  other.address = public_address(10);
  CHECK_TRUE(table_of(3).apply(delta(10, {twice, other})).has_error());
}
