#include "control_server_fixture_test.hpp"

#include <future>
#include <utility>

using namespace toucanmill;
using namespace toucanmill::control_test;

namespace
{

struct order_result
{
  result<change_outcome> outcome = error{error_code::unavailable, "no answer"};
  endpoint leader;
};

/// Gives an evacuation order to an instance and waits for the answer.
order_result order(control_server& server, const std::string& data_centre,
                   bool evacuated)
{
  auto answered = std::make_shared<std::promise<order_result>>();
  auto answer = answered->get_future();
  server.set_evacuation(
      data_centre, evacuated,
      [answered](result<change_outcome> outcome, endpoint leader)
      {
        answered->set_value({std::move(outcome), leader});
      });
  if (answer.wait_for(test_timeout) != std::future_status::ready)
    return {};
  return answer.get();
}

bool accepts(control_server& server, const std::string& data_centre,
             bool evacuated)
{
  const auto answer = order(server, data_centre, evacuated);
  return answer.outcome && answer.outcome.value().accepted;
}

/// Repeats the order until it is accepted: a leader that was just elected is
/// not ready for commands yet.
bool eventually_accepts(control_server& server, const std::string& data_centre,
                        bool evacuated)
{
  return eventually(
      [&]
      {
        return accepts(server, data_centre, evacuated);
      });
}

} // namespace

TEST_GROUP_BASE(control_orders, control_server_fixture){};

// Guards against an order that is lost or carried out twice when the leader
// ends after it appended the order and before it acknowledged it.
TEST(control_orders, order_outlives_a_leader_that_has_not_acknowledged_it)
{
  server_group group(folder, {"north", "south"});
  const auto first = group.leader();
  CHECK_TRUE(eventually_accepts(*group.servers[first], "south", true));
  group.servers[first]->set_evacuation("north", true,
                                       [](result<change_outcome>, endpoint) {});
  group.servers[first].reset();
  CHECK_TRUE(eventually(
      [&]
      {
        return std::any_of(group.servers.begin(), group.servers.end(),
                           [](const auto& server)
                           {
                             return server != nullptr &&
                                    accepts(*server, "north", true);
                           });
      }));
  const auto list = group.client->evacuations().value().evacuations;
  CHECK_EQUAL(2U, list.size());
  STRCMP_EQUAL("north", list[0].data_centre.c_str());
  CHECK_TRUE(eventually_accepts(*group.servers[group.leader()], "north", true));
  CHECK_TRUE(list == group.client->evacuations().value().evacuations);
}

// Guards against an order that is acknowledged without a quorum and gone with
// the disk of one instance.
TEST(control_orders, order_without_a_quorum_is_not_acknowledged)
{
  server_group group(folder, {"north"});
  const auto leader = group.leader();
  CHECK_TRUE(eventually_accepts(*group.servers[leader], "north", true));
  for (std::size_t i = 0; i < group.servers.size(); ++i)
    if (i != leader)
      group.servers[i].reset();
  const auto answer = order(*group.servers[leader], "north", false);
  CHECK_TRUE(answer.outcome.has_error());
  CHECK_TRUE(answer.outcome.error().code == error_code::unavailable ||
             answer.outcome.error().code == error_code::not_leader);
}

// Guards against an instance that acknowledges an order without the group, or
// gives the operator no way to the leader.
TEST(control_orders, other_instances_name_the_leader_for_an_order)
{
  server_group group(folder, {"north"});
  const auto leader = group.leader();
  for (std::size_t i = 0; i < group.servers.size(); ++i)
    if (i != leader)
      CHECK_TRUE(eventually(
          [&]
          {
            const auto answer = order(*group.servers[i], "north", true);
            CHECK_TRUE(answer.outcome.has_error());
            return answer.outcome.error().code == error_code::not_leader &&
                   answer.leader == group.members[leader].rpc;
          }));
  CHECK_TRUE(group.client->evacuations().value().evacuations.empty());
}

