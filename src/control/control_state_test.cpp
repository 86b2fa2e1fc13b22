#include <toucanmill/control/control_state.hpp>

#include <CppUTest/TestHarness.h>

#include <toucanmill/base/clock.hpp>

using namespace toucanmill;

namespace
{

configuration two_routes(std::uint64_t version, std::uint32_t timeout_ms)
{
  configuration value;
  value.version = version;
  value.services = {"charts", "notes"};
  value.routes = {{"c", {{1}, 443}, {{"charts", 1}}, timeout_ms, {}},
                  {"n", {{2}, 443}, {{"notes", 1}}, 1000, {}}};
  return value;
}

node_report report_from(node_role role, const std::string& service,
                        std::uint64_t applied)
{
  node_report report;
  report.identity.id = {7};
  report.identity.life = {1};
  report.identity.role = role;
  report.identity.name = "node-7";
  report.identity.service = service;
  report.applied = {applied == 0 ? 0U : 1U, applied};
  report.fresh = applied == 0;
  report.applies_route_changes = true;
  return report;
}

} // namespace

TEST_GROUP(control_state)
{
  control_state state{{}};

  void setup() override
  {
    declare(1, two_routes(5, 1000));
    declare(2, two_routes(6, 2000));
  }

  void declare(std::uint64_t index, configuration value)
  {
    state.apply({{1, index},
                 entry_kind::command,
                 encode(declare_configuration{std::move(value)})});
  }

  table_update update_for(const node_report& report)
  {
    return state.on_report(report, monotonic_now()).update;
  }
};

// Guards against an agent that receives the routes of other services, which
// are most of the table.
TEST(control_state, agent_gets_only_the_routes_to_its_service)
{
  const auto charts = update_for(report_from(node_role::agent, "charts", 1));
  CHECK_EQUAL(1U, charts.routes->changed.size());
  const auto notes = update_for(report_from(node_role::agent, "notes", 1));
  CHECK_EQUAL(0U, notes.routes->changed.size());
  CHECK_EQUAL(1U, notes.routes->removed.size());
  const auto fresh = update_for(report_from(node_role::agent, "notes", 0));
  CHECK_TRUE(fresh.routes->whole);
  CHECK_EQUAL(1U, fresh.routes->changed.at(0).addresses.size());
}

// Guards against a leader whose link and time go into tables that agents do not
// use, while balancers wait for theirs after a loss of power: 160 upstreams
// register one after the other, and each changes the table.
TEST(control_state, agent_gets_its_own_entry_of_the_table)
{
  for (std::uint64_t i = 1; i <= 160; ++i)
  {
    register_node added;
    added.identity = report_from(node_role::agent, "notes", 0).identity;
    added.identity.id = {i};
    added.identity.name = "node-" + std::to_string(i);
    added.identity.data = {{static_cast<std::uint32_t>(i)}, 8000};
    state.apply({{1, 2 + i}, entry_kind::command, encode(added)});
  }
  const auto agent = update_for(report_from(node_role::agent, "notes", 0));
  CHECK_EQUAL(1U, agent.changed.size());
  CHECK_EQUAL(1U, agent.changed[0].holders.size());
  CHECK_EQUAL(7U, agent.changed[0].holders[0].node.value);
  const auto balancer = update_for(report_from(node_role::balancer, "", 0));
  const auto& notes = balancer.changed.at(1);
  CHECK_EQUAL(160U, notes.holders.size());
  CHECK_EQUAL(notes.buckets.size(), agent.changed[0].buckets.size());
}

// Guards against a node of the previous build that never gets a declaration
// because it cannot read differences.
TEST(control_state, node_without_differences_gets_whole_declarations)
{
  auto report = report_from(node_role::balancer, "", 1);
  CHECK_EQUAL(1U, update_for(report).routes->changed.size());
  report.applies_route_changes = false;
  CHECK_EQUAL(2U, update_for(report).declared->routes.size());
  CHECK_FALSE(update_for(report).routes.has_value());
}
