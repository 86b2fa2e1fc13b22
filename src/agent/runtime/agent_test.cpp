#include <CppUTest/TestHarness.h>

#include <future>

#include "agent_fixture_test.hpp"

using namespace toucanmill;
using namespace toucanmill::test;

namespace
{

std::uint64_t requests(const agent_status& status, request_event event)
{
  return status.counts.requests[static_cast<std::size_t>(event)];
}

std::uint64_t drops(const agent_status& status, dispatch_drop reason)
{
  return status.counts.drops[static_cast<std::size_t>(reason)];
}

} // namespace

TEST_GROUP(agent)
{
  memory_claim_client claims;
  upstream_server upstream;
  std::unique_ptr<agent> tested;
  std::unique_ptr<caller_stack> clients;

  void start(service_kind kind)
  {
    agent_options options;
    options.data = {loopback, 0};
    options.upstream = upstream.address();
    options.tcp.time_wait = duration::zero();
    tested = agent::start(options, claims).value();
    tested->set_table(table_of(tested->data_endpoint(), kind));
    tested->confirmed();
    clients = std::make_unique<caller_stack>(tested->data_endpoint());
  }

  tcp_connection_ptr connect(std::uint16_t port)
  {
    auto opened = clients->open(port);
    CHECK(clients->exchange_until(
        [&]
        {
          return clients->has<tcp_established>(opened);
        }));
    return opened;
  }

  void expect(const tcp_connection_ptr& connection, const std::string& bytes)
  {
    const bool arrived = clients->exchange_until(
        [&]
        {
          return clients->received(connection).size() >= bytes.size();
        });
    STRCMP_EQUAL(bytes.c_str(), clients->received(connection).c_str());
    CHECK(arrived);
  }

  /// Exchanges packets until the caller has received the text.
  bool receives(const tcp_connection_ptr& caller, const std::string& text)
  {
    return clients->exchange_until(
        [&]
        {
          return clients->received(caller).find(text) != std::string::npos;
        });
  }

  /// Sends a request, responds at the upstream, returns the relayed request
  /// head.
  std::string answer(const tcp_connection_ptr& caller,
                     const std::string& request, const std::string& response)
  {
    auto served = std::async(std::launch::async,
                             [&]
                             {
                               auto socket = upstream.accept();
                               auto head = read_head(socket);
                               asio::write(socket, asio::buffer(response));
                               return head;
                             });
    caller->send(request);
    clients->exchange_until(
        [&]
        {
          return served.wait_for(std::chrono::seconds(0)) ==
                 std::future_status::ready;
        });
    return served.get();
  }

  static std::string read_head(asio::ip::tcp::socket & socket)
  {
    std::string head;
    std::error_code error;
    asio::read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", error);
    return head;
  }
};

// Guards against lost octets, a half-close that ends both directions, and a
// bucket that stays held after its last flow.
TEST(agent, relays_a_stream_and_forgets_the_flow)
{
  start(service_kind::stream);
  const auto caller = connect(40000);
  auto socket = upstream.accept();
  caller->send("question");
  caller->finish();
  clients->exchange();
  auto read = std::async(std::launch::async,
                         [&socket]
                         {
                           return read_exactly(socket, 100);
                         });
  CHECK(clients->exchange_until(
      [&read]
      {
        return read.wait_for(std::chrono::seconds(0)) ==
               std::future_status::ready;
      }));
  STRCMP_EQUAL("question", read.get().c_str());
  CHECK_EQUAL(1, tested->status().held_buckets.size());
  asio::write(socket, asio::buffer(std::string("answer")));
  socket.close();
  expect(caller, "answer");
  CHECK(clients->exchange_until(
      [this]
      {
        const auto status = tested->status();
        return status.open_flows == 0 && status.held_buckets.empty() &&
               status.busy_sessions == 0;
      }));
}

