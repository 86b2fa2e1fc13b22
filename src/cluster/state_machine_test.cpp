#include <toucanmill/cluster/state_machine.hpp>

#include <CppUTest/TestHarness.h>

#include "test_support.hpp"

using namespace toucanmill;
using namespace toucanmill::support;

namespace
{

constexpr std::uint64_t day_seconds = 24 * 60 * 60;

const endpoint public_address{ipv4_address{0xcb00710a}, 443};

create_service charts()
{
  return {"charts", public_address, service_kind::http, 16};
}

bool refused_with(const change_outcome& outcome, error_code reason)
{
  return !outcome.accepted && outcome.reason == reason &&
         !outcome.message.empty();
}

} // namespace

TEST_GROUP(state_machine)
{
  state_machine_fixture control;
};

// Guards against two changes based on the same version that both succeed.
TEST(state_machine, only_one_change_per_version_succeeds)
{
  CHECK_TRUE(control.request({"a", 0, charts(), 0}).accepted);
  const auto refused = control.request({"b", 0, delete_service{"charts"}, 0});
  CHECK_TRUE(refused_with(refused, error_code::version_conflict));
  CHECK_EQUAL(1U, refused.version);
  CHECK_TRUE(control.state.find_service("charts") != nullptr);
}

// Guards against a retried request that is applied twice or gets a different
// outcome.
TEST(state_machine, retried_request_has_the_first_outcome)
{
  const auto first = control.request({"a", 0, charts(), 0});
  control.change(create_service{"other", address_of(9), {}, 16});
  const auto again = control.request({"a", 0, charts(), 0});
  CHECK_TRUE(again.accepted);
  CHECK_EQUAL(first.version, again.version);
  CHECK_EQUAL(first.index, again.index);
  CHECK_EQUAL(2U, control.state.configuration_version());
}

// Guards against silently ignoring a different change that reuses a request id.
TEST(state_machine, request_id_with_another_body_names_the_difference)
{
  control.request({"a", 0, charts(), 0});
  auto other = charts();
  other.buckets = 32;
  const auto outcome = control.request({"a", 0, other, 0});
  CHECK_TRUE(refused_with(outcome, error_code::request_mismatch));
  STRCMP_CONTAINS("buckets is 32, was 16", outcome.message.c_str());
  const auto kind = control.request({"a", 0, drain_node{"x"}, 0});
  STRCMP_CONTAINS("drain node", kind.message.c_str());
}

// Guards against unbounded memory use, and against dropping outcomes before the
// retention period ends.
TEST(state_machine, requests_are_kept_for_a_day_and_limited)
{
  assignment_options options;
  options.max_requests = 2;
  state_machine_fixture small(options);
  small.request({"a", 0, charts(), 0});
  small.request({"b", 0, charts(), 0});
  CHECK_TRUE(refused_with(small.request({"c", 1, charts(), 0}),
                          error_code::limit_reached));
  small.clock += day_seconds - 1;
  CHECK_TRUE(small.request({"a", 0, charts(), 0}).accepted);
  small.clock += 1;
  CHECK_TRUE(refused_with(small.request({"a", 0, charts(), 0}),
                          error_code::version_conflict));
}

// Guards against invalid input that changes the state or is refused without a
// message.
TEST(state_machine, invalid_input_is_refused)
{
  const auto bad = error_code::invalid_argument;
  auto service = charts();
  for (const auto* const name : {"", "Charts", "a.b", "spaced name", "a\nb"})
  {
    service.name = name;
    CHECK_TRUE(refused_with(control.change(service), bad));
  }
  service.name = std::string(64, 'a');
  CHECK_TRUE(refused_with(control.change(service), bad));
  service.name = std::string(63, 'a');
  for (const auto buckets : {0U, 8U, 24U, 8192U})
  {
    service.buckets = buckets;
    CHECK_TRUE(refused_with(control.change(service), bad));
  }
  service.buckets = 16;
  service.address.port = 0;
  CHECK_TRUE(refused_with(control.change(service), bad));
  CHECK_TRUE(refused_with(control.request({"", 0, charts(), 0}), bad));
  CHECK_TRUE(refused_with(
      control.request({std::string(129, 'x'), 0, charts(), 0}), bad));
  CHECK_EQUAL(0U, control.state.configuration_version());
  CHECK_TRUE(control.state.services().empty());
}