// Guards against an order that is lost on restart, and against a resent request
// that undoes the opposite order of another operator.
TEST(control_orders, orders_survive_restart_and_resent_request_is_idempotent)
{
  rpc = free_endpoint();
  auto options = make_options(folder, {{{1}, rpc, true}}, 0);
  options.data_centres = {"north", "south"};
  auto server = start(options);
  const operator_request evacuate{"r1", 0, evacuate_data_centre{"north"}, 0};
  const auto first = connect()->change(evacuate);
  CHECK_TRUE(first.value().accepted);
  CHECK_TRUE(eventually_accepts(*server, "south", true));
  const auto before = connect()->evacuations().value().evacuations;
  CHECK_EQUAL(2U, before.size());
  CHECK_EQUAL(first.value().index, before[0].index);
  CHECK_TRUE(before[0].since > 1'500'000'000);
  server->stop();
  server = start(options);
  CHECK_TRUE(before == connect()->evacuations().value().evacuations);

  CHECK_TRUE(eventually_accepts(*server, "north", false));
  const auto again = connect()->change(evacuate);
  CHECK_EQUAL(first.value().index, again.value().index);
  CHECK_EQUAL(1U, connect()->evacuations().value().evacuations.size());
}

// Guards against opposite orders of two operators that both succeed from the
// same version.
TEST(control_orders, opposite_order_from_the_same_version_is_refused)
{
  rpc = free_endpoint();
  auto options = make_options(folder, {{{1}, rpc, true}}, 0);
  options.data_centres = {"north"};
  const auto server = start(options);
  CHECK_TRUE(eventually_accepts(*server, "north", true));
  const auto client = connect();
  const auto version = client->services().value().version;
  CHECK_TRUE(client->change({"r1", version, restore_data_centre{"north"}, 0})
                 .value()
                 .accepted);
  const auto other =
      client->change({"r2", version, evacuate_data_centre{"north"}, 0});
  CHECK_TRUE(other.value().reason == error_code::version_conflict);
  CHECK_TRUE(client->evacuations().value().evacuations.empty());
}

// Guards against a misspelt name that is acknowledged and evacuates nothing.
TEST(control_orders, order_for_an_unknown_data_centre_changes_nothing)
{
  rpc = free_endpoint();
  auto options = make_options(folder, {{{1}, rpc, true}}, 0);
  options.data_centres = {"north"};
  const auto server = start(options);
  const auto client = connect();
  // Waits until the instance leads.
  CHECK_TRUE(client->evacuations().has_value());
  for (const auto evacuated : {true, false})
  {
    const auto answer = order(*server, "nroth", evacuated);
    CHECK_FALSE(answer.outcome.value().accepted);
    CHECK_TRUE(answer.outcome.value().reason == error_code::not_found);
  }
  const auto request =
      client->change({"r1", 0, evacuate_data_centre{"nroth"}, 0});
  CHECK_FALSE(request.value().accepted);
  CHECK_TRUE(request.value().reason == error_code::not_found);
  CHECK_EQUAL(0U, client->services().value().version);
  CHECK_TRUE(client->evacuations().value().evacuations.empty());
  CHECK_TRUE(client->change({"r1", 0, evacuate_data_centre{"north"}, 0})
                 .value()
                 .accepted);
}

// Guards against a crash of the tool when its time is up just after another
// instance was named: the connection that is left behind was destroyed after
// the event loop that it uses.
TEST(control_orders, client_ends_just_after_it_was_sent_to_the_leader)
{
  server_group group(folder, {"north"});
  CHECK_TRUE(eventually_accepts(*group.servers[group.leader()], "north", true));
  const auto follower = (group.leader() + 1) % group.members.size();
  // A thread has at most one client.
  group.client.reset();
  for (int i = 0; i < 50; ++i)
  {
    const auto client =
        operator_client::connect({group.members[follower].rpc}, duration(0));
    CHECK_FALSE(client->evacuations().has_value());
  }
}
