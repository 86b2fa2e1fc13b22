#include <toucanmill/cluster/state_machine.hpp>

#include <CppUTest/TestHarness.h>

#include <map>
#include <random>

#include <capnp/message.h>
#include <state.capnp.h>

#include <toucanmill/cluster/wire.hpp>

#include "message.hpp"

using namespace toucanmill;

namespace
{

endpoint address_at(std::uint32_t i)
{
  return {{0xC6120001 + i}, 443};
}

configuration many_routes(std::uint64_t version, std::uint32_t count)
{
  configuration value;
  value.version = version;
  value.services = {"charts", "notes"};
  for (std::uint32_t i = 0; i < count; ++i)
    value.routes.push_back({"route-" + std::to_string(i),
                            address_at(i),
                            {{i % 2 == 0 ? "notes" : "charts", 1}},
                            1000,
                            {}});
  return value;
}

void declare(state_machine& machine, std::uint64_t index, configuration value)
{
  const auto outcome =
      machine.apply({1, index}, declare_configuration{std::move(value)});
  CHECK_TRUE(std::get<change_outcome>(outcome).accepted);
}

std::size_t encoded_octets(const table_update& update)
{
  capnp::MallocMessageBuilder message;
  wire::write(message.initRoot<schema::TableUpdate>(), update);
  return message.sizeInWords() * sizeof(capnp::word);
}

using routes_by_address = std::map<endpoint, route>;

bool opens_flows_to(const route& item, const std::string& service)
{
  for (const auto& target : item.targets)
    if (target.service == service && target.weight > 0)
      return true;
  return false;
}

/// The routes that a node must have; they are sent without names, and to an
/// agent only with its own service, the time limit and the objectives.
routes_by_address declared_routes(const state_machine& machine,
                                  const std::optional<std::string>& service)
{
  routes_by_address found;
  for (auto item : machine.declared().routes)
  {
    item.name.clear();
    if (!service)
      found[item.address] = item;
    else if (opens_flows_to(item, *service))
      found[item.address] = {
          {}, item.address,   {{*service, 1}}, item.timeout_ms,
          {}, item.objectives};
  }
  return found;
}

/// A node that applies updates as they come.
struct updated_node
{
  std::optional<std::string> service;
  table_version applied;
  routes_by_address routes;

  void update(const state_machine& machine)
  {
    const auto update = machine.changes_since(applied, {}, {service, false});
    CHECK_FALSE(applied < update.base);
    CHECK_FALSE(update.declared.has_value());
    if (update.routes)
      apply(*update.routes);
    applied = update.version;
  }

private:
  void apply(const route_changes& changes)
  {
    if (changes.whole)
      routes.clear();
    for (const auto& address : changes.removed)
      routes.erase(address);
    for (const auto& group : changes.changed)
      for (const auto& address : group.addresses)
        routes[address] = {{},
                           address,
                           group.targets,
                           group.timeout_ms,
                           group.former,
                           group.objectives,
                           group.former_incomplete};
  }
};

configuration random_configuration(std::uint64_t version, std::mt19937& random)
{
  const std::vector<std::string> names = {"a", "b", "c"};
  const auto one_of_two = [&random]
  {
    return static_cast<std::uint32_t>(random() % 2);
  };
  configuration value;
  value.version = version;
  value.services = names;
  for (std::uint32_t i = 0; i < 12; ++i)
    if (random() % 4 != 0)
      value.routes.push_back({"r",
                              address_at(i),
                              {{names[random() % 3], 1}, {"a", 0}},
                              1000 + one_of_two(),
                              {},
                              {{}, 100 * one_of_two(), one_of_two()}});
  return value;
}

/// The snapshot as builds without a history of the routes wrote it.
std::string without_route_history(const std::string& snapshot)
{
  const auto rewritten = detail::deserialize<schema::Snapshot, std::string>(
      snapshot,
      [](schema::Snapshot::Reader from) -> result<std::string>
      {
        capnp::MallocMessageBuilder message;
        message.setRoot(from);
        auto to = message.getRoot<schema::Snapshot>();
        to.disownRouteAges();
        to.disownRouteRemovals();
        to.setRouteRemovalsFloor(0);
        return detail::serialize(message);
      });
  return rewritten.value();
}

} // namespace

