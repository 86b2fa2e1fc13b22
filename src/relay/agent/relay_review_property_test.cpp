// Properties of relay_core that hold for any order of events.

#include <toucanmill/relay/relay_core.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <set>

#include "../relay_fixture_test.hpp"

using namespace toucanmill;
using namespace toucanmill::relay_test;

namespace
{

const endpoint upstream_address = endpoint_at(3, 8080);

/// Room for few packets, so that it runs out.
constexpr std::size_t max_held_data = 4'000;

relay_options options()
{
  auto value = agent_options(start - 1s);
  value.admission = admission_mode::objectives;
  value.queue.max_data = max_held_data;
  return value;
}

/// Octets of a packet: port, position, and whether it opens, ends or resets its
/// flow.
using octets = std::array<std::uint8_t, 5>;

octets bytes_of(const flow_packet& packet)
{
  const auto port = packet.source.port;
  return {static_cast<std::uint8_t>(port >> 8), static_cast<std::uint8_t>(port),
          static_cast<std::uint8_t>(packet.sequence >> 8),
          static_cast<std::uint8_t>(packet.sequence),
          static_cast<std::uint8_t>((packet.opens ? 1 : 0) +
                                    (packet.finishes ? 2 : 0) +
                                    (packet.resets ? 4 : 0))};
}

/// An agent with a simulated upstream. The sink checks what must never happen.
class simulation final : private relay_sink
{
public:
  explicit simulation(unsigned seed) : random_(seed)
  {
    core_.set_configuration(routes(5));
    announce();
  }

