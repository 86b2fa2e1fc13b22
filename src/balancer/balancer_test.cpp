#include <toucanmill/balancer/balancer.hpp>

#include <CppUTest/TestHarness.h>
#include <poll.h>
#include <sys/socket.h>

#include <random>
#include <thread>

#include "../packet/packet_builder_test.hpp"
#include "../table/table_builder_test.hpp"
#include "udp_socket.hpp"

using namespace toucanmill;
using namespace toucanmill::test;
using namespace std::chrono_literals;

namespace
{

const endpoint loopback = ip_endpoint(0x7F000001, 0);

/// Fails the test instead of hanging when the balancer sends nothing.
constexpr int receive_timeout_ms = 20000;

/// Fabric edge or agent with a loopback socket.
struct peer
{
  udp_socket socket = udp_socket::open(loopback, 1 << 20).value();

  endpoint local() const
  {
    return socket.local();
  }

  void send(const endpoint& to, const octets& datagram) const
  {
    const auto address = to_sockaddr(to);
    const auto sent =
        sendto(socket.descriptor(), datagram.data(), datagram.size(), 0,
               reinterpret_cast<const sockaddr*>(&address), sizeof address);
    CHECK_EQUAL(static_cast<ssize_t>(datagram.size()), sent);
  }

  octets receive() const
  {
    pollfd watched{socket.descriptor(), POLLIN, 0};
    CHECK_EQUAL(1, poll(&watched, 1, receive_timeout_ms));
    octets datagram(2048);
    const auto size =
        recv(socket.descriptor(), datagram.data(), datagram.size(), 0);
    CHECK_TRUE(size >= 0);
    datagram.resize(static_cast<std::size_t>(size));
    return datagram;
  }

  /// Receives messages until one equals `expected`.
  void await_message(fabric_message expected) const
  {
    constexpr unsigned max_messages = 100;
    for (unsigned i = 0; i < max_messages; ++i)
    {
      const auto datagram = receive();
      const auto decoded = decode_gue(view(datagram));
      if (std::get<fabric_message>(decoded) == expected)
        return;
    }
    FAIL("the expected message is not among the first 100");
  }
};

service_table service_with(std::uint32_t id, std::vector<endpoint> agents)
{
  auto service = build_service(id, 16, 1);
  service.holders.clear();
  for (const auto& agent : agents)
    service.holders.push_back({node_id{agent.port}, agent, false});
  return service;
}

routing_table table_with(std::vector<service_table> services)
{
  const table_update update{{1, 100}, true, std::move(services), {}};
  return routing_table{}.apply(update).value();
}

octets datagram_to(std::uint32_t service, std::uint16_t port = 40001)
{
  const flow_key flow{ip_endpoint(0xC6336401, port), public_address(service)};
  return encapsulate(encode_gue_header(), build_packet(flow, ack_flag, 10));
}

template <class Condition>
void wait_until(Condition condition)
{
  const auto end = std::chrono::steady_clock::now() + 20s;
  while (!condition())
  {
    CHECK_TRUE(std::chrono::steady_clock::now() < end);
    std::this_thread::sleep_for(1ms);
  }
}

} // namespace

TEST_GROUP(balancer)
{
  peer fabric;
  peer agent;
  peer other_agent;
  std::unique_ptr<balancer> subject = start();

  std::unique_ptr<balancer> start()
  {
    balancer_options options;
    options.listen = loopback;
    options.fabric = {fabric.local()};
    options.quiet_period = 50ms;
    return balancer::start(std::move(options)).value();
  }

  /// Service 1 at agent, service 2 at other_agent.
  void set_both_services()
  {
    CHECK_TRUE(subject->set_table(
        table_with({service_with(1, {agent.local()}),
                    service_with(2, {other_agent.local()})})));
    wait_until(
        [&]
        {
          return subject->applied_version().index == 100;
        });
  }

  void check_forwarded(const peer& receiver, std::uint32_t service)
  {
    const auto sent = datagram_to(service);
    fabric.send(subject->local_endpoint(), sent);
    const auto got = receiver.receive();
    const auto decoded = decode_gue(view(got));
    const auto& packet = std::get<gue_packet>(decoded);
    CHECK_EQUAL(service, packet.stamp.service.value);
    CHECK_TRUE(packet.stamp.return_to == fabric.local());
    CHECK_TRUE(
        octets(packet.inner.data, packet.inner.data + packet.inner.size) ==
        octets(sent.begin() + 4, sent.end()));
  }
};

