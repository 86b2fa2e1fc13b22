#include "control_server_fixture_test.hpp"

#include <algorithm>
#include <atomic>
#include <future>
#include <mutex>
#include <random>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <toucanmill/control/node_client.hpp>
#include <toucanmill/control/operator_client.hpp>
#include <toucanmill/control/rpc_connection.hpp>

using namespace toucanmill;
using namespace toucanmill::control_test;

namespace
{

int connect_socket(int descriptor, const sockaddr_in& to)
{
  return connect(descriptor, reinterpret_cast<const sockaddr*>(&to), sizeof to);
}

/// Accepts connections, and answers nothing.
int listen_without_answers(const endpoint& at)
{
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_addr.s_addr = htonl(at.address.value);
  raw.sin_port = htons(at.port);
  CHECK_EQUAL(
      0, bind(descriptor, reinterpret_cast<const sockaddr*>(&raw), sizeof raw));
  CHECK_EQUAL(0, listen(descriptor, SOMAXCONN));
  return descriptor;
}

node_callbacks callbacks_without_effect()
{
  node_callbacks callbacks;
  callbacks.make_report = []
  {
    return node_report{};
  };
  callbacks.on_update = [](const table_update&) {};
  callbacks.on_confirmed = [](time_point) {};
  callbacks.on_order = [](node_order) {};
  callbacks.on_reachable = [](bool) {};
  return callbacks;
}

} // namespace

TEST_GROUP_BASE(control_server, control_server_fixture){};

// Guards against losing a change on restart and applying a resent request
// twice.
TEST(control_server, changes_survive_restart_and_resent_request_is_idempotent)
{
  auto server = start_single(folder, rpc);
  const auto first = connect()->change(create("r1", 0, "defects", 80));
  CHECK_TRUE(first.has_value());
  CHECK_TRUE(first.value().accepted);
  server->stop();
  server = start_single(folder, rpc);

  const auto again = connect()->change(create("r1", 0, "defects", 80));
  CHECK_TRUE(again.value().accepted);
  CHECK_EQUAL(first.value().index, again.value().index);
  const auto list = connect()->services();
  CHECK_EQUAL(1U, list.value().services.size());
}

// Guards against malformed data of another instance that closes its connection,
// which carries heartbeats too.
TEST(control_server, malformed_compressed_message_is_refused_and_counted)
{
  const auto server = start_single(folder, rpc);
  auto io = kj::setupAsyncIo();
  rpc_connection connection(
      connect_rpc(io, rpc, 5 * kj::SECONDS).wait(io.waitScope));
  auto malformed = connection.control.stepRequest();
  malformed.setMessage(kj::StringPtr("x").asBytes());
  malformed.setSize(10);
  std::string refusal;
  try
  {
    malformed.send().wait(io.waitScope);
  }
  catch (const kj::Exception& failure)
  {
    refusal = failure.getDescription().cStr();
  }
  STRCMP_CONTAINS("malformed compressed message: 1 octets", refusal.c_str());
  CHECK_EQUAL(1U, server->counters().malformed);
  auto answer = connection.control.stepRequest().send();
  CHECK_TRUE(answer.wait(io.waitScope).getAcceptsCompressed());
}

// Guards against accepting two operators' changes based on the same version.
TEST(control_server, second_change_from_the_same_version_is_refused)
{
  const auto server = start_single(folder, rpc);
  const auto client = connect();
  CHECK_TRUE(client->change(create("r1", 0, "defects", 80)).value().accepted);
  const auto second = client->change(create("r2", 0, "records", 81));
  CHECK_FALSE(second.value().accepted);
  CHECK_TRUE(second.value().reason == error_code::version_conflict);
}

