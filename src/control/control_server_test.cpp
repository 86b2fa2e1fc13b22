#include <toucanmill/control/control_server.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <future>
#include <mutex>
#include <random>
#include <thread>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <toucanmill/control/node_client.hpp>
#include <toucanmill/control/operator_client.hpp>
#include <toucanmill/control/rpc_connection.hpp>

using namespace toucanmill;

namespace
{

constexpr auto test_timeout = std::chrono::seconds(20);

std::string make_folder()
{
  char name[] = "/tmp/toucanmill-control-test-XXXXXX";
  return mkdtemp(name);
}

control_server_options make_options(const std::string& folder,
                                    std::vector<replica_address> group,
                                    std::size_t self)
{
  control_server_options options;
  options.rpc = group[self].rpc;
  options.log.self = group[self].id;
  options.log.folder = folder;
  options.log.initial_group = std::move(group);
  options.log.random_seed = self;
  options.notify = [](const control_notice&) {};
  return options;
}

bool is_free(const endpoint& candidate)
{
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_addr.s_addr = htonl(candidate.address.value);
  raw.sin_port = htons(candidate.port);
  const bool free = bind(descriptor, reinterpret_cast<const sockaddr*>(&raw),
                         sizeof raw) == 0;
  close(descriptor);
  return free;
}

/// Returns a different free loopback endpoint with each call. The port is below
/// the ephemeral range, so that no outgoing connection takes it first.
endpoint free_endpoint()
{
  static std::uint16_t next =
      static_cast<std::uint16_t>(20000 + getpid() % 9000);
  endpoint candidate{{INADDR_LOOPBACK}, next++};
  while (!is_free(candidate))
    candidate.port = next++;
  return candidate;
}

int connect_socket(int descriptor, const sockaddr_in& to)
{
  return connect(descriptor, reinterpret_cast<const sockaddr*>(&to), sizeof to);
}

std::unique_ptr<control_server> start(const control_server_options& options)
{
  auto server = control_server::start(options);
  if (!server)
    FAIL(server.error().message.c_str());
  return std::move(server.value());
}

/// Starts a group with a single member.
std::unique_ptr<control_server> start_single(const std::string& folder,
                                             endpoint& rpc)
{
  rpc = free_endpoint();
  return start(make_options(folder, {{{1}, rpc, true}}, 0));
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

template <class Condition>
bool eventually(Condition condition)
{
  const auto until = std::chrono::steady_clock::now() + test_timeout;
  while (!condition())
  {
    if (std::chrono::steady_clock::now() > until)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return true;
}

operator_request create(const std::string& id, std::uint64_t version,
                        const std::string& name, std::uint16_t port)
{
  return {id, version,
          create_service{name, {{0xCB00710A}, port}, service_kind::http, 64},
          0};
}

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

/// Three instances, in the order of their ids from 1.
struct server_group
{
  std::vector<replica_address> members;
  std::vector<std::unique_ptr<control_server>> servers;
  std::unique_ptr<operator_client> client;

  server_group(const std::string& folder,
               const std::vector<std::string>& data_centres)
  {
    for (std::uint64_t id = 1; id <= 3; ++id)
      members.push_back({{id}, free_endpoint(), true});
    for (std::size_t i = 0; i < members.size(); ++i)
    {
      auto options = make_options(folder + "/" + std::to_string(i), members, i);
      options.data_centres = data_centres;
      servers.push_back(start(options));
    }
    client = operator_client::connect(
        {members[0].rpc, members[1].rpc, members[2].rpc}, test_timeout);
  }

  std::size_t leader() const
  {
    return client->status().value().leader.value - 1;
  }
};

} // namespace

TEST_GROUP(control_server)
{
  std::string folder = make_folder();
  endpoint rpc;

  void teardown() override
  {
    std::filesystem::remove_all(folder);
  }

  std::unique_ptr<operator_client> connect() const
  {
    return operator_client::connect({rpc}, test_timeout);
  }
};

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
  node_callbacks callbacks;
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
  node_callbacks callbacks;
  callbacks.make_report = []
  {
    return node_report{};
  };
  callbacks.on_update = [](const table_update&) {};
  callbacks.on_confirmed = [](time_point) {};
  callbacks.on_order = [](node_order) {};
  callbacks.on_reachable = [](bool) {};
  callbacks.make_flow_list = [&]
  {
    const std::lock_guard lock(mutex);
    return list;
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
        return server->counters().flow_lists > 0;
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

// Guards against agents that connect to one control instance after the other
// for ever where none of them has a disk.
TEST(control_server, node_asks_instances_that_keep_no_lists_once_in_a_while)
{
  rpc = free_endpoint();
  const auto server = start(make_options("", {{{1}, rpc, true}}, 0));
  std::atomic<int> asked{0};
  std::atomic<int> reports{0};
  node_callbacks callbacks;
  callbacks.make_report = [&reports]
  {
    ++reports;
    return node_report{};
  };
  callbacks.on_update = [](const table_update&) {};
  callbacks.on_confirmed = [](time_point) {};
  callbacks.on_order = [](node_order) {};
  callbacks.on_reachable = [](bool) {};
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

// Guards against an order that is lost or carried out twice when the leader
// ends after it appended the order and before it acknowledged it.
TEST(control_server, order_outlives_a_leader_that_has_not_acknowledged_it)
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
TEST(control_server, order_without_a_quorum_is_not_acknowledged)
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
TEST(control_server, other_instances_name_the_leader_for_an_order)
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

// Guards against a crash of the tool when its time is up just after another
// instance was named: the connection that is left behind was destroyed after
// the event loop that it uses.
TEST(control_server, client_ends_just_after_it_was_sent_to_the_leader)
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

// Guards against an order that is lost on restart, and against a resent request
// that undoes the opposite order of another operator.
TEST(control_server, orders_survive_restart_and_resent_request_is_idempotent)
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
TEST(control_server, opposite_order_from_the_same_version_is_refused)
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
TEST(control_server, order_for_an_unknown_data_centre_changes_nothing)
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
