#ifndef TOUCANMILL_SRC_RELAY_ADMISSION_FIXTURE_TEST_HPP
#define TOUCANMILL_SRC_RELAY_ADMISSION_FIXTURE_TEST_HPP

#include <cstddef>
#include <cstdint>

#include <toucanmill/relay/relay_core.hpp>

#include "../relay_fixture_test.hpp"
#include "relay_visit_test.hpp"

namespace toucanmill::relay_test
{

inline const endpoint balancer = endpoint_at(1, 7720);
inline const endpoint other_balancer = endpoint_at(4, 7720);

inline constexpr std::size_t capacity = 4; ///< two slots, twice

inline relay_options options(admission_mode mode)
{
  relay_options value;
  value.admission = mode;
  value.upstream.service = "notes";
  value.upstream.address = upstream_address;
  value.started = start;
  return value;
}

inline configuration declared(std::uint32_t objective = 200)
{
  auto value = routes_to(5, {{"notes", 1}});
  value.routes[0].timeout_ms = 3000;
  value.routes[0].objectives = {request_kind::idempotent, objective, 0};
  return value;
}

inline flow_packet data_at(std::uint16_t port, std::uint32_t sequence)
{
  auto packet = data(port);
  packet.sequence = sequence;
  return packet;
}

/// An agent and its upstream, which accepts each flow at once.
struct agent
{
  explicit agent(admission_mode mode = admission_mode::objectives,
                 std::uint32_t objective = 200)
      : core(options(mode))
  {
    core.set_configuration(declared(objective));
    core.announce(announcement(), 1, start, sink);
  }

  void answer_to(const flow_packet& packet, time_point now)
  {
    core.on_upstream_packet({}, answer(packet), now, sink);
  }

  void accept(std::uint16_t port, time_point now)
  {
    auto accepted = data(port);
    accepted.accepts = true;
    accepted.payload_size = 0;
    answer_to(accepted, now);
  }

  /// Sends packets on; returns how many reached the upstream.
  std::size_t take(const flow_packet& packet, time_point now,
                   const relay_message& message = visit())
  {
    const auto before = sink.delivered.size();
    core.on_visit(message, packet, now, sink);
    return sink.delivered.size() - before;
  }

  /// Opens flows a second before `now`, so that none is awaited any more.
  void open_flows(std::uint16_t count, time_point now = start)
  {
    for (std::uint16_t port = 1; port <= count; ++port)
    {
      take(opening(port), now - 60s + port * 200ms);
      accept(port, now - 60s + port * 200ms);
    }
    accept(1, now); // the upstream has just been heard
  }

  /// Opens flows and sends a request on each.
  void load(std::uint16_t count, time_point now = start)
  {
    open_flows(count, now);
    for (std::uint16_t port = 1; port <= count; ++port)
      take(data(port), now);
  }

  relay_status status(time_point now = start) const
  {
    return core.status(now);
  }

  std::uint64_t count_of(relay_event event) const
  {
    return core.status(start).events[static_cast<std::size_t>(event)];
  }

  const relay_header& last_header() const
  {
    return sink.messages.back().header;
  }

  relay_core core;
  recording_sink sink;
};

} // namespace toucanmill::relay_test

#endif