// Guards against a node that never receives a change, and against a change that
// is reported as in force before the node has applied it.
TEST(control_server, change_is_in_force_after_the_node_has_applied_it)
{
  const auto server = start_single(folder, rpc);
  std::atomic<std::uint64_t> applied{0};
  std::atomic<bool> hold{true};
  auto callbacks = callbacks_without_effect();
  callbacks.make_report = [&]
  {
    node_report report;
    report.identity = {{7},          {1},     node_role::balancer,
                       "balancer-1", "spata", {{0x7F000001}, 6001},
                       "",           0,       0};
    report.applied = {applied == 0 ? 0U : 1U, applied};
    report.fresh = applied == 0;
    return report;
  };
  callbacks.on_update = [&](const table_update& update)
  {
    if (!hold)
      applied = update.version.index;
  };
  callbacks.on_confirmed = [](time_point) {};
  callbacks.on_order = [](node_order) {};
  callbacks.on_reachable = [](bool) {};
  node_client_options options;
  options.control = {rpc};
  options.report_interval = std::chrono::milliseconds(20);
  const auto node = node_client::start(options, callbacks);

  const auto client = connect();
  CHECK_TRUE(eventually(
      [&]
      {
        return client->status().value().nodes.size() == 1;
      }));
  const auto change = client->change(create("r1", 0, "defects", 80));
  CHECK_FALSE(client->in_force(change.value().index).value().in_force);
  hold = false;
  CHECK_TRUE(eventually(
      [&]
      {
        return client->in_force(change.value().index).value().in_force;
      }));
}

// Guards against an agent that does not get the list of flows of the process
// before it back.
TEST(control_server, started_node_gets_the_list_that_it_had_kept)
{
  const auto server = start_single(folder, rpc);
  std::mutex mutex;
  std::vector<std::string> received;
  std::string list;
  auto callbacks = callbacks_without_effect();
  callbacks.make_flow_list = [&]
  {
    const std::lock_guard lock(mutex);
    return list;
  };
  std::atomic<int> kept_count{0};
  callbacks.on_flow_list_kept = [&kept_count]
  {
    ++kept_count;
  };
  callbacks.on_kept_flows = [&](const std::string& kept)
  {
    const std::lock_guard lock(mutex);
    received.push_back(kept);
  };
  const auto received_count = [&]
  {
    const std::lock_guard lock(mutex);
    return received.size();
  };
  node_client_options options;
  options.control = {rpc};
  options.report_interval = std::chrono::milliseconds(20);
  auto node = node_client::start(options, callbacks);
  CHECK_TRUE(eventually(
      [&]
      {
        return received_count() == 1;
      }));
  {
    const std::lock_guard lock(mutex);
    list = std::string("flows\0of", 8);
  }
  CHECK_TRUE(eventually(
      [&]
      {
        return server->counters().flow_lists > 0 && kept_count > 0;
      }));
  node.reset();
  node = node_client::start(options, callbacks);
  CHECK_TRUE(eventually(
      [&]
      {
        return received_count() == 2;
      }));
  const std::lock_guard lock(mutex);
  CHECK_TRUE(received[0].empty());
  CHECK_TRUE(received[1] == list);
}

// Guards against a stopping agent whose last list is not kept since the
// instances that it asks first are being restarted.
TEST(control_server, list_goes_to_the_next_instance_without_another_report)
{
  const auto server = start_single(folder, rpc);
  std::atomic<int> reports{0};
  std::atomic<int> reports_until_kept{0};
  auto callbacks = callbacks_without_effect();
  callbacks.make_report = [&reports]
  {
    ++reports;
    return node_report{};
  };
  callbacks.make_flow_list = []
  {
    return std::string("list");
  };
  callbacks.on_flow_list_kept = [&]
  {
    if (reports_until_kept == 0)
      reports_until_kept = reports.load();
  };
  node_client_options options;
  options.control = {rpc};
  for (int i = 0; i < 6; ++i)
    options.control.push_back(free_endpoint());
  options.report_interval = std::chrono::milliseconds(300);
  const auto node = node_client::start(options, callbacks);
  CHECK_TRUE(eventually(
      [&]
      {
        return reports_until_kept > 0;
      }));
  // The first report brings the list of before, the second one stores.
  CHECK_TRUE(reports_until_kept <= 3);
}