TEST_GROUP(route_changes)
{
  state_machine machine;
};

// Guards against sending every node the whole declaration for each new version:
// with 2,000 routes and hundreds of nodes the answers came seconds late and
// exceeded the memory limit of control.
TEST(route_changes, changed_route_is_sent_without_the_others)
{
  declare(machine, 1, many_routes(5, 2000));
  auto next = many_routes(6, 2000);
  next.routes[7].timeout_ms = 2000;
  declare(machine, 2, next);
  CHECK_TRUE(encoded_octets(machine.changes_since({1, 1})) < 4096);
}

// Guards against objectives that reach no node because only targets, names and
// time limits count as a change, and against sending all routes for one of
// them.
TEST(route_changes, changed_objectives_are_sent_without_the_other_routes)
{
  declare(machine, 1, many_routes(5, 2000));
  auto next = many_routes(6, 2000);
  next.routes[8].objectives = {request_kind::idempotent, 200, 3};
  declare(machine, 2, next);
  for (const std::optional<std::string>& service :
       {std::optional<std::string>{}, std::optional<std::string>{"notes"}})
  {
    const auto update = machine.changes_since({1, 1}, {}, {service, false});
    CHECK_EQUAL(1U, update.routes->changed.size());
    const auto& group = update.routes->changed[0];
    CHECK_TRUE(group.objectives == next.routes[8].objectives);
    CHECK_TRUE(group.addresses == std::vector<endpoint>{address_at(8)});
    CHECK_TRUE(encoded_octets(update) < 4096);
  }
}

// Guards against an agent that applies the objectives or the time limit of one
// route to the requests of another.
TEST(route_changes, agent_gets_a_group_for_each_time_limit_and_objectives)
{
  auto value = many_routes(5, 8);
  value.routes[0].objectives = {request_kind::idempotent, 200, 0};
  value.routes[2].objectives = {request_kind::non_idempotent, 300, 1};
  value.routes[4].objectives = value.routes[0].objectives;
  value.routes[6].timeout_ms = 3000;
  value.routes[6].objectives = value.routes[0].objectives;
  declare(machine, 1, value);
  const auto update = machine.changes_since({}, {}, {"notes", false});
  CHECK_EQUAL(3U, update.routes->changed.size());
  std::map<endpoint, std::size_t> group_sizes;
  for (const auto& group : update.routes->changed)
    for (const auto& address : group.addresses)
    {
      group_sizes[address] = group.addresses.size();
      const auto& declared =
          value.routes[address.address.value - address_at(0).address.value];
      CHECK_TRUE(group.objectives == declared.objectives);
      CHECK_EQUAL(declared.timeout_ms, group.timeout_ms);
    }
  CHECK_EQUAL(4U, group_sizes.size());
  CHECK_EQUAL(2U, group_sizes[address_at(4)]);
  CHECK_EQUAL(1U, group_sizes[address_at(6)]);
  const auto all = machine.changes_since({});
  CHECK_EQUAL(4U, all.routes->changed.size());
}

// Guards against agents without the warm-up rate of their service, and against
// a new table of every service for each declaration.
TEST(route_changes, warm_up_rate_changes_only_its_service)
{
  auto value = many_routes(1, 4);
  value.warm_up = {{"notes", 2500}};
  declare(machine, 1, value);
  CHECK_EQUAL(2500U, machine.find_service("notes")->warm_up_rate);
  CHECK_EQUAL(0U, machine.find_service("charts")->warm_up_rate);
  machine = state_machine::restore(machine.snapshot()).value();
  value.version = 2;
  declare(machine, 2, value);
  CHECK_TRUE(machine.changes_since({1, 1}).changed.empty());
  value.version = 3;
  value.warm_up = {{"notes", 2500}, {"charts", 800}};
  declare(machine, 3, value);
  const auto added = machine.changes_since({1, 2}, {}, {{}, false, node_id{1}});
  CHECK_EQUAL(1U, added.changed.size());
  STRCMP_EQUAL("charts", added.changed[0].name.c_str());
  CHECK_EQUAL(800U, added.changed[0].warm_up_rate);
  value.version = 4;
  value.warm_up = {{"notes", 2500}};
  declare(machine, 4, value);
  CHECK_EQUAL(0U, machine.find_service("charts")->warm_up_rate);
}

