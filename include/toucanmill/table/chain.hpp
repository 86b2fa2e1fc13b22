#ifndef TOUCANMILL_TABLE_CHAIN_HPP
#define TOUCANMILL_TABLE_CHAIN_HPP

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace toucanmill
{

/// Maximum number of holders in a chain. Only the replacement of a draining or
/// failed owner may fill a chain up to it.
inline constexpr std::size_t max_chain_length = 8;

/// A move that is not forced by a drain or a failure (a node joins, load is
/// balanced) may lengthen only chains shorter than this.
inline constexpr std::size_t voluntary_chain_length = 4;

/// Holders of one bucket, as indexes into the service's holder list: the
/// current owner first, then previous owners that still have live flows, newest
/// first.
struct chain
{
  std::uint8_t size = 0;
  std::array<std::uint16_t, max_chain_length> holders{};

  const std::uint16_t* begin() const
  {
    return holders.data();
  }
  const std::uint16_t* end() const
  {
    return holders.data() + size;
  }

  bool operator==(const chain& other) const
  {
    return size == other.size && std::equal(begin(), end(), other.begin());
  }
};

} // namespace toucanmill

#endif
