#ifndef TOUCANMILL_PACKET_GUE_HPP
#define TOUCANMILL_PACKET_GUE_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

#include <toucanmill/packet/route_stamp.hpp>
#include <toucanmill/packet/tcp_packet.hpp>

namespace toucanmill
{

/// Generic UDP encapsulation, variant 0. A data datagram has protocol 4 (IPv4)
/// and, between balancer and agent, the route stamp as private data. A control
/// datagram (C bit) from balancer to fabric edge announces or withdraws the
/// balancer. A fabric edge encapsulates the packets of callers, spreads them
/// over the announced balancers and receives the replies.

/// Maximum size in octets of a GUE header, route stamp included.
inline constexpr std::size_t max_gue_header = 96;

enum class fabric_message : std::uint8_t
{
  announce = 1, ///< asks for packets to be sent to this balancer
  withdraw = 2, ///< asks for no more packets; late ones are still forwarded
};

/// Decoded data datagram with its inner IPv4 packet.
struct gue_packet
{
  bool stamped = false;
  route_stamp stamp; ///< valid when stamped
  byte_view inner;   ///< points into the datagram
};

/// Encoded header of a data datagram, which the inner packet follows on the
/// wire, or a complete control datagram.
struct gue_header
{
  std::array<std::uint8_t, max_gue_header> bytes{};
  std::size_t size = 0;
};

gue_header encode_gue_header();
gue_header encode_gue_header(const route_stamp& stamp);
gue_header encode_fabric_message(fabric_message message);

using gue_datagram = std::variant<gue_packet, fabric_message, packet_fault>;

/// Never reads outside the datagram, whatever its content. A stamp must have 1
/// to 8 holders, a position within its chain, at most max_hops hops and a
/// matching checksum; otherwise the result is bad_stamp.
gue_datagram decode_gue(byte_view datagram);

} // namespace toucanmill

#endif