// Guards against agents that connect to one control instance after the other
// for ever where none of them has a disk.
TEST(control_server, node_asks_instances_that_keep_no_lists_once_in_a_while)
{
  rpc = free_endpoint();
  const auto server = start(make_options("", {{{1}, rpc, true}}, 0));
  std::atomic<int> asked{0};
  std::atomic<int> reports{0};
  auto callbacks = callbacks_without_effect();
  callbacks.make_report = [&reports]
  {
    ++reports;
    return node_report{};
  };
  callbacks.make_flow_list = [&asked]
  {
    ++asked;
    return std::string("list");
  };
  node_client_options options;
  options.control = {rpc};
  options.report_interval = std::chrono::milliseconds(20);
  const auto node = node_client::start(options, callbacks);
  CHECK_TRUE(eventually(
      [&]
      {
        return reports > 50;
      }));
  CHECK_TRUE(asked <= 2);
  CHECK_EQUAL(0U, server->counters().flow_lists);
}

// Guards against reports that close each other's connections: several under way
// at once each opened one, the newest replaced the others, and each failure
// selected another instance, so that no report reached the leader.
TEST(control_server, requests_for_reports_do_not_add_up)
{
  const auto silent = free_endpoint();
  const int listener = listen_without_answers(silent);
  const auto server = start_single(folder, rpc);
  CHECK_TRUE(
      connect()->change(create("r1", 0, "defects", 80)).value().accepted);
  std::atomic<int> confirmed{0};
  node_callbacks callbacks{[]
                           {
                             return node_report{};
                           },
                           [](const table_update&) {},
                           [&](time_point)
                           {
                             ++confirmed;
                           },
                           [](node_order) {}, [](bool) {}};
  node_client_options options;
  options.control = {silent, rpc};
  const auto node = node_client::start(options, callbacks);
  CHECK_TRUE(eventually(
      [&]
      {
        node->report_now();
        return confirmed > 0;
      }));
  // The silent instance takes one report, which ends by its timeout.
  CHECK_EQUAL(1U, node->counters().failed_reports);
  close(listener);
}

// Guards against granting a claim to two requests, and against not replaying
// the stored answer.
TEST(control_server, claim_is_granted_once_and_its_answer_is_replayed)
{
  const auto server = start_single(folder, rpc);
  CHECK_TRUE(
      connect()->change(create("r1", 0, "defects", 80)).value().accepted);
  const auto id = connect()->services().value().services[0].id;
  node_callbacks callbacks{[]
                           {
                             return node_report{};
                           },
                           [](const table_update&) {}, [](time_point) {},
                           [](node_order) {}, [](bool) {}};
  node_client_options options;
  options.control = {rpc};
  const auto node = node_client::start(options, callbacks);
  const auto ask = [&](std::uint64_t claim)
  {
    std::atomic<bool> done{false};
    result<claim_outcome> found = claim_outcome{};
    node->claim({{id, "key"}, {claim}, {1, 2, 3}, 0},
                [&](const result<claim_outcome>& outcome)
                {
                  found = outcome;
                  done = true;
                });
    CHECK_TRUE(eventually(
        [&]
        {
          return done.load();
        }));
    return found.value();
  };
  CHECK_TRUE(ask(1).verdict == claim_verdict::granted);
  CHECK_TRUE(ask(1).verdict == claim_verdict::granted);
  CHECK_TRUE(ask(2).verdict == claim_verdict::in_progress);
  std::atomic<bool> stored{false};
  node->complete({{id, "key"}, {1}, "answer"},
                 [&](const result<void>&)
                 {
                   stored = true;
                 });
  CHECK_TRUE(eventually(
      [&]
      {
        return stored.load();
      }));
  const auto replay = ask(3);
  CHECK_TRUE(replay.verdict == claim_verdict::completed);
  CHECK_TRUE(replay.answer == "answer");
}

// Guards against a crash when a peer closes its connection: a send on the
// closed connection threw out of the RPC loop and terminated the remaining
// followers.
TEST(control_server, group_survives_leader_failure)
{
  std::vector<replica_address> group;
  for (std::uint64_t id = 1; id <= 3; ++id)
    group.push_back({{id}, free_endpoint(), true});
  std::vector<std::unique_ptr<control_server>> servers;
  for (std::size_t i = 0; i < group.size(); ++i)
    servers.push_back(
        start(make_options(folder + "/" + std::to_string(i), group, i)));
  const auto client = operator_client::connect(
      {group[0].rpc, group[1].rpc, group[2].rpc}, test_timeout);
  CHECK_TRUE(client->change(create("r1", 0, "defects", 80)).value().accepted);

  const auto leader = client->status().value().leader.value;
  servers[leader - 1].reset();
  const auto after = client->change(create("r2", 1, "records", 81));
  CHECK_TRUE(after.has_value());
  CHECK_TRUE(after.value().accepted);
  CHECK_EQUAL(2U, client->services().value().services.size());
}

