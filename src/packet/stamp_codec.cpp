#include "stamp_codec.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <toucanmill/base/invariant.hpp>

#include "wire.hpp"

namespace toucanmill::detail
{

namespace
{

constexpr std::uint8_t stamp_format = 1;

/// The 16-bit UDP checksum misses one corrupted datagram in 65,536, loopback
/// does not verify it, and agents would forward a corrupted chain to others.
std::uint32_t stamp_checksum(const std::uint8_t* stamp, std::size_t size)
{
  constexpr std::size_t checksum_size = sizeof(wire_stamp::checksum);
  return static_cast<std::uint32_t>(
      XXH3_64bits(stamp + checksum_size, size - checksum_size));
}

bool fields_in_range(const wire_stamp& wire)
{
  return wire.format == stamp_format && wire.chain_size != 0 &&
         wire.chain_size <= stamped_chain::capacity &&
         wire.suspects >> wire.chain_size == 0 &&
         wire.position < wire.chain_size &&
         wire.hops <= route_stamp::max_hops &&
         wire.purpose <= static_cast<std::uint8_t>(stamp_purpose::accept);
}

wire_stamp encode_fixed_part(const route_stamp& stamp)
{
  wire_stamp wire{};
  wire.format = stamp_format;
  wire.chain_size = stamp.chain.size;
  wire.suspects = stamp.chain.suspects;
  wire.position = stamp.position;
  wire.hops = stamp.hops;
  wire.purpose = static_cast<std::uint8_t>(stamp.purpose);
  wire.bucket = stamp.bucket;
  wire.service = stamp.service.value;
  wire.term = stamp.version.term;
  wire.index = stamp.version.index;
  wire.return_to = to_wire(stamp.return_to);
  return wire;
}

route_stamp decode_fixed_part(const wire_stamp& wire)
{
  route_stamp stamp;
  stamp.service = service_id{wire.service};
  stamp.version = {wire.term, wire.index};
  stamp.bucket = wire.bucket;
  stamp.position = wire.position;
  stamp.hops = wire.hops;
  stamp.purpose = static_cast<stamp_purpose>(wire.purpose);
  stamp.return_to = from_wire(wire.return_to);
  stamp.chain.size = wire.chain_size;
  stamp.chain.suspects = wire.suspects;
  return stamp;
}

} // namespace

std::size_t stamp_size(std::size_t holders)
{
  const std::size_t size = sizeof(wire_stamp) + holders * sizeof(wire_endpoint);
  return (size + word_size - 1) / word_size * word_size;
}

void write_stamp(std::uint8_t* to, const route_stamp& stamp)
{
  TOUCANMILL_INVARIANT(stamp.chain.size <= stamped_chain::capacity,
                       "a stamp has at most eight holders");
  const std::size_t size = stamp_size(stamp.chain.size);
  auto wire = encode_fixed_part(stamp);
  store(to, wire);
  std::uint8_t* next = to + sizeof wire;
  for (std::size_t i = 0; i < stamp.chain.size; ++i)
  {
    store(next, to_wire(stamp.chain.holders[i]));
    next += sizeof(wire_endpoint);
  }
  std::memset(next, 0, static_cast<std::size_t>(to + size - next));
  wire.checksum = stamp_checksum(to, size);
  store(to, wire.checksum);
}

std::optional<route_stamp> read_stamp(byte_view bytes)
{
  if (bytes.size < sizeof(wire_stamp))
    return std::nullopt;
  const auto wire = load<wire_stamp>(bytes.data);
  if (!fields_in_range(wire) || bytes.size != stamp_size(wire.chain_size) ||
      wire.checksum != stamp_checksum(bytes.data, bytes.size))
    return std::nullopt;
  auto stamp = decode_fixed_part(wire);
  const std::uint8_t* next = bytes.data + sizeof wire;
  for (std::size_t i = 0; i < stamp.chain.size; ++i)
  {
    stamp.chain.holders[i] = from_wire(load<wire_endpoint>(next));
    next += sizeof(wire_endpoint);
  }
  return stamp;
}

} // namespace toucanmill::detail
