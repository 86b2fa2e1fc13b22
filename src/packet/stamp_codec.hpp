#ifndef TOUCANMILL_SRC_PACKET_STAMP_CODEC_HPP
#define TOUCANMILL_SRC_PACKET_STAMP_CODEC_HPP

#include <cstddef>
#include <cstdint>
#include <optional>

#include <toucanmill/packet/route_stamp.hpp>
#include <toucanmill/packet/tcp_packet.hpp>

namespace toucanmill::detail
{

/// Encoded size in octets, a multiple of four, of a stamp with this many
/// holders.
std::size_t stamp_size(std::size_t holders);

/// Writes stamp_size(stamp.chain.size) octets.
void write_stamp(std::uint8_t* to, const route_stamp& stamp);

/// std::nullopt when the octets are not a well-formed stamp.
std::optional<route_stamp> read_stamp(byte_view bytes);

} // namespace toucanmill::detail

#endif
