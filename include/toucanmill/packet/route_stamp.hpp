#ifndef TOUCANMILL_PACKET_ROUTE_STAMP_HPP
#define TOUCANMILL_PACKET_ROUTE_STAMP_HPP

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

#include <toucanmill/base/address.hpp>
#include <toucanmill/base/ids.hpp>

namespace toucanmill
{

/// Holders of a bucket: the agents that may have its flows. The owner, which
/// accepts new flows, is at index 0, and earlier holders follow.
struct stamped_chain
{
  static constexpr std::size_t capacity = 8;

  std::uint8_t size = 0;
  std::uint8_t suspects = 0; ///< bit i: lease of holder i has expired
  std::array<endpoint, capacity> holders{};

  bool is_suspect(std::size_t position) const
  {
    return (suspects >> position & 1U) != 0;
  }

  bool operator==(const stamped_chain& other) const
  {
    return size == other.size && suspects == other.suspects &&
           std::equal(holders.begin(), holders.begin() + size,
                      other.holders.begin());
  }
};

/// Why a packet is sent to a holder.
enum class stamp_purpose : std::uint8_t
{
  forward, ///< to be delivered or passed on
  probe,   ///< SYN passed along the chain to find the holder that has its flow
  accept,  ///< SYN returned to the owner: no probed holder has its flow
};

/// Routing state carried in the GUE header of an encapsulated packet.
struct route_stamp
{
  /// Hop limit: a packet is passed on at most this many times.
  static constexpr std::uint8_t max_hops = 12;

  service_id service;
  table_version version;
  std::uint16_t bucket = 0;
  std::uint8_t position = 0; ///< chain index of the holder it was sent to
  std::uint8_t hops = 0;
  stamp_purpose purpose = stamp_purpose::forward;
  endpoint return_to; ///< fabric edge that the packet came from
  stamped_chain chain;

  bool operator==(const route_stamp& other) const
  {
    return service == other.service && version == other.version &&
           bucket == other.bucket && position == other.position &&
           hops == other.hops && purpose == other.purpose &&
           return_to == other.return_to && chain == other.chain;
  }
};

} // namespace toucanmill

#endif
