#ifndef TOUCANMILL_SRC_PACKET_PACKET_BUILDER_TEST_HPP
#define TOUCANMILL_SRC_PACKET_PACKET_BUILDER_TEST_HPP

#include <cstdint>
#include <vector>

#include <toucanmill/packet/gue.hpp>

#include "wire.hpp"

namespace toucanmill::test
{

using octets = std::vector<std::uint8_t>;

inline byte_view view(const octets& bytes)
{
  return {bytes.data(), bytes.size()};
}

/// IPv4 header checksum (RFC 1071), with the checksum field taken as zero.
inline std::uint16_t ipv4_checksum(const octets& packet, std::size_t length)
{
  std::uint32_t sum = 0;
  for (std::size_t i = 0; i + 1 < length; i += 2)
    if (i != 10)
      sum += packet[i] * 256U + packet[i + 1];
  while (sum > 0xFFFF)
    sum = (sum & 0xFFFF) + (sum >> 16);
  return static_cast<std::uint16_t>(~sum);
}

inline void fix_checksum(octets& packet)
{
  const std::size_t length = (packet[0] & 0x0FU) * detail::word_size;
  const auto sum = ipv4_checksum(packet, std::min(length, packet.size()));
  packet[10] = static_cast<std::uint8_t>(sum >> 8);
  packet[11] = static_cast<std::uint8_t>(sum);
}

constexpr std::uint8_t syn_flag = 0x02;
constexpr std::uint8_t ack_flag = 0x10;

/// IPv4 TCP packet without options; the TCP checksum is zero.
inline octets build_packet(const flow_key& flow, std::uint8_t flags,
                           std::size_t payload = 0)
{
  octets packet(40 + payload, 'x');
  detail::wire_ipv4_header ip{};
  ip.version_and_length = 0x45;
  ip.total_length = static_cast<std::uint16_t>(packet.size());
  ip.time_to_live = 64;
  ip.protocol = 6;
  ip.source = flow.caller.address.value;
  ip.destination = flow.service.address.value;
  detail::wire_tcp_header tcp{};
  tcp.source_port = flow.caller.port;
  tcp.destination_port = flow.service.port;
  tcp.sequence = 0x01020304;
  tcp.acknowledgement = 0x05060708;
  tcp.data_offset = 0x50;
  tcp.flags = flags;
  detail::store(packet.data(), ip);
  detail::store(packet.data() + sizeof ip, tcp);
  fix_checksum(packet);
  return packet;
}

inline octets encapsulate(const gue_header& header, const octets& inner)
{
  octets datagram(header.bytes.data(), header.bytes.data() + header.size);
  datagram.insert(datagram.end(), inner.begin(), inner.end());
  return datagram;
}

inline endpoint ip_endpoint(std::uint32_t address, std::uint16_t port)
{
  return {ipv4_address{address}, port};
}

inline const flow_key sample_flow = {ip_endpoint(0xC6336401, 40001),
                                     ip_endpoint(0xCB00710A, 443)};

inline route_stamp sample_stamp(std::uint8_t holders)
{
  route_stamp stamp;
  stamp.service = service_id{7};
  stamp.version = {3, 1ULL << 40};
  stamp.bucket = 65535;
  stamp.hops = route_stamp::max_hops;
  stamp.purpose = stamp_purpose::probe;
  stamp.return_to = ip_endpoint(0x7F000005, 6080);
  stamp.chain.size = holders;
  stamp.position = static_cast<std::uint8_t>(holders - 1);
  stamp.chain.suspects = static_cast<std::uint8_t>((1U << holders) - 1);
  for (std::uint8_t i = 0; i < holders; ++i)
    stamp.chain.holders[i] = ip_endpoint(0x7F000100U + i, 6081);
  return stamp;
}

} // namespace toucanmill::test

#endif