// Guards against an id or address that sends packets of one service to another.
TEST(state_machine, ids_are_not_reused_and_addresses_not_shared)
{
  control.change(charts());
  const auto first = control.state.find_service("charts")->id;
  CHECK_TRUE(refused_with(
      control.change(create_service{"other", public_address, {}, 16}),
      error_code::already_exists));
  CHECK_TRUE(
      refused_with(control.change(charts()), error_code::already_exists));
  CHECK_TRUE(control.change(delete_service{"charts"}).accepted);
  CHECK_TRUE(control.change(charts()).accepted);
  CHECK_TRUE(first < control.state.find_service("charts")->id);
}

// Guards against an address change that breaks established flows, and against
// their packets going to another service.
TEST(state_machine, former_addresses_stay_with_their_service)
{
  const auto at = [](std::uint16_t port)
  {
    return endpoint{public_address.address, port};
  };
  control.change(charts());
  CHECK_TRUE(control.change(change_service{"charts", at(1)}).accepted);
  CHECK_TRUE(refused_with(
      control.change(create_service{"other", public_address, {}, 16}),
      error_code::already_exists));
  const auto* service = control.state.find_service("charts");
  CHECK_TRUE(service->former_addresses == std::vector{public_address});

  CHECK_TRUE(control.change(change_service{"charts", public_address}).accepted);
  CHECK_TRUE(service->former_addresses == std::vector{at(1)});
  for (std::uint16_t port = 2; port <= max_former_addresses; ++port)
    CHECK_TRUE(control.change(change_service{"charts", at(port)}).accepted);
  CHECK_TRUE(refused_with(control.change(change_service{"charts", at(99)}),
                          error_code::limit_reached));
  const auto restored = state_machine::restore(control.state.snapshot());
  CHECK_TRUE(*restored.value().find_service("charts") == *service);
}

// Guards against deleting a service that still has established flows.
TEST(state_machine, service_with_upstreams_is_not_deleted)
{
  control.change(charts());
  control.apply(register_node{agent(1, "charts")});
  CHECK_TRUE(refused_with(control.change(delete_service{"charts"}),
                          error_code::unavailable));
  control.apply(set_node_state{node_id{1}, incarnation{1}, node_state::gone});
  CHECK_TRUE(control.change(delete_service{"charts"}).accepted);
}

// Guards against updates that omit a changed or removed service.
TEST(state_machine, changes_since_names_changed_and_removed_services)
{
  control.change(charts());
  const auto before = control.state.position();
  control.change(create_service{"other", address_of(9), {}, 16});
  const auto id = control.state.find_service("charts")->id;
  control.change(delete_service{"charts"});
  const auto update = control.state.changes_since(before);
  CHECK_FALSE(update.full);
  CHECK_EQUAL(1U, update.changed.size());
  CHECK_TRUE(update.removed == std::vector<service_id>{id});
  CHECK_TRUE(control.state.changes_since({}).full);
  CHECK_TRUE(
      control.state.changes_since(before, service_id{99}).changed.empty());
  CHECK_TRUE(
      control.state.changes_since(control.state.position()).changed.empty());
}

// Guards against commands of an older incarnation that change a newer one, and
// against a drain order that is lost by a restart.
TEST(state_machine, older_incarnation_is_ignored_and_orders_survive_restarts)
{
  control.change(charts());
  control.apply(register_node{agent(1, "charts", 5)});
  control.apply(register_node{agent(1, "charts", 4)});
  control.apply(set_node_state{node_id{1}, incarnation{4}, node_state::gone});
  CHECK_TRUE(control.state.find_node("agent-1")->state == node_state::active);
  CHECK_TRUE(control.change(drain_node{"agent-1"}).accepted);
  control.apply(register_node{agent(1, "charts", 6)});
  CHECK_TRUE(control.state.find_node("agent-1")->state == node_state::draining);
  CHECK_TRUE(control.change(restore_node{"agent-1"}).accepted);
  CHECK_TRUE(control.state.find_node("agent-1")->state == node_state::active);
}