// Guards against a slot that is not released, and a request that does not reach
// the upstream.
TEST(agent, relays_a_request_and_frees_its_slot)
{
  start(service_kind::http);
  const auto caller = connect(40000);
  const auto request = answer(caller, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
                              "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  CHECK(request.find("GET /a HTTP/1.1") == 0);
  CHECK(clients->exchange_until(
      [&]
      {
        const auto status = tested->status();
        return clients->received(caller).size() > 2 &&
               status.slots_in_use == 0 && status.busy_sessions == 0;
      }));
  CHECK(clients->received(caller).find("\r\n\r\nok") != std::string::npos);
  CHECK_EQUAL(1, requests(tested->status(), request_event::completed));
}

// Guards against a truncated response that looks complete to the caller.
TEST(agent, resets_the_caller_of_a_truncated_response)
{
  start(service_kind::http);
  const auto caller = connect(40000);
  answer(caller, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
         "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nonly this");
  CHECK(clients->exchange_until(
      [&]
      {
        return clients->end_of(caller).has_value();
      }));
  CHECK(clients->end_of(caller) == tcp_end::reset_by_peer);
  CHECK_EQUAL(1, requests(tested->status(), request_event::truncated_answer));
}

// Guards against running a repeated submission twice.
TEST(agent, replays_the_answer_of_a_repeated_submission)
{
  start(service_kind::http);
  const std::string request = "POST /s HTTP/1.1\r\nHost: h\r\n"
                              "Idempotency-Key: k\r\nContent-Length: 1\r\n"
                              "\r\nx";
  const auto first = connect(40000);
  answer(first, request, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  CHECK(receives(first, "\r\n\r\nok"));
  const auto second = connect(40001);
  second->send(request);
  CHECK(receives(second, "\r\n\r\nok"));
  CHECK_EQUAL(1, requests(tested->status(), request_event::replayed));
}

// Guards against unbounded buffering when a caller does not read.
TEST(agent, stops_reading_an_upstream_whose_caller_is_slow)
{
  constexpr std::size_t total = 64U << 20;
  // Kernel buffers on loopback hold a few megabytes in addition to the agent's.
  constexpr std::size_t limit = 16U << 20;
  start(service_kind::stream);
  const auto caller = connect(40000);
  auto socket = upstream.accept();
  socket.non_blocking(true);
  const std::string piece(65536, 'x');
  std::size_t sent = 0;
  // Stops after 200 rounds in which nothing could be sent.
  for (int stalled = 0; stalled < 200 && sent < total;)
  {
    std::error_code error;
    const auto size = socket.write_some(asio::buffer(piece), error);
    sent += size;
    stalled = size == 0 ? stalled + 1 : 0;
    clients->exchange();
    if (size == 0)
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  CHECK(sent < limit);
}

// Guards against a flow that no agent holds and that is not reset, and against
// a reset while the table may be stale.
TEST(agent, resets_an_unknown_flow_only_with_a_confirmed_table)
{
  start(service_kind::stream);
  const auto caller = connect(40000);
  // The first agent keeps running, since stopping it would reset the flow.
  const auto first = std::move(tested);
  agent_options options;
  options.data = {loopback, 0};
  options.upstream = upstream.address();
  tested = agent::start(options, claims).value();
  tested->set_table(table_of(tested->data_endpoint(), service_kind::stream));
  clients->set_agent(tested->data_endpoint());
  caller->send("x");
  CHECK(clients->exchange_until(
      [this]
      {
        return drops(tested->status(), dispatch_drop::table_not_confirmed) > 0;
      }));
  CHECK_FALSE(clients->end_of(caller).has_value());
  tested->confirmed();
  caller->send("y");
  CHECK(clients->exchange_until(
      [&]
      {
        tested->confirmed();
        return clients->end_of(caller).has_value();
      }));
  CHECK(clients->end_of(caller) == tcp_end::reset_by_peer);
}

// Guards against traffic of one service that reaches another.
TEST(agent, drops_packets_stamped_for_another_service)
{
  start(service_kind::stream);
  clients->stamped_service = {2};
  clients->open(40000);
  CHECK(clients->exchange_until(
      [this]
      {
        return drops(tested->status(), dispatch_drop::wrong_service) > 0;
      }));
  CHECK_EQUAL(0, tested->status().open_flows);
}

// Guards against malformed datagrams that stop the agent.
TEST(agent, counts_malformed_datagrams)
{
  start(service_kind::stream);
  auto channel = udp_channel::open({loopback, 0}).value();
  const std::uint8_t garbage[] = {0xff, 0x00, 0x12};
  channel.send(tested->data_endpoint(), {garbage, sizeof garbage}, {});
  channel.flush();
  CHECK(wait_for(
      [this]
      {
        const auto counts = tested->status().counts;
        std::uint64_t faults = counts.unstamped;
        for (const auto count : counts.faults)
          faults += count;
        return faults == 1;
      }));
  connect(40000);
}

// Guards against a drain that cuts off a request in flight, a connection that
// stays open after that request, and new flows at a leaving agent.
TEST(agent, leaving_ends_sessions_after_a_request_and_accepts_no_flow)
{
  start(service_kind::http);
  const auto caller = connect(40000);
  answer(caller, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  CHECK(receives(caller, "\r\n\r\nok"));
  tested->set_leaving(true);
  answer(caller, "GET /b HTTP/1.1\r\nHost: h\r\n\r\n",
         "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlast");
  CHECK(clients->exchange_until(
      [&]
      {
        return clients->has<tcp_peer_finished>(caller);
      }));
  CHECK(clients->received(caller).find("Connection: close\r\n"
                                       "Content-Length: 4\r\n\r\nlast") !=
        std::string::npos);
  clients->open(40001);
  CHECK(clients->exchange_until(
      [this]
      {
        return drops(tested->status(), dispatch_drop::leaving) > 0;
      }));
  CHECK_EQUAL(1, tested->status().counts.new_flows);
}
