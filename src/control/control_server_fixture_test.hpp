#ifndef TOUCANMILL_SRC_CONTROL_CONTROL_SERVER_FIXTURE_TEST_HPP
#define TOUCANMILL_SRC_CONTROL_CONTROL_SERVER_FIXTURE_TEST_HPP

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <filesystem>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <toucanmill/control/control_server.hpp>
#include <toucanmill/control/operator_client.hpp>

namespace toucanmill::control_test
{

constexpr auto test_timeout = std::chrono::seconds(20);

inline std::string make_folder()
{
  char name[] = "/tmp/toucanmill-control-test-XXXXXX";
  return mkdtemp(name);
}

inline control_server_options make_options(const std::string& folder,
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

inline bool is_free(const endpoint& candidate)
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
inline endpoint free_endpoint()
{
  static std::uint16_t next =
      static_cast<std::uint16_t>(20000 + getpid() % 9000);
  endpoint candidate{{INADDR_LOOPBACK}, next++};
  while (!is_free(candidate))
    candidate.port = next++;
  return candidate;
}

inline std::unique_ptr<control_server>
start(const control_server_options& options)
{
  auto server = control_server::start(options);
  if (!server)
    FAIL(server.error().message.c_str());
  return std::move(server.value());
}

/// Starts a group with a single member.
inline std::unique_ptr<control_server> start_single(const std::string& folder,
                                                    endpoint& rpc)
{
  rpc = free_endpoint();
  return start(make_options(folder, {{{1}, rpc, true}}, 0));
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

inline operator_request create(const std::string& id, std::uint64_t version,
                               const std::string& name, std::uint16_t port)
{
  return {id, version,
          create_service{name, {{0xCB00710A}, port}, service_kind::http, 64},
          0};
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

/// A folder of its own for each test.
struct control_server_fixture : Utest
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

} // namespace toucanmill::control_test

#endif