// Guards against chains that still list a restarted node as earlier holder: its
// flows ended with the old process.
TEST(state_machine, restarted_node_leaves_its_earlier_chains)
{
  control.change(charts());
  control.apply(register_node{agent(1, "charts")});
  control.apply(register_node{agent(2, "charts")});
  control.change(drain_node{"agent-1"});
  const auto& table = *control.state.find_service("charts");
  CHECK_EQUAL(2, table.buckets[0].size);
  control.apply(register_node{agent(1, "charts", 2)});
  for (const auto& bucket : table.buckets)
  {
    CHECK_EQUAL(1, bucket.size);
    CHECK_TRUE(table.holders[bucket.holders[0]].node == node_id{2});
  }
}

// Guards against running a claimed request twice.
TEST(state_machine, claim_is_granted_once_and_replayed)
{
  CHECK_TRUE(control.claim("k", 1).verdict == claim_verdict::granted);
  CHECK_TRUE(control.claim("k", 1).verdict == claim_verdict::granted);
  CHECK_TRUE(control.claim("k", 2).verdict == claim_verdict::in_progress);
  CHECK_TRUE(control.claim("k", 2, 9).verdict ==
             claim_verdict::different_request);
  const claim_key key{service_id{1}, "k"};
  control.apply(claim_release{key, claim_id{2}});
  control.apply(claim_completion{key, claim_id{2}, "wrong"});
  CHECK_TRUE(control.claim("k", 2).verdict == claim_verdict::in_progress);
  control.clock += day_seconds - 1;
  CHECK_TRUE(control.claim("k", 3).verdict == claim_verdict::in_progress);
  control.apply(claim_completion{key, claim_id{1}, "answer"});
  control.apply(claim_release{key, claim_id{1}});
  CHECK_TRUE(control.claim("k", 3).verdict == claim_verdict::completed);
  STRCMP_EQUAL("answer", control.claim("k", 1).answer.c_str());
  control.clock += 1;
  CHECK_TRUE(control.claim("k", 4).verdict == claim_verdict::granted);
}

// Guards against a key that stays claimed after its agent released it without
// sending any byte to the upstream.
TEST(state_machine, released_claim_is_free)
{
  control.claim("k", 1);
  control.apply(claim_release{{service_id{1}, "k"}, claim_id{1}});
  CHECK_EQUAL(0U, control.state.claim_count());
  CHECK_TRUE(control.claim("k", 2, 7).verdict == claim_verdict::granted);
}

// Guards against dropped claims or unbounded memory use when the store is full.
TEST(state_machine, full_claim_store_refuses_new_claims)
{
  assignment_options options;
  options.max_claim_octets = 600;
  state_machine_fixture small(options);
  small.claim("a", 1);
  small.claim("b", 2);
  small.apply(claim_completion{
      {service_id{1}, "a"}, claim_id{1}, std::string(300, 'x')});
  CHECK_TRUE(small.claim("c", 3).verdict == claim_verdict::limit_reached);
  CHECK_TRUE(small.claim("a", 4).verdict == claim_verdict::completed);
  small.apply(claim_completion{
      {service_id{1}, "b"}, claim_id{2}, std::string(2000, 'y')});
  CHECK_TRUE(small.claim("b", 5).verdict == claim_verdict::completed);
  STRCMP_EQUAL("", small.claim("b", 5).answer.c_str());
}

