#ifndef TOUCANMILL_SRC_PACKET_WIRE_HPP
#define TOUCANMILL_SRC_PACKET_WIRE_HPP

#include <boost/endian/arithmetic.hpp>
#include <cstddef>
#include <cstdint>
#include <cstring>

#include <toucanmill/base/address.hpp>

namespace toucanmill::detail
{

using boost::endian::big_uint16_t;
using boost::endian::big_uint32_t;
using boost::endian::big_uint64_t;

/// Octets per unit of the header length fields, which count 32-bit words.
inline constexpr std::size_t word_size = 4;

/// RFC 791; options follow.
struct wire_ipv4_header
{
  std::uint8_t version_and_length;
  std::uint8_t service_type;
  big_uint16_t total_length;
  big_uint16_t identification;
  big_uint16_t fragment;
  std::uint8_t time_to_live;
  std::uint8_t protocol;
  big_uint16_t checksum;
  big_uint32_t source;
  big_uint32_t destination;
};
static_assert(sizeof(wire_ipv4_header) == 20);

/// RFC 9293; options follow.
struct wire_tcp_header
{
  big_uint16_t source_port;
  big_uint16_t destination_port;
  big_uint32_t sequence;
  big_uint32_t acknowledgement;
  std::uint8_t data_offset;
  std::uint8_t flags;
  big_uint16_t window;
  big_uint16_t checksum;
  big_uint16_t urgent;
};
static_assert(sizeof(wire_tcp_header) == 20);

/// Generic UDP encapsulation, variant 0; extension fields and private data
/// follow.
struct wire_gue_header
{
  std::uint8_t version_and_length; ///< 2 bits version, 1 bit control, 5 length
  std::uint8_t protocol;
  big_uint16_t flags;
};
static_assert(sizeof(wire_gue_header) == 4);

struct wire_endpoint
{
  big_uint32_t address;
  big_uint16_t port;
};
static_assert(sizeof(wire_endpoint) == 6);

/// Fixed part of the route stamp in the GUE private data. chain_size holders
/// follow, then zero padding to a multiple of four octets.
struct wire_stamp
{
  big_uint32_t checksum; ///< low 32 bits of the XXH3 of all later octets
  std::uint8_t format;
  std::uint8_t chain_size;
  std::uint8_t suspects;
  std::uint8_t position;
  std::uint8_t hops;
  std::uint8_t purpose;
  big_uint16_t bucket;
  big_uint32_t service;
  big_uint64_t term;
  big_uint64_t index;
  wire_endpoint return_to;
};
static_assert(sizeof(wire_stamp) == 38);

/// Payload of a control datagram.
struct wire_fabric_message
{
  std::uint8_t format;
  std::uint8_t message;
  big_uint16_t reserved;
};
static_assert(sizeof(wire_fabric_message) == 4);

template <class Wire>
Wire load(const std::uint8_t* from)
{
  Wire value;
  std::memcpy(&value, from, sizeof value);
  return value;
}

template <class Wire>
void store(std::uint8_t* to, const Wire& value)
{
  std::memcpy(to, &value, sizeof value);
}

inline endpoint from_wire(const wire_endpoint& value)
{
  return {ipv4_address{value.address}, value.port};
}

inline wire_endpoint to_wire(const endpoint& value)
{
  wire_endpoint wire;
  wire.address = value.address.value;
  wire.port = value.port;
  return wire;
}

} // namespace toucanmill::detail

#endif
