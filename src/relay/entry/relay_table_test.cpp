#include <toucanmill/relay/relay_table.hpp>

#include <CppUTest/TestHarness.h>

#include "../relay_fixture_test.hpp"

using namespace toucanmill;
using namespace toucanmill::relay_test;

namespace
{

route route_at(std::uint32_t address)
{
  return {"r", {{address}, 443}, {{"notes", 1}}, 1000, {}};
}

route_group group_at(std::uint32_t address, std::uint32_t timeout_ms)
{
  return {{{"charts", 1}}, {"notes"}, timeout_ms, {{{address}, 443}}};
}

table_update difference(std::uint64_t base, std::uint64_t index,
                        route_changes changes)
{
  table_update update;
  update.base = {1, base};
  update.version = {1, index};
  update.routes = std::move(changes);
  return update;
}

} // namespace

TEST_GROUP(relay_table)
{
  relay_table table;

  void setup() override
  {
    configuration declared;
    declared.version = 5;
    declared.routes = {route_at(1), route_at(2), route_at(3)};
    table = *table_of(10, declared, {});
  }
};

// Guards against routes that remain in a table that is replaced.
TEST(relay_table, all_routes_replace_the_present_ones)
{
  const auto next =
      table.apply(difference(0, 20, {6, true, {group_at(2, 2000)}, {}}));
  CHECK_TRUE(next.find_route({{1}, 443}) == nullptr);
  CHECK_EQUAL(2000U, next.find_route({{2}, 443})->timeout_ms);
}

// Guards against a difference that loses unchanged routes, keeps removed ones
// or loses one that returned with other contents.
TEST(relay_table, difference_changes_only_the_named_routes)
{
  const auto next =
      table.apply(difference(10, 20,
                             {6,
                              false,
                              {group_at(2, 2000), group_at(4, 3000)},
                              {{{1}, 443}, {{4}, 443}}}));
  CHECK_EQUAL(6U, next.configuration_version());
  CHECK_TRUE(next.find_route({{1}, 443}) == nullptr);
  const auto* const changed = next.find_route({{2}, 443});
  CHECK_EQUAL(2000U, changed->timeout_ms);
  CHECK_TRUE(changed->targets == group_at(2, 0).targets);
  CHECK_TRUE(changed->former == group_at(2, 0).former);
  CHECK_TRUE(next.find_route({{3}, 443})->targets == route_at(3).targets);
  CHECK_EQUAL(3000U, next.find_route({{4}, 443})->timeout_ms);
  CHECK_TRUE(table.find_route({{1}, 443}) != nullptr);
}

// Guards against a table without the changes between its own version and the
// base of the difference.
TEST(relay_table, difference_from_a_newer_base_is_refused)
{
  const auto next =
      table.apply(difference(11, 20, {6, false, {}, {{{1}, 443}}}));
  CHECK_TRUE(next.version() == table.version());
  CHECK_EQUAL(5U, next.configuration_version());
  CHECK_TRUE(next.find_route({{1}, 443}) != nullptr);
}

// Guards against a node that never gets a change because its table is newer
// than the base, for example after a repeated report.
TEST(relay_table, difference_from_an_older_base_applies)
{
  const auto next =
      table.apply(difference(9, 20, {6, false, {}, {{{1}, 443}}}));
  CHECK_EQUAL(6U, next.configuration_version());
  CHECK_TRUE(next.find_route({{1}, 443}) == nullptr);
}

// Guards against trust in lists of former services by a leader whose build
// drops services without a mark (review/11).
TEST(relay_table, lists_of_a_build_without_marks_are_incomplete)
{
  auto update = difference(10, 20, {6, false, {group_at(2, 2000)}, {}});
  CHECK_FALSE(table.apply(update).find_route({{2}, 443})->former_incomplete);
  update.former_marked = false;
  const auto next = table.apply(update);
  CHECK_TRUE(next.find_route({{2}, 443})->former_incomplete);
  CHECK_FALSE(next.find_route({{3}, 443})->former_incomplete);
  configuration declared;
  declared.version = 7;
  declared.routes = {route_at(1)};
  table_update whole;
  whole.version = {1, 30};
  whole.declared = declared;
  whole.former_marked = false;
  CHECK_TRUE(next.apply(whole).find_route({{1}, 443})->former_incomplete);
}
