#ifndef TOUCANMILL_RELAY_RELAY_MESSAGE_HPP
#define TOUCANMILL_RELAY_RELAY_MESSAGE_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include <toucanmill/base/flow.hpp>
#include <toucanmill/packet/tcp_packet.hpp>

namespace toucanmill
{

/// Identifies a service in messages between balancers and agents. A hash of its
/// name, so that an agent can check it without a table.
using service_key = std::uint64_t;

service_key key_of_service(std::string_view name);

/// Key of an endpoint in a hash table.
inline std::uint64_t key_of(const endpoint& value)
{
  return static_cast<std::uint64_t>(value.address.value) << 16 | value.port;
}

/// The agents (stops) that a packet visits in order, until one delivers it to
/// its upstream and the upstream keeps it.
struct visit_stops
{
  static constexpr std::size_t capacity = 16;

  std::uint8_t size = 0;
  std::array<endpoint, capacity> agents{};

  /// Returns false when the list is full or already contains the agent.
  bool add(const endpoint& agent);

  bool operator==(const visit_stops& other) const;
};

/// Value of relay_header::best_stop when no stop would admit the packet.
inline constexpr std::uint8_t no_stop = 255;

enum class relay_kind : std::uint8_t
{
  visit = 1,  ///< balancer or agent to agent: deliver the packet or pass it on
  found = 2,  ///< agent to balancer: the sender holds the flow
  missed = 3, ///< agent to balancer: no stop could use the packet
};

/// Why the last stop could not use a packet.
enum class miss_reason : std::uint8_t
{
  unknown_flow,   ///< bounced by the upstream, or the upstream ended
  refused,        ///< opening packet: not admitted, or bounced
  other_service,  ///< the agent serves another service
  route_replaced, ///< opening packet: the agent has a newer configuration
};

inline constexpr std::size_t miss_reason_count = 4;

const char* to_string(miss_reason reason);

/// Header of each datagram between balancers and agents.
struct relay_header
{
  relay_kind kind = relay_kind::visit;
  miss_reason reason = miss_reason::unknown_flow;
  bool remembered = false; ///< the balancer chose the stop from its flow cache
  /// The agent answers even if it reported the flow a short time ago. Set in
  /// copies sent in parallel and, with `remembered`, to verify the memory.
  bool probe = false;
  bool inconclusive = false; ///< a miss does not prove that the flow is gone
  /// An encoded flow takes the place of the packet: the message asks who holds
  /// the flow, and nothing is delivered.
  bool locates = false;
  std::uint8_t stage = 0; ///< index in search_stages() or opening_services()
  std::uint8_t stop = 0;  ///< index of the current stop
  /// Number of the plan that a search follows; 0 in messages of agents that do
  /// not return it.
  std::uint8_t plan = 0;
  /// Bit i: the agent at stop i cannot tell without the packet whether its
  /// upstream holds the flow. Used with `locates`.
  std::uint16_t undecided = 0;
  service_key service = 0;
  /// Configuration version by which the packet was routed; in found and missed
  /// messages, the newest version that the sender has seen.
  std::uint64_t configuration = 0;
  std::uint64_t table = 0; ///< log index of the table that chose the stops
  endpoint balancer;       ///< receives found and missed messages
  visit_stops stops;
  /// Opening packet: the first stops, this many, are in the balancer's data
  /// centre.
  std::uint8_t near_stops = 0;
  /// Opening packet: index of the stop with the shortest expected wait of those
  /// visited, and this wait.
  std::uint8_t best_stop = no_stop;
  std::uint16_t best_wait_ms = 0;
  /// Opening packet: it was sent to its best stop and travels no further.
  bool final_stop = false;

  bool operator==(const relay_header& other) const;
};

/// A header and the packet that follows it. In a found message, and with
/// `locates`, an encoded flow takes the place of the packet.
struct relay_message
{
  relay_header header;
  byte_view packet; ///< points into the datagram
};

/// Size of the longest encoded header in octets.
inline constexpr std::size_t max_relay_header = 48 + 6 * visit_stops::capacity;

struct encoded_relay_header
{
  std::array<std::uint8_t, max_relay_header> bytes{};
  std::size_t size = 0;

  byte_view view() const
  {
    return {bytes.data(), size};
  }
};

encoded_relay_header encode(const relay_header& header);

/// None when the datagram does not start with a valid encoded header.
std::optional<relay_message> decode_relay_message(byte_view datagram);

/// Size of the body of a message without a packet in octets.
inline constexpr std::size_t encoded_flow_size = 12;
using encoded_flow = std::array<std::uint8_t, encoded_flow_size>;
encoded_flow encode(const flow_key& flow);
std::optional<flow_key> decode_flow(byte_view bytes);

} // namespace toucanmill

#endif
