#include <toucanmill/packet/tcp_packet.hpp>

#include "wire.hpp"

namespace toucanmill
{

namespace
{

using detail::wire_ipv4_header;
using detail::wire_tcp_header;

constexpr std::uint8_t tcp_protocol = 6;
constexpr std::uint16_t fragment_mask = 0x3FFF; // MF and offset bits
constexpr std::uint8_t fin_flag = 0x01;
constexpr std::uint8_t syn_flag = 0x02;
constexpr std::uint8_t rst_flag = 0x04;
constexpr std::uint8_t ack_flag = 0x10;

/// True when the ones' complement sum of the header, with its checksum, is all
/// ones. The size is a multiple of four octets.
bool has_valid_checksum(const std::uint8_t* header, std::size_t size)
{
  std::uint32_t sum = 0;
  for (std::size_t i = 0; i < size; i += 2)
    sum += static_cast<std::uint32_t>(header[i]) << 8 | header[i + 1];
  sum = (sum & 0xFFFF) + (sum >> 16);
  sum = (sum & 0xFFFF) + (sum >> 16);
  return sum == 0xFFFF;
}

std::variant<wire_ipv4_header, packet_fault> parse_ipv4_header(byte_view bytes)
{
  if (bytes.size > max_inner_packet)
    return packet_fault::oversized;
  if (bytes.size == 0)
    return packet_fault::truncated;
  if (bytes.data[0] >> 4 != 4)
    return packet_fault::not_ipv4;
  if (bytes.size < sizeof(wire_ipv4_header))
    return packet_fault::truncated;
  const auto header = detail::load<wire_ipv4_header>(bytes.data);
  const std::size_t length =
      (header.version_and_length & 0x0FU) * detail::word_size;
  if (length < sizeof(wire_ipv4_header) || length > bytes.size)
    return packet_fault::bad_header_length;
  if (header.total_length > bytes.size)
    return packet_fault::truncated;
  if (header.total_length != bytes.size)
    return packet_fault::bad_total_length;
  if (!has_valid_checksum(bytes.data, length))
    return packet_fault::bad_header_checksum;
  if ((header.fragment & fragment_mask) != 0)
    return packet_fault::fragment;
  if (header.protocol != tcp_protocol)
    return packet_fault::not_tcp;
  return header;
}

/// True for lengths, ports or flags that no caller or service sends.
bool is_malformed(const wire_tcp_header& header, std::size_t header_length,
                  std::size_t available)
{
  const bool syn = (header.flags & syn_flag) != 0;
  const bool fin_or_rst = (header.flags & (fin_flag | rst_flag)) != 0;
  return header_length < sizeof(wire_tcp_header) || header_length > available ||
         header.source_port == 0 || header.destination_port == 0 ||
         (syn && fin_or_rst);
}

} // namespace

const char* to_string(packet_fault fault)
{
  switch (fault)
  {
  case packet_fault::truncated:
    return "truncated";
  case packet_fault::oversized:
    return "oversized";
  case packet_fault::bad_encapsulation_version:
    return "bad_encapsulation_version";
  case packet_fault::bad_encapsulation_header:
    return "bad_encapsulation_header";
  case packet_fault::not_ipv4:
    return "not_ipv4";
  case packet_fault::bad_header_length:
    return "bad_header_length";
  case packet_fault::bad_total_length:
    return "bad_total_length";
  case packet_fault::bad_header_checksum:
    return "bad_header_checksum";
  case packet_fault::fragment:
    return "fragment";
  case packet_fault::not_tcp:
    return "not_tcp";
  case packet_fault::bad_tcp_header:
    return "bad_tcp_header";
  case packet_fault::bad_tcp_checksum:
    return "bad_tcp_checksum";
  case packet_fault::bad_stamp:
    return "bad_stamp";
  }
  return "unknown";
}

std::variant<tcp_packet, packet_fault> parse_tcp_packet(byte_view bytes)
{
  const auto parsed_ip = parse_ipv4_header(bytes);
  if (const auto* fault = std::get_if<packet_fault>(&parsed_ip))
    return *fault;
  const auto& ip = std::get<wire_ipv4_header>(parsed_ip);
  const std::size_t ip_length =
      (ip.version_and_length & 0x0FU) * detail::word_size;
  const std::size_t available = bytes.size - ip_length;
  if (available < sizeof(wire_tcp_header))
    return packet_fault::bad_tcp_header;
  const auto tcp = detail::load<wire_tcp_header>(bytes.data + ip_length);
  const std::size_t tcp_length = (tcp.data_offset >> 4U) * detail::word_size;
  if (is_malformed(tcp, tcp_length, available))
    return packet_fault::bad_tcp_header;

  tcp_packet packet;
  packet.flow.caller = {ipv4_address{ip.source}, tcp.source_port};
  packet.flow.service = {ipv4_address{ip.destination}, tcp.destination_port};
  packet.sequence = tcp.sequence;
  packet.acknowledgement = tcp.acknowledgement;
  packet.payload_size = static_cast<std::uint16_t>(available - tcp_length);
  packet.syn = (tcp.flags & syn_flag) != 0;
  packet.ack = (tcp.flags & ack_flag) != 0;
  packet.fin = (tcp.flags & fin_flag) != 0;
  packet.rst = (tcp.flags & rst_flag) != 0;
  packet.bytes = bytes;
  return packet;
}

} // namespace toucanmill