  void run(int steps)
  {
    for (int i = 0; i < steps; ++i)
    {
      now_ += std::chrono::microseconds(random_() % 12'000);
      if (chance(300))
        now_ += std::chrono::milliseconds(random_() % 3'500);
      step();
      if (now_ >= next_service_)
      {
        core_.serve_held(now_, *this);
        next_service_ = now_ + 20ms;
      }
      if (now_ >= next_tick_)
      {
        core_.on_tick(now_, *this);
        next_tick_ = now_ + 1s;
        if (!silent_)
          announce();
      }
      CHECK_TRUE(core_.status(now_).held_data <= max_held_data);
      CHECK_TRUE(core_.status(now_).held_openings <= 256);
    }
  }

  /// Ends all flows, and checks that nothing is held or counted any more.
  void settle()
  {
    evacuated_ = true; // checks that nothing more is opened
    core_.set_evacuated(true);
    silent_ = false;
    announce();
    for (const auto& [port, flow] : flows_)
    {
      auto reset = answer(packet_of(port));
      reset.resets = true;
      core_.on_upstream_packet({}, reset, now_, *this);
    }
    core_.serve_held(now_, *this);
    CHECK_FALSE(core_.holds_packets());
    CHECK_EQUAL(0U, core_.status(now_).busy);
    CHECK_EQUAL(0U, core_.status(now_).flows);
    CHECK_EQUAL(0U, core_.status(now_).held_data);
    // Counts that the status does not show would keep flows from an idle
    // upstream.
    now_ += 60s; // the share of a failing upstream has grown back
    evacuated_ = draining_ = false;
    core_.set_evacuated(false);
    announce();
    const auto port = new_port_++;
    const auto before = deliveries_;
    auto message = visit();
    message.header.stops.add(endpoint_at(102));
    visit_with(opening(port), message);
    visit_with(opening(new_port_++), message);
    CHECK_EQUAL(before + 2, deliveries_);
  }

  std::uint64_t count_of(relay_event event) const
  {
    return core_.status(now_).events[static_cast<std::size_t>(event)];
  }

private:
  struct flow
  {
    std::uint32_t next = 1; ///< position of the caller's next data
    std::map<std::uint32_t, int> sent;
    std::map<std::uint32_t, int> received;
    bool opened = false; ///< the upstream has it
    std::uint32_t tag = 0;
  };

  bool chance(unsigned one_in)
  {
    return random_() % one_in == 0;
  }

  configuration routes(std::uint64_t version)
  {
    auto value = routes_to(version, {{"notes", 1}});
    value.routes[0].timeout_ms = 1500;
    value.routes[0].objectives = {request_kind::idempotent, 200, 0};
    return value;
  }

  relay_message visit()
  {
    relay_message message;
    message.header.service = key_of_service("notes");
    message.header.configuration = 5;
    message.header.balancer = endpoint_at(1, 7720);
    message.header.stops.add(endpoint_at(101));
    return message;
  }

  flow_packet packet_of(std::uint16_t port)
  {
    auto packet = data(port);
    packet.payload_size = 0;
    packet.sequence = flows_[port].next;
    return packet;
  }

  std::uint64_t wall_clock_ms() const
  {
    return 100'000 + static_cast<std::uint64_t>(
                         std::chrono::duration_cast<std::chrono::milliseconds>(
                             now_ - start)
                             .count());
  }

  void announce()
  {
    upstream_announcement value;
    value.instance = "i-" + std::to_string(life_);
    value.service = "notes";
    value.address = upstream_address;
    value.slots = 2;
    value.sequence = ++sequence_;
    value.born_ms = born_ms_;
    value.draining = draining_;
    core_.announce(value, wall_clock_ms(), now_, *this);
  }

  void visit_with(const flow_packet& packet, relay_message message)
  {
    const auto bytes = bytes_of(packet);
    message.packet = {bytes.data(), bytes.size()};
    core_.on_visit(message, packet, now_, *this);
  }

  void step()
  {
    if (chance(3))
      open();
    else if (chance(150))
      restart_upstream();
    else if (chance(150))
      set_draining();
    else if (chance(150))
      core_.set_evacuated(evacuated_ = !evacuated_);
    else if (chance(100))
      silent_ = !silent_;
    else if (!flows_.empty())
      use(std::next(flows_.begin(),
                    static_cast<std::ptrdiff_t>(random_() % flows_.size()))
              ->first);
  }

  void open()
  {
    auto port = new_port_;
    const bool copy = chance(4) && port > 100;
    if (copy)
      --port;
    else
      ++new_port_;
    flows_[port];
    visit_with(opening(port, copy ? 1 : 0), visit());
  }

  void restart_upstream()
  {
    ++life_;
    sequence_ = 0;
    born_ms_ = wall_clock_ms();
    // Nothing that was sent to the previous start matters any more.
    for (auto& [port, flow] : flows_)
      flow.opened = false;
    announce();
    draining_ = false;
    announce();
  }

  void set_draining()
  {
    draining_ = !draining_;
    announce();
  }

  void use(std::uint16_t port)
  {
    auto& flow = flows_[port];
    if (flow.opened && !silent_ && chance(2))
      return respond(port);
    if (!flow.opened)
      return;
    auto packet = packet_of(port);
    if (chance(30))
    {
      packet.resets = true;
      return visit_with(packet, visit());
    }
    if (chance(20))
    {
      packet.finishes = true;
      return visit_with(packet, visit());
    }
    if (chance(5) && flow.next > 1) // a retransmission
      packet.sequence = flow.next - 100;
    else
      flow.next += 100;
    packet.payload_size = 100;
    ++flow.sent[packet.sequence];
    visit_with(packet, visit());
  }

  void respond(std::uint16_t port)
  {
    auto& flow = flows_[port];
    auto packet = packet_of(port);
    if (chance(40))
    {
      const auto returned = bounced(data(port), flow.tag);
      flow.opened = false;
      return core_.on_upstream_packet({}, returned, now_, *this);
    }
    auto response = answer(packet);
    response.payload_size = 100;
    response.finishes = chance(30);
    response.resets = chance(60);
    response.response_status = chance(5) ? 503 : 200;
    core_.on_upstream_packet({}, response, now_, *this);
    if (chance(4)) // the response continues in another packet
      core_.on_upstream_packet({}, response, now_, *this);
  }

  void deliver(byte_view packet, std::uint32_t tag) override
  {
    ++deliveries_;
    CHECK_EQUAL(5U, packet.size);
    const auto port =
        static_cast<std::uint16_t>(packet.data[0] << 8 | packet.data[1]);
    const auto position =
        static_cast<std::uint32_t>(packet.data[2] << 8 | packet.data[3]);
    auto& flow = flows_[port];
    flow.tag = tag;
    if ((packet.data[4] & 1) != 0)
    {
      // A copy for a flow that the upstream has is no new flow.
      CHECK_TRUE(flow.opened || (!evacuated_ && !draining_));
      flow.opened = true;
      return;
    }
    if (packet.data[4] != 0)
      return;
    // Nothing is delivered that its caller did not send, or more often.
    CHECK_TRUE(++flow.received[position] <= flow.sent[position]);
  }
  void send(const endpoint&, const relay_header&, byte_view) override {}
  void reply(const endpoint&, byte_view) override {}
  void reset(const flow_key& flow, std::uint32_t) override
  {
    // Only flows of an upstream that has ended.
    CHECK_FALSE(flows_[flow.caller.port].opened);
  }
  void record(const relay_decision&) override {}
  void record_latency(relay_timing what, duration taken) override
  {
    if (what == relay_timing::held)
      CHECK_TRUE(taken <= 1500ms);
  }

  std::mt19937 random_;
  time_point now_ = start;
  time_point next_service_ = start;
  time_point next_tick_ = start;
  std::uint64_t life_ = 1;
  std::uint64_t sequence_ = 0;
  std::uint64_t born_ms_ = 99'000;
  bool draining_ = false;
  bool evacuated_ = false;
  bool silent_ = false;
  std::uint16_t new_port_ = 100;
  std::map<std::uint16_t, flow> flows_;
  std::size_t deliveries_ = 0;
  relay_core core_{options()};
};

} // namespace

TEST_GROUP(relay_review_property){};

// Guards against counters that drift, packets that are delivered twice because
// they were held, flows that are opened at an upstream that takes none, and
// queues that keep what no event releases.
TEST(relay_review_property, any_order_of_events_leaves_nothing_behind)
{
  // The simulation must reach what it checks.
  std::map<relay_event, std::uint64_t> reached = {
      {relay_event::held_request, 0},     {relay_event::held_opening, 0},
      {relay_event::held_copy, 0},        {relay_event::opening_expired, 0},
      {relay_event::opening_returned, 0}, {relay_event::request_expired, 0},
      {relay_event::queue_full, 0},       {relay_event::bounced, 0},
      {relay_event::flow_reset, 0}};
  for (unsigned seed = 0; seed < 100; ++seed)
  {
    simulation run(seed);
    run.run(1500);
    run.settle();
    for (auto& [event, times] : reached)
      times += run.count_of(event);
  }
  for (const auto& [event, times] : reached)
    CHECK_TRUE_TEXT(times >= 20, to_string(event));
}
