#ifndef TOUCANMILL_PACKET_TCP_PACKET_HPP
#define TOUCANMILL_PACKET_TCP_PACKET_HPP

#include <cstddef>
#include <cstdint>
#include <variant>

#include <toucanmill/base/flow.hpp>

namespace toucanmill
{

/// Non-owning view of read-only octets.
struct byte_view
{
  const std::uint8_t* data = nullptr;
  std::size_t size = 0;
};

/// Reason for dropping a datagram or packet. Each value has its own counter.
enum class packet_fault : std::uint8_t
{
  truncated,
  oversized,
  bad_encapsulation_version,
  bad_encapsulation_header,
  not_ipv4,
  bad_header_length,
  bad_total_length,
  bad_header_checksum,
  fragment,
  not_tcp,
  bad_tcp_header,
  bad_tcp_checksum, ///< not produced: the end points verify it
  bad_stamp,
};

/// Number of values of packet_fault.
inline constexpr std::size_t packet_fault_count = 13;

/// Name of the fault as a metric label value.
const char* to_string(packet_fault fault);

/// Largest inner IPv4 packet in octets; the encapsulation adds at most 96, so
/// that the result fits an Ethernet frame.
inline constexpr std::size_t max_inner_packet = 1400;

/// A validated IPv4 TCP packet.
struct tcp_packet
{
  flow_key flow; ///< caller is the source, service the destination
  std::uint32_t sequence = 0;
  std::uint32_t acknowledgement = 0;
  std::uint16_t payload_size = 0; ///< octets after the TCP header
  bool syn = false;
  bool ack = false;
  bool fin = false;
  bool rst = false;
  byte_view bytes; ///< the whole IPv4 packet

  /// First packet of a new connection.
  bool opens_flow() const
  {
    return syn && !ack && !rst;
  }
};

/// Validates lengths, IPv4 header checksum, fragmentation, protocol and TCP
/// header. Does not verify the TCP checksum; the end points do.
std::variant<tcp_packet, packet_fault> parse_tcp_packet(byte_view bytes);

} // namespace toucanmill

#endif
