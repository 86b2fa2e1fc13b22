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

/// Holders of a bucket that a packet may still visit.
struct stamped_chain
{
  static constexpr std::size_t capacity = 8;

  std::uint8_t size = 0;
  std::uint8_t suspects = 0; ///< bit i: holder i is suspect
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

/// What a packet in the middle of a bucket handover is for.
enum class stamp_purpose : std::uint8_t
{
  forward, ///< on its way to a holder
  probe,   ///< SYN asked down the chain by the owner: does anyone know it?
  accept,  ///< SYN returned to the owner: no earlier holder knows it
};

/// Routing state that travels with an encapsulated packet.
struct route_stamp
{
  /// A packet is passed on at most this often.
  static constexpr std::uint8_t max_hops = 12;

  service_id service;
  table_version version;
  std::uint16_t bucket = 0;
  std::uint8_t position = 0; ///< index in the chain that it was sent to
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