// Guards against packets that are altered in transit or delivered to an agent
// of another service.
TEST(balancer, packets_reach_the_agents_of_their_service)
{
  set_both_services();
  for (unsigned i = 0; i < 100; ++i)
  {
    check_forwarded(agent, 1);
    check_forwarded(other_agent, 2);
  }
}

// Guards against a balancer that fabric edges never learn of, and against a
// retirement that drops packets that still arrive.
TEST(balancer, announces_itself_and_retires)
{
  set_both_services();
  fabric.await_message(fabric_message::announce);
  CHECK_FALSE(subject->retired());
  subject->retire();
  fabric.await_message(fabric_message::withdraw);
  check_forwarded(agent, 1);
  wait_until(
      [&]
      {
        return subject->retired();
      });
  check_forwarded(agent, 1);
}

// Guards against malformed datagrams that stop the balancer, reach an agent or
// are not counted.
TEST(balancer, malformed_datagrams_are_counted)
{
  set_both_services();
  std::mt19937_64 random(11);
  constexpr std::uint64_t rounds = 2000;
  for (std::uint64_t i = 0; i < rounds; ++i)
  {
    auto datagram = datagram_to(1);
    datagram.resize(random() % 3000);
    if (!datagram.empty())
      datagram[random() % std::min<std::size_t>(datagram.size(), 24)] ^= 0x15;
    fabric.send(subject->local_endpoint(), datagram);
    // Keeps the receive buffer of the balancer from overflowing.
    if (i % 25 == 24)
      check_forwarded(agent, 1);
  }
  wait_until(
      [&]
      {
        return subject->counters().forwarding.forwarded == rounds / 25;
      });
  const auto counters = subject->counters();
  std::uint64_t dropped = 0;
  for (const auto count : counters.forwarding.faults)
    dropped += count;
  for (const auto count : counters.forwarding.drops)
    dropped += count;
  CHECK_EQUAL(rounds, dropped);
}

// Guards against one agent with an unusable address that makes the packets to
// all other agents in the batch fail.
TEST(balancer, failed_send_affects_one_packet_only)
{
  const auto unusable = ip_endpoint(0x7F000001, 0);
  CHECK_TRUE(subject->set_table(table_with(
      {service_with(1, {agent.local()}), service_with(2, {unusable})})));
  wait_until(
      [&]
      {
        return subject->applied_version().index == 100;
      });
  for (unsigned i = 0; i < 20; ++i)
  {
    fabric.send(subject->local_endpoint(), datagram_to(2));
    fabric.send(subject->local_endpoint(), datagram_to(1));
  }
  for (unsigned i = 0; i < 20; ++i)
    agent.receive();
  wait_until(
      [&]
      {
        return subject->counters().send_failures == 20;
      });
}

// Guards against an older table that replaces a newer one.
TEST(balancer, older_table_is_ignored)
{
  set_both_services();
  CHECK_TRUE(subject->set_table(
      routing_table{}.apply({{1, 99}, true, {}, {}}).value()));
  wait_until(
      [&]
      {
        return subject->counters().tables_ignored == 1;
      });
  CHECK_TRUE(subject->applied_version() == (table_version{1, 100}));
  check_forwarded(agent, 1);
}

// Guards against a start() that reports success when the bind fails.
TEST(balancer, address_in_use_is_an_error)
{
  balancer_options options;
  options.listen = subject->local_endpoint();
  const auto second = balancer::start(std::move(options));
  CHECK_TRUE(second.has_error());
  CHECK_TRUE(second.error().code == error_code::io_failure);
}
