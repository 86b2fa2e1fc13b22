#include <toucanmill/packet/gue.hpp>

#include "stamp_codec.hpp"
#include "wire.hpp"

namespace toucanmill
{

namespace
{

using detail::wire_fabric_message;
using detail::wire_gue_header;

constexpr std::uint8_t control_bit = 0x20;
constexpr std::uint8_t length_mask = 0x1F;
constexpr std::uint8_t ipv4_protocol = 4;
/// First control type that the GUE draft reserves for private use.
constexpr std::uint8_t fabric_control_type = 128;
constexpr std::uint8_t fabric_message_format = 1;

// The last two octets are the padding of a full chain.
static_assert(sizeof(wire_gue_header) + sizeof(detail::wire_stamp) +
                  stamped_chain::capacity * sizeof(detail::wire_endpoint) + 2 <=
              max_gue_header);

gue_datagram decode_control(const wire_gue_header& header,
                            std::size_t header_size, byte_view datagram)
{
  if (header.protocol != fabric_control_type ||
      header_size != sizeof(wire_gue_header))
    return packet_fault::bad_encapsulation_header;
  if (datagram.size < header_size + sizeof(wire_fabric_message))
    return packet_fault::truncated;
  if (datagram.size > header_size + sizeof(wire_fabric_message))
    return packet_fault::oversized;
  const auto payload =
      detail::load<wire_fabric_message>(datagram.data + header_size);
  const auto message = static_cast<fabric_message>(payload.message);
  if (payload.format != fabric_message_format || payload.reserved != 0 ||
      (message != fabric_message::announce &&
       message != fabric_message::withdraw))
    return packet_fault::bad_encapsulation_header;
  return message;
}

gue_datagram decode_data(const wire_gue_header& header, std::size_t header_size,
                         byte_view datagram)
{
  if (header.protocol != ipv4_protocol)
    return packet_fault::not_ipv4;
  gue_packet packet;
  packet.inner = {datagram.data + header_size, datagram.size - header_size};
  if (packet.inner.size > max_inner_packet)
    return packet_fault::oversized;
  if (header_size == sizeof(wire_gue_header))
    return packet;
  const auto stamp =
      detail::read_stamp({datagram.data + sizeof(wire_gue_header),
                          header_size - sizeof(wire_gue_header)});
  if (!stamp)
    return packet_fault::bad_stamp;
  packet.stamped = true;
  packet.stamp = *stamp;
  return packet;
}

} // namespace

gue_header encode_gue_header()
{
  gue_header header;
  detail::store(header.bytes.data(), wire_gue_header{0, ipv4_protocol, {}});
  header.size = sizeof(wire_gue_header);
  return header;
}

gue_header encode_gue_header(const route_stamp& stamp)
{
  const std::size_t size = detail::stamp_size(stamp.chain.size);
  gue_header header;
  detail::write_stamp(header.bytes.data() + sizeof(wire_gue_header), stamp);
  detail::store(
      header.bytes.data(),
      wire_gue_header{static_cast<std::uint8_t>(size / detail::word_size),
                      ipv4_protocol,
                      {}});
  header.size = sizeof(wire_gue_header) + size;
  return header;
}

gue_header encode_fabric_message(fabric_message message)
{
  gue_header header;
  std::uint8_t* to = header.bytes.data();
  detail::store(to, wire_gue_header{control_bit, fabric_control_type, {}});
  detail::store(to + sizeof(wire_gue_header),
                wire_fabric_message{fabric_message_format,
                                    static_cast<std::uint8_t>(message),
                                    {}});
  header.size = sizeof(wire_gue_header) + sizeof(wire_fabric_message);
  return header;
}

gue_datagram decode_gue(byte_view datagram)
{
  if (datagram.size < sizeof(wire_gue_header))
    return packet_fault::truncated;
  const auto header = detail::load<wire_gue_header>(datagram.data);
  if (header.version_and_length >> 6 != 0)
    return packet_fault::bad_encapsulation_version;
  if (header.flags != 0)
    return packet_fault::bad_encapsulation_header;
  const std::size_t header_size =
      sizeof(wire_gue_header) +
      (header.version_and_length & length_mask) * detail::word_size;
  if (datagram.size < header_size)
    return packet_fault::truncated;
  if ((header.version_and_length & control_bit) != 0)
    return decode_control(header, header_size, datagram);
  return decode_data(header, header_size, datagram);
}

} // namespace toucanmill
