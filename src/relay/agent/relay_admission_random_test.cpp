#include "relay_admission_fixture_test.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace toucanmill;
using namespace toucanmill::relay_test;

namespace
{

/// Records what reaches the upstream; the octets of a packet are its port and
/// position.
class content_sink final : public relay_sink
{
public:
  void deliver(byte_view packet, std::uint32_t) override
  {
    if (packet.size == 4)
      delivered.emplace_back(packet.data[0] << 8 | packet.data[1],
                             packet.data[2] << 8 | packet.data[3]);
  }
  void send(const endpoint&, const relay_header&, byte_view) override {}
  void reply(const endpoint&, byte_view) override {}
  void reset(const flow_key&, std::uint32_t) override
  {
    ++resets;
  }
  void record(const relay_decision&) override {}
  void record_latency(relay_timing, duration) override {}

  std::vector<std::pair<int, int>> delivered; ///< port, position
  int resets = 0;
};

} // namespace

TEST_GROUP(relay_admission_random){};

// Guards against a held request that is delivered twice, in another order than
// its data, or kept for ever. Callers send requests of one to three packets,
// at times twice or in another order; the upstream answers at random times.
TEST(relay_admission_random,
     held_requests_are_delivered_once_and_in_order_or_dropped)
{
  for (unsigned seed = 0; seed < 60; ++seed)
  {
    std::mt19937 random(seed);
    relay_core core(options(admission_mode::objectives));
    content_sink sink;
    core.set_configuration(declared());
    core.announce(announcement(), 1, start, sink);
    std::set<std::uint16_t> at_upstream;
    std::map<std::uint16_t, int> parts;
    constexpr std::uint16_t flows = 30;
    for (std::uint16_t port = 1; port <= flows; ++port)
    {
      core.on_upstream_packet({}, acceptance(port), start, sink);
    }
    auto now = start;
    std::size_t seen = 0;
    std::map<std::uint16_t, int> last; // position delivered before
    const auto check_delivered = [&]
    {
      for (; seen < sink.delivered.size(); ++seen)
      {
        const auto [port, position] = sink.delivered[seen];
        const auto key = static_cast<std::uint16_t>(port);
        const auto before = last.find(key);
        CHECK_TRUE(before == last.end() || before->second < position);
        last[key] = position;
        at_upstream.insert(key);
      }
      CHECK_TRUE(core.status(now).in_progress <= capacity);
    };
    std::uint16_t next_flow = 1;
    for (int step = 0; step < 300; ++step)
    {
      now += std::chrono::milliseconds(random() % 40);
      if (random() % 40 == 0)
        now += 2s; // the agent is paused
      if (next_flow <= flows && random() % 3 == 0)
      {
        parts[next_flow] = 1 + static_cast<int>(random() % 3);
        std::vector<int> order;
        for (int i = 0; i < parts[next_flow]; ++i)
          order.insert(order.end(), 1 + random() % 2, i);
        // The first packet arrives first, so that it starts the request.
        std::shuffle(order.begin() + 1, order.end(), random);
        for (const int part : order)
        {
          // A copy of data that has gone to the upstream passes at once; what
          // is due goes first.
          core.serve_held(now, sink);
          check_delivered();
          const auto sent = last.find(next_flow);
          if (sent != last.end() && sent->second >= part * 100)
            continue;
          const auto position = static_cast<std::uint16_t>(part * 100);
          const std::array<std::uint8_t, 4> bytes = {
              static_cast<std::uint8_t>(next_flow >> 8),
              static_cast<std::uint8_t>(next_flow),
              static_cast<std::uint8_t>(position >> 8),
              static_cast<std::uint8_t>(position)};
          auto message = visit();
          message.packet = {bytes.data(), bytes.size()};
          core.on_visit(message, data_at(next_flow, position), now, sink);
          check_delivered();
        }
        ++next_flow;
      }
      else if (!at_upstream.empty() && random() % 2 == 0)
      {
        const auto port = *at_upstream.begin();
        at_upstream.erase(at_upstream.begin());
        core.on_upstream_packet({}, answer(data(port)), now, sink);
      }
      core.serve_held(now, sink);
      check_delivered();
    }
    core.serve_held(now + 5s, sink);
    CHECK_FALSE(core.holds_packets());
    CHECK_EQUAL(0U, core.status(now).held_data);
    CHECK_EQUAL(0, sink.resets);
  }
}