// Guards against a control instance that terminates on invalid RPC bytes.
TEST(control_server, random_bytes_on_the_rpc_port_are_tolerated)
{
  const auto server = start_single(folder, rpc);
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_addr.s_addr = htonl(rpc.address.value);
  raw.sin_port = htons(rpc.port);
  std::mt19937_64 random(1);
  for (int i = 0; i < 50; ++i)
  {
    std::string bytes(1 + random() % 256, '\0');
    for (auto& octet : bytes)
      octet = static_cast<char>(random());
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    CHECK_EQUAL(0, connect_socket(descriptor, raw));
    CHECK_TRUE(send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0);
    close(descriptor);
  }
  CHECK_TRUE(
      connect()->change(create("r1", 0, "defects", 80)).value().accepted);
}

// Guards against nodes that never find the group again after a power loss,
// because all seeds keep their log in memory and know only each other.
TEST(control_server, leader_invites_a_seed_that_does_not_know_the_group)
{
  rpc = free_endpoint();
  const endpoint seed = free_endpoint();
  const endpoint unreachable = free_endpoint();
  auto options = make_options(folder, {{{1}, rpc, true}}, 0);
  options.seeds = {seed};
  const auto member = start(options);
  control_server_options seed_options = options;
  seed_options.rpc = seed;
  seed_options.seeds = {unreachable};
  seed_options.log.self = {2};
  seed_options.log.folder.clear();
  seed_options.log.initial_group.clear();
  auto learner = start(seed_options);
  const auto joined = [&]
  {
    const auto status = learner->status();
    return status.leader && status.leader->rpc == rpc &&
           status.group.size() == 2 && !status.group[1].voter;
  };
  CHECK_TRUE(eventually(joined));
  // The learner's previous id is still a member at this endpoint.
  learner.reset();
  seed_options.log.self = {3};
  learner = start(seed_options);
  CHECK_TRUE(eventually(joined));
}

// Guards against seeds that were exchanged while the leader ran, keep their log
// in memory, and never find the group after a restart.
TEST(control_server, leader_invites_the_seeds_of_changed_settings)
{
  rpc = free_endpoint();
  const endpoint seed = free_endpoint();
  auto options = make_options(folder, {{{1}, rpc, true}}, 0);
  options.seeds = {free_endpoint()};
  const auto member = start(options);
  member->use_seeds({seed});
  control_server_options seed_options = options;
  seed_options.rpc = seed;
  seed_options.log.self = {2};
  seed_options.log.folder.clear();
  seed_options.log.initial_group.clear();
  const auto learner = start(seed_options);
  CHECK_TRUE(eventually(
      [&]
      {
        return learner->status().leader.has_value();
      }));
}

// Guards against a member without a disk that is no seed and whose seeds don't
// know the group: it forgets the group when it restarts.
TEST(control_server, leader_invites_a_member_that_forgot_the_group)
{
  rpc = free_endpoint();
  auto options = make_options(folder, {{{1}, rpc, true}}, 0);
  options.seeds = {free_endpoint()};
  const auto member = start(options);
  control_server_options other_options = options;
  other_options.rpc = free_endpoint();
  other_options.seeds = {rpc};
  other_options.log.self = {2};
  other_options.log.folder.clear();
  other_options.log.initial_group.clear();
  auto learner = start(other_options);
  const auto knows_leader = [&]
  {
    return learner->status().leader.has_value();
  };
  CHECK_TRUE(eventually(knows_leader));
  learner.reset();
  other_options.seeds = {free_endpoint()};
  other_options.log.self = {3};
  learner = start(other_options);
  CHECK_TRUE(eventually(knows_leader));
}
