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

TEST_GROUP(control_state_evacuation)
{
  std::vector<std::string> notices;
  std::uint64_t index = 0;

  control_state make_state(std::vector<std::string> data_centres)
  {
    control_state_options options;
    options.data_centres = std::move(data_centres);
    options.notify = [this](const control_notice& value)
    {
      if (value.what == control_notice::kind::evacuation_changed ||
          value.what == control_notice::kind::change_refused)
        notices.push_back(value.detail);
    };
    return control_state(std::move(options));
  }

  void apply(control_state & state, const command& value)
  {
    state.apply({{1, ++index}, entry_kind::command, encode(value)});
  }

  static register_node node_in(const std::string& data_centre)
  {
    auto report = report_from(node_role::agent, "notes", 0);
    report.identity.data_centre = data_centre;
    report.identity.data = {{7}, 8000};
    return {report.identity};
  }
};

// Guards against a node that starts again and sends new flows to an evacuated
// data centre until the list changes.
TEST(control_state_evacuation, restarted_node_gets_the_list_with_its_table)
{
  auto state = make_state({});
  apply(state, declare_configuration{two_routes(5, 1000)});
  apply(state, set_evacuation{"north", true, 1});
  apply(state, declare_configuration{two_routes(6, 1000)});
  const std::vector<data_centre_key> north{key_of_data_centre("north")};
  for (const auto& [role, service] :
       {std::pair{node_role::balancer, ""}, {node_role::agent, "notes"}})
  {
    const auto first =
        state.on_report(report_from(role, service, 0), monotonic_now()).update;
    CHECK_TRUE(first.full);
    CHECK_TRUE(first.evacuated == north);
    const auto missed =
        state.on_report(report_from(role, service, 1), monotonic_now()).update;
    CHECK_TRUE(missed.evacuated == north);
    const auto later =
        state.on_report(report_from(role, service, 2), monotonic_now()).update;
    CHECK_FALSE(later.evacuated.has_value());
  }
}

// Guards against orders for names that no node has, and against a data centre
// that cannot be restored since its nodes are gone or the settings changed.
TEST(control_state_evacuation, known_names_are_those_of_nodes_or_settings)
{
  auto by_nodes = make_state({});
  CHECK_TRUE(by_nodes.refuse_unknown("north")->reason == error_code::not_found);
  CHECK_TRUE(by_nodes.refuse_unknown("").has_value());
  apply(by_nodes, node_in("north"));
  CHECK_FALSE(by_nodes.refuse_unknown("north").has_value());
  CHECK_TRUE(by_nodes.refuse_unknown("south").has_value());

  auto by_settings = make_state({"south"});
  apply(by_settings, node_in("north"));
  CHECK_TRUE(by_settings.refuse_unknown("north").has_value());
  CHECK_FALSE(by_settings.refuse_unknown("south").has_value());
  apply(by_settings, set_evacuation{"north", true, 1});
  CHECK_FALSE(by_settings.refuse_unknown("north").has_value());
  CHECK_EQUAL(4U, notices.size());
}

// Guards against an evacuation that no log names, and against a repeated order
// that is logged as a change.
TEST(control_state_evacuation, changes_are_noticed_by_the_leader_once)
{
  auto state = make_state({"north"});
  apply(state, set_evacuation{"north", true, 1});
  CHECK_TRUE(notices.empty());
  state.on_leadership(true, 1);
  apply(state, set_evacuation{"south", true, 1});
  apply(state, set_evacuation{"south", true, 1});
  apply(state, operator_request{"r1", 2, restore_data_centre{"north"}, 1});
  apply(state, operator_request{"r2", 3, restore_data_centre{"south"}, 1});
  CHECK_TRUE(notices ==
             (std::vector<std::string>{"evacuated since index 2: north, south",
                                       "evacuated since index 4: south",
                                       "evacuated since index 5: none"}));
}
