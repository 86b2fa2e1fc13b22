#include <toucanmill/relay/relay_core.hpp>

#include <CppUTest/TestHarness.h>

#include <array>
#include <cstdio>
#include <deque>
#include <map>
#include <random>

#include "relay_timeline_test.hpp"

using namespace toucanmill;
using namespace toucanmill::relay_test;

namespace
{

/// Long flows through one agent; each sends its next request some time after
/// the response to the one before.
class long_flow_model final : public relay_sink
{
public:
  static constexpr std::uint16_t flows = 30;

  explicit long_flow_model(admission_mode mode) : core_(options(mode))
  {
    auto declared = routes_to(5, {{"notes", 1}});
    declared.routes[0].timeout_ms = 3000;
    declared.routes[0].objectives = {request_kind::idempotent, 250, 0};
    core_.set_configuration(declared);
    upstream_announcement value;
    value.service = "notes";
    value.instance = "i-1";
    value.address = endpoint_at(3, 8080);
    value.slots = slots;
    value.sequence = 1;
    value.born_ms = 1000;
    core_.announce(value, 1, start, *this);
    for (std::uint16_t port = 1; port <= flows; ++port)
    {
      core_.on_upstream_packet({}, acceptance(port), start, *this);
      send_later(port);
    }
  }

  void run()
  {
    plan_.run_until(start + 10s);
  }

  int requests = 0;
  int refused = 0; ///< "not run", since the upstream's queue was full

private:
  static relay_options options(admission_mode mode)
  {
    relay_options value;
    value.admission = mode;
    value.upstream.service = "notes";
    value.upstream.address = endpoint_at(3, 8080);
    value.started = start;
    value.meter.initial_service_time = 26ms;
    return value;
  }

  void send_later(std::uint16_t port)
  {
    // Thirty flows ask for 79 requests a second; the upstream serves 77.
    std::exponential_distribution<double> gap(1 / 0.38);
    plan_.after(duration(static_cast<std::int64_t>(gap(random_) * 1e6)),
                [this, port]
                {
                  send_request(port);
                });
  }

  void send_request(std::uint16_t port)
  {
    ++requests;
    auto packet = data(port);
    packet.sequence = positions_[port];
    positions_[port] += packet.payload_size;
    const std::array<std::uint8_t, 2> bytes = {
        static_cast<std::uint8_t>(port >> 8), static_cast<std::uint8_t>(port)};
    relay_message message;
    message.header.service = key_of_service("notes");
    message.header.remembered = true;
    message.header.stops.add(endpoint_at(100));
    message.packet = {bytes.data(), bytes.size()};
    core_.on_visit(message, packet, plan_.now(), *this);
  }

  void deliver(byte_view bytes, std::uint32_t) override
  {
    const auto port =
        static_cast<std::uint16_t>(bytes.data[0] << 8 | bytes.data[1]);
    plan_.after(0ms,
                [this, port]
                {
                  if (running_ >= slots && waiting_.size() >= upstream_queue)
                  {
                    ++refused;
                    return respond(port, not_run);
                  }
                  waiting_.push_back(port);
                  run_next();
                });
  }

  void run_next()
  {
    if (running_ >= slots || waiting_.empty())
      return;
    const auto port = waiting_.front();
    waiting_.pop_front();
    ++running_;
    std::exponential_distribution<double> time(1 / 0.026);
    plan_.after(duration(static_cast<std::int64_t>(time(random_) * 1e6)),
                [this, port]
                {
                  --running_;
                  respond(port, served);
                  run_next();
                });
  }

  void respond(std::uint16_t port, std::uint16_t status)
  {
    auto response = answer(data(port));
    response.response_status = status;
    core_.on_upstream_packet({}, response, plan_.now(), *this);
    send_later(port);
  }

  void send(const endpoint&, const relay_header&, byte_view) override {}
  void reply(const endpoint&, byte_view) override {}
  void reset(const flow_key&, std::uint32_t) override {}
  void record(const relay_decision&) override {}
  void record_latency(relay_timing, duration) override {}

  std::mt19937 random_{11};
  timeline plan_;
  relay_core core_;
  std::map<std::uint16_t, std::uint32_t> positions_;
  std::uint32_t running_ = 0;
  std::deque<std::uint16_t> waiting_;
};

} // namespace

TEST_GROUP(relay_long_flows){};

// Guards against requests on open flows that get "not run" although capacity
// becomes free every few milliseconds.
TEST(relay_long_flows, requests_on_long_flows_do_not_meet_a_full_upstream)
{
  long_flow_model by_slots(admission_mode::slots);
  by_slots.run();
  long_flow_model by_objectives(admission_mode::objectives);
  by_objectives.run();
  std::printf("\nlong flows, slots: %d requests, %d not run\n",
              by_slots.requests, by_slots.refused);
  std::printf("long flows, objectives: %d requests, %d not run\n",
              by_objectives.requests, by_objectives.refused);
  CHECK_TRUE(by_slots.refused > 0);
  CHECK_EQUAL(0, by_objectives.refused);
  CHECK_TRUE(by_objectives.requests * 10 > by_slots.requests * 9);
}