// Guards against a node whose routes differ from the declaration after any
// sequence of differences, also across a restored snapshot of the state.
TEST(route_changes, differences_lead_to_the_declared_routes)
{
  std::mt19937 random(20261204);
  std::vector<updated_node> nodes = {
      {{}, {}, {}}, {{}, {}, {}}, {"a", {}, {}}, {"b", {}, {}}, {"c", {}, {}}};
  for (std::uint64_t step = 1; step <= 2000; ++step)
  {
    declare(machine, step, random_configuration(step, random));
    if (step % 16 == 0)
      machine = state_machine::restore(machine.snapshot()).value();
    for (auto& node : nodes)
      if (random() % 3 == 0)
      {
        node.update(machine);
        CHECK_TRUE(node.routes == declared_routes(machine, node.service));
      }
  }
}

// Guards against a fresh node that waits seconds for its first table: over a
// link of 2 Mbit/s, 200 KB took longer than the timeout of the call.
TEST(route_changes, all_routes_are_sent_by_their_targets)
{
  declare(machine, 1, many_routes(5, 2000));
  const auto update = machine.changes_since({});
  CHECK_TRUE(update.routes->whole);
  CHECK_TRUE(encoded_octets(update) < 20'000);
  CHECK_TRUE(encoded_octets(machine.changes_since({}, {}, {"notes", false})) <
             10'000);
}

// Guards against differences for a node of an earlier build, which ignores
// them.
TEST(route_changes, node_of_an_earlier_build_gets_the_whole_declaration)
{
  declare(machine, 1, many_routes(5, 4));
  declare(machine, 2, many_routes(6, 3));
  const auto update = machine.changes_since({1, 1}, {}, {"notes", true});
  CHECK_FALSE(update.routes.has_value());
  CHECK_EQUAL(6U, update.declared->version);
  CHECK_EQUAL(2U, update.declared->routes.size());
}

// Guards against a difference that misses routes because the state comes from a
// snapshot without their history.
TEST(route_changes, snapshot_without_history_leads_to_all_routes)
{
  declare(machine, 1, many_routes(5, 4));
  declare(machine, 2, many_routes(6, 3));
  auto restored =
      state_machine::restore(without_route_history(machine.snapshot())).value();
  const auto older = restored.changes_since({1, 1});
  CHECK_TRUE(older.routes->whole);
  CHECK_EQUAL(2U, older.routes->changed.size());
  CHECK_FALSE(restored.changes_since({1, 2}).routes.has_value());
  declare(restored, 3, many_routes(7, 4));
  const auto update = restored.changes_since({1, 2});
  CHECK_FALSE(update.routes->whole);
  CHECK_EQUAL(1U, update.routes->changed.size());
  CHECK_EQUAL(1U, update.routes->changed[0].addresses.size());
}

// Guards against unbounded records of removed routes, and against a difference
// that lacks the removals that are no longer recorded.
TEST(route_changes, too_many_removals_lead_to_all_routes)
{
  constexpr std::uint32_t count = 8200;
  declare(machine, 1, many_routes(1, count));
  declare(machine, 2, many_routes(2, 0));
  declare(machine, 3, many_routes(3, count));
  declare(machine, 4, many_routes(4, 0));
  CHECK_TRUE(machine.changes_since({1, 1}).routes->whole);
  const auto update = machine.changes_since({1, 2});
  CHECK_FALSE(update.routes->whole);
  CHECK_EQUAL(count, update.routes->removed.size());
}
