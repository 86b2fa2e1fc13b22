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

/// UDP's 16-bit sum misses one corrupted datagram in 65,536, and loopback does
/// not check it at all; a wrong chain would travel on from agent to agent.
std::uint32_t check_of(const std::uint8_t* stamp, std::size_t size)
{
  constexpr std::size_t skipped = sizeof(wire_stamp::check);
  return static_cast<std::uint32_t>(
      XXH3_64bits(stamp + skipped, size - skipped));
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

wire_stamp fixed_part(const route_stamp& stamp)
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

route_stamp from_fixed_part(const wire_stamp& wire)
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
  auto wire = fixed_part(stamp);
  store(to, wire);
  std::uint8_t* at = to + sizeof wire;
  for (std::size_t i = 0; i < stamp.chain.size; ++i)
  {
    store(at, to_wire(stamp.chain.holders[i]));
    at += sizeof(wire_endpoint);
  }
  std::memset(at, 0, static_cast<std::size_t>(to + size - at));
  wire.check = check_of(to, size);
  store(to, wire.check);
}

std::optional<route_stamp> read_stamp(byte_view bytes)
{
  if (bytes.size < sizeof(wire_stamp))
    return std::nullopt;
  const auto wire = load<wire_stamp>(bytes.data);
  if (!fields_in_range(wire) || bytes.size != stamp_size(wire.chain_size) ||
      wire.check != check_of(bytes.data, bytes.size))
    return std::nullopt;
  auto stamp = from_fixed_part(wire);
  const std::uint8_t* at = bytes.data + sizeof wire;
  for (std::size_t i = 0; i < stamp.chain.size; ++i)
  {
    stamp.chain.holders[i] = from_wire(load<wire_endpoint>(at));
    at += sizeof(wire_endpoint);
  }
  return stamp;
}

} // namespace toucanmill::detail
