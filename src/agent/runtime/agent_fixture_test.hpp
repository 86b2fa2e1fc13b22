#ifndef TOUCANMILL_SRC_AGENT_RUNTIME_AGENT_FIXTURE_TEST_HPP
#define TOUCANMILL_SRC_AGENT_RUNTIME_AGENT_FIXTURE_TEST_HPP

#include <asio.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <toucanmill/agent/agent.hpp>
#include <toucanmill/net/udp_channel.hpp>
#include <toucanmill/packet/gue.hpp>
#include <toucanmill/table/flow_hash.hpp>

namespace toucanmill::test
{

inline constexpr ipv4_address loopback{0x7f000001};
inline const endpoint service_address{{0xCB00710A}, 80};

/// Polls the condition for at most 20 s; only a failing test waits that long.
template <class Done>
bool wait_for(Done done)
{
  const auto limit =
      std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (std::chrono::steady_clock::now() < limit)
  {
    if (done())
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return done();
}

/// Blocking TCP server for one connection at a time.
class upstream_server
{
public:
  using tcp = asio::ip::tcp;

  endpoint address() const
  {
    return {loopback, acceptor_.local_endpoint().port()};
  }

  tcp::socket accept()
  {
    return acceptor_.accept();
  }

private:
  asio::io_context context_;
  tcp::acceptor acceptor_{context_,
                          tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
};

inline std::string read_exactly(asio::ip::tcp::socket& socket, std::size_t size)
{
  std::string bytes(size, '\0');
  std::error_code error;
  bytes.resize(asio::read(socket, asio::buffer(bytes), error));
  return bytes;
}

/// Table of a service with one agent that owns all buckets.
inline service_table table_of(const endpoint& agent, service_kind kind,
                              std::uint64_t index = 1)
{
  service_table table;
  table.id = {1};
  table.name = "test";
  table.address = service_address;
  table.kind = kind;
  table.version = {1, index};
  table.holders = {{{1}, agent, false}};
  chain owner;
  owner.size = 1;
  table.buckets.assign(16, owner);
  return table;
}

/// TCP stack of the callers. Its packets are stamped and sent to an agent, as
/// by a fabric edge and a balancer.
class caller_stack
{
public:
  explicit caller_stack(const endpoint& agent) : agent_(agent) {}

  tcp_connection_ptr open(std::uint16_t port)
  {
    return stack_.open({{0x0A010203}, port}, service_address).value();
  }

  /// Sends all further packets to this agent.
  void set_agent(const endpoint& agent)
  {
    agent_ = agent;
  }

  /// Sends the queued packets and processes those received from the agent.
  void exchange()
  {
    for (auto& event : stack_.take_events())
      events.push_back(std::move(event));
    const auto packets = stack_.take_packets();
    for (const auto& entry : packets.entries())
      send({entry.source, entry.destination}, packets.bytes(entry));
    channel_.flush();
    channel_.receive(
        [this](byte_view datagram, const endpoint&)
        {
          const auto decoded = decode_gue(datagram);
          const auto parsed =
              parse_tcp_packet(std::get<gue_packet>(decoded).inner);
          stack_.inject(std::get<tcp_packet>(parsed));
        });
  }

  template <class Done>
  bool exchange_until(Done done)
  {
    return wait_for(
        [this, &done]
        {
          exchange();
          return done();
        });
  }

  void send(const flow_key& flow, byte_view packet)
  {
    route_stamp stamp;
    stamp.service = stamped_service;
    stamp.version = {1, 1};
    stamp.bucket = static_cast<std::uint16_t>(bucket_of(flow_hash(flow), 16));
    stamp.return_to = channel_.local();
    stamp.chain.size = 1;
    stamp.chain.holders[0] = agent_;
    const auto header = encode_gue_header(stamp);
    channel_.send(agent_, {header.bytes.data(), header.size}, packet);
  }

  std::string received(const tcp_connection_ptr& connection) const
  {
    std::string bytes;
    for (const auto& event : events)
      if (const auto* part = std::get_if<tcp_received>(&event.what);
          part != nullptr && event.connection == connection)
        bytes += part->bytes;
    return bytes;
  }

  std::optional<tcp_end> end_of(const tcp_connection_ptr& connection) const
  {
    for (const auto& event : events)
      if (const auto* closed = std::get_if<tcp_closed>(&event.what);
          closed != nullptr && event.connection == connection)
        return closed->reason;
    return std::nullopt;
  }

  template <class What>
  bool has(const tcp_connection_ptr& connection) const
  {
    for (const auto& event : events)
      if (event.connection == connection &&
          std::holds_alternative<What>(event.what))
        return true;
    return false;
  }

  std::vector<tcp_event> events;
  service_id stamped_service{1};

private:
  endpoint agent_;
  udp_channel channel_ = udp_channel::open({loopback, 0}).value();
  tcp_stack stack_{{}, [] {}};
};

} // namespace toucanmill::test

#endif
