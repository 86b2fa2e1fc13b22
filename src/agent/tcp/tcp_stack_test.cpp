#include <CppUTest/TestHarness.h>

#include <atomic>
#include <chrono>
#include <cstring>
#include <string>
#include <thread>
#include <vector>

#include <toucanmill/agent/tcp_stack.hpp>

namespace
{

using namespace toucanmill;

const endpoint service{{0xCB00710A}, 80};
const endpoint caller{{0x0A010203}, 40000};

template <class What>
std::vector<const tcp_event*> of_kind(const std::vector<tcp_event>& events)
{
  std::vector<const tcp_event*> found;
  for (const auto& event : events)
    if (std::holds_alternative<What>(event.what))
      found.push_back(&event);
  return found;
}

std::string received(const std::vector<tcp_event>& events)
{
  std::string bytes;
  for (const auto* event : of_kind<tcp_received>(events))
    bytes += std::get<tcp_received>(event->what).bytes;
  return bytes;
}

tcp_stack_options quick_options()
{
  tcp_stack_options options;
  options.time_wait = duration::zero();
  return options;
}

/// A stack and all its events so far.
struct side
{
  tcp_stack stack{quick_options(), [] {}};
  std::vector<tcp_event> events;

  void collect()
  {
    for (auto& event : stack.take_events())
      events.push_back(std::move(event));
  }
};

bool transfer(tcp_stack& from, tcp_stack& to)
{
  const auto batch = from.take_packets();
  for (const auto& entry : batch.entries())
  {
    const auto parsed = parse_tcp_packet(batch.bytes(entry));
    CHECK(std::holds_alternative<tcp_packet>(parsed));
    to.inject(std::get<tcp_packet>(parsed));
  }
  return batch.size() != 0;
}

/// Transfers packets between both sides until neither sends any.
void exchange(side& left, side& right)
{
  while (transfer(left.stack, right.stack) | transfer(right.stack, left.stack))
    continue;
  left.collect();
  right.collect();
}

template <class Done>
void exchange_until(side& left, side& right, Done done)
{
  const auto limit =
      std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (!done() && std::chrono::steady_clock::now() < limit)
  {
    exchange(left, right);
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  CHECK(done());
}

} // namespace

TEST_GROUP(tcp_stack)
{
  side client;
  side server;
  tcp_connection_ptr opened;
  tcp_connection_ptr accepted;

  void connect()
  {
    CHECK(server.stack.listen(service).has_value());
    opened = client.stack.open(caller, service).value();
    exchange(client, server);
    const auto established = of_kind<tcp_established>(server.events);
    CHECK_EQUAL(1, established.size());
    CHECK_EQUAL(1, of_kind<tcp_established>(client.events).size());
    accepted = established.front()->connection;
  }
};

// Guards against octets lost or reordered between two stacks, and against an
// accepted connection with wrong addresses.
TEST(tcp_stack, carries_octets_both_ways)
{
  connect();
  CHECK(accepted->remote() == caller);
  CHECK(accepted->local() == service);
  CHECK_EQUAL(5, opened->send("hello"));
  exchange(client, server);
  CHECK_EQUAL(6, accepted->send("answer"));
  exchange(client, server);
  STRCMP_EQUAL("hello", received(server.events).c_str());
  STRCMP_EQUAL("answer", received(client.events).c_str());
}

// Guards against a half-close that stops the other direction.
TEST(tcp_stack, half_close_leaves_the_other_direction_open)
{
  connect();
  opened->finish();
  exchange(client, server);
  CHECK_EQUAL(1, of_kind<tcp_peer_finished>(server.events).size());
  accepted->send("late");
  exchange(client, server);
  STRCMP_EQUAL("late", received(client.events).c_str());
}

// Guards against a flow that stays registered after both sides have closed,
// which would keep its bucket held indefinitely.
TEST(tcp_stack, reports_the_end_of_both_sides_after_a_close)
{
  connect();
  opened->finish();
  exchange(client, server);
  accepted->finish();
  exchange_until(client, server,
                 [this]
                 {
                   return client.stack.flow_count() == 0 &&
                          server.stack.flow_count() == 0;
                 });
  exchange(client, server);
  for (auto* events : {&client.events, &server.events})
  {
    const auto closed = of_kind<tcp_closed>(*events);
    CHECK_EQUAL(1, closed.size());
    CHECK(std::get<tcp_closed>(closed.front()->what).reason ==
          tcp_end::finished);
  }
}

// Guards against a truncated response that looks complete to the caller.
TEST(tcp_stack, reset_reaches_the_peer)
{
  connect();
  accepted->reset();
  exchange(client, server);
  const auto closed = of_kind<tcp_closed>(client.events);
  CHECK_EQUAL(1, closed.size());
  CHECK(std::get<tcp_closed>(closed.front()->what).reason ==
        tcp_end::reset_by_peer);
  CHECK_EQUAL(0, opened->send("nobody"));
}

// Guards against unbounded buffering when the receiver does not read.
TEST(tcp_stack, sender_waits_for_the_receiver)
{
  connect();
  const std::string bytes(1U << 20, 'x');
  std::size_t sent = 0;
  for (int round = 0; round < 50; ++round)
  {
    sent += opened->send(std::string_view(bytes).substr(sent));
    exchange(client, server);
  }
  const auto unread = received(server.events).size();
  CHECK(unread <= 0xffff);
  CHECK(sent <= std::size_t{4} * 0xffff);
  accepted->consume(unread);
  sent += opened->send(std::string_view(bytes).substr(sent));
  exchange(client, server);
  CHECK(received(server.events).size() > unread);
}

// Guards against a flow that stays registered although its handshake never
// completes.
TEST(tcp_stack, reports_a_flow_that_ends_before_it_is_established)
{
  CHECK(server.stack.listen(service).has_value());
  opened = client.stack.open(caller, service).value();
  transfer(client.stack, server.stack);
  CHECK_EQUAL(1, server.stack.flow_count());
  transfer(server.stack, client.stack);
  client.stack.take_packets();
  opened->reset();
  exchange(client, server);
  CHECK_EQUAL(0, server.stack.flow_count());
  CHECK_EQUAL(1, of_kind<tcp_closed>(server.events).size());
}

// Guards against counting a SYN without a listener as a flow.
TEST(tcp_stack, keeps_no_state_of_a_refused_syn)
{
  opened = client.stack.open(caller, service).value();
  const auto batch = client.stack.take_packets();
  const auto parsed = parse_tcp_packet(batch.bytes(batch.entries().front()));
  CHECK_FALSE(server.stack.inject(std::get<tcp_packet>(parsed)));
  exchange(client, server);
  CHECK_EQUAL(0, client.stack.flow_count());
}

// Guards against a packet of an unknown flow that gets no response.
TEST(tcp_stack, send_reset_ends_the_flow_of_the_sender)
{
  connect();
  opened->send("x");
  const auto batch = client.stack.take_packets();
  const auto parsed = parse_tcp_packet(batch.bytes(batch.entries().front()));
  server.stack.send_reset(std::get<tcp_packet>(parsed));
  exchange(client, server);
  CHECK_EQUAL(0, client.stack.flow_count());
}

// Guards against packets that exceed the encapsulation's limit.
TEST(tcp_stack, packets_fit_the_encapsulation)
{
  connect();
  opened->send(std::string(20000, 'x'));
  const auto batch = client.stack.take_packets();
  for (const auto& entry : batch.entries())
    CHECK(entry.size <= max_inner_packet);
}

// Guards against a flow to an unresponsive peer that is never closed.
TEST(tcp_stack, silent_peer_is_given_up)
{
  tcp_stack_options options;
  options.keepalive_idle = std::chrono::seconds(1);
  options.keepalive_interval = std::chrono::milliseconds(500);
  options.keepalive_probes = 1;
  tcp_stack stack(options, [] {});
  CHECK(server.stack.listen(service).has_value());
  opened = stack.open(caller, service).value();
  while (transfer(stack, server.stack) | transfer(server.stack, stack))
    continue;
  const auto limit =
      std::chrono::steady_clock::now() + std::chrono::seconds(30);
  while (stack.flow_count() != 0 && std::chrono::steady_clock::now() < limit)
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  const auto events = stack.take_events();
  const auto closed = of_kind<tcp_closed>(events);
  CHECK_EQUAL(1, closed.size());
  CHECK(std::get<tcp_closed>(closed.front()->what).reason ==
        tcp_end::timed_out);
}