namespace
{

configuration declared_version(std::uint64_t version)
{
  configuration value;
  value.version = version;
  value.services = {"notes"};
  value.routes = {{"r", {{0xC6120001}, 443}, {{"notes", 1}}, 1000, {}}};
  value.document = "document " + std::to_string(version);
  return value;
}

change_outcome declare(state_machine& machine, std::uint64_t index,
                       configuration value)
{
  const auto outcome =
      machine.apply({1, index}, declare_configuration{std::move(value)});
  return std::get<change_outcome>(outcome);
}

} // namespace

TEST_GROUP(declaration){};

// Guards against an older or retried declaration that replaces the acknowledged
// configuration, and against different content under the version in force.
TEST(declaration, highest_version_is_in_force)
{
  state_machine machine;
  CHECK_TRUE(declare(machine, 1, declared_version(5)).accepted);
  CHECK_TRUE(declare(machine, 2, declared_version(3)).accepted);
  auto other = declared_version(5);
  other.document = "other";
  CHECK_TRUE(declare(machine, 3, other).accepted);
  CHECK_EQUAL(5U, machine.declared().version);
  STRCMP_EQUAL("document 5", machine.declared().document.c_str());
}

// Guards against accepting an invalid configuration because a newer one is
// already in force.
TEST(declaration, invalid_old_version_is_refused)
{
  state_machine machine;
  declare(machine, 1, declared_version(5));
  auto invalid = declared_version(4);
  invalid.routes[0].timeout_ms = 0;
  CHECK_FALSE(declare(machine, 2, invalid).accepted);
}

// Guards against a configuration that is missing from table updates or from a
// snapshot.
TEST(declaration, reaches_nodes_and_survives_a_snapshot)
{
  state_machine machine;
  declare(machine, 1, declared_version(5));
  const auto update = machine.changes_since({}, {}, {{}, true});
  CHECK_EQUAL(5U, update.declared->version);
  CHECK_TRUE(update.declared->document.empty());
  CHECK_EQUAL(1U, update.changed.size());
  CHECK_FALSE(
      machine.changes_since({1, 1}, {}, {{}, true}).declared.has_value());
  CHECK_EQUAL(5U, machine.changes_since({}).routes->version);
  CHECK_FALSE(machine.changes_since({1, 1}).routes.has_value());
  const auto restored = state_machine::restore(machine.snapshot());
  CHECK_TRUE(restored.value().declared() == machine.declared());
}

namespace
{

node_identity relay_agent(std::uint64_t id, std::uint64_t life)
{
  node_identity identity;
  identity.id = {id};
  identity.life = {life};
  identity.role = node_role::agent;
  identity.name = "agent-" + std::to_string(id);
  identity.data_centre = "z";
  identity.data = {{static_cast<std::uint32_t>(id)}, 7000};
  identity.service = "notes";
  return identity;
}

std::size_t owned_by(const state_machine& machine, std::uint64_t id)
{
  const auto& table = *machine.find_service("notes");
  std::size_t count = 0;
  for (const auto& bucket : table.buckets)
    if (bucket.size > 0 && table.holders[bucket.holders[0]].node == node_id{id})
      ++count;
  return count;
}

} // namespace

// Guards against sending all new flows to the upstreams that register last
// after a power failure, which then refuse them (338 refusals in two seconds).
TEST(declaration, upstreams_that_restart_together_keep_their_shares)
{
  state_machine machine;
  declare(machine, 1, declared_version(1));
  std::uint64_t index = 2;
  for (std::uint64_t id = 1; id <= 4; ++id)
    machine.apply({1, index++}, register_node{relay_agent(id, 1)});
  for (int round = 0; round < 100; ++round)
    machine.apply(
        {1, index++},
        rebalance{
            "notes", {{{1}, 1000}, {{2}, 1000}, {{3}, 1000}, {{4}, 1000}}, {}});
  const auto before = owned_by(machine, 4);
  CHECK_TRUE(before >= 60 && before <= 68);
  for (std::uint64_t id = 1; id <= 3; ++id)
    machine.apply({1, index++}, register_node{relay_agent(id, 2)});
  CHECK_EQUAL(before, owned_by(machine, 4));
  CHECK_EQUAL(2U, machine.find_node(node_id{1})->identity.life.value);
}
