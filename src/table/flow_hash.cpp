#include <toucanmill/table/flow_hash.hpp>

#include <array>
#include <boost/endian/conversion.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace toucanmill
{

namespace
{

/// Part of the protocol between balancers and agents: another value moves every
/// flow to another bucket.
constexpr std::uint64_t seed = 0x746F7563616E6D69; // "toucanmi"
constexpr std::uint8_t tcp_protocol = 6;
constexpr std::size_t endpoint_size = 6;

void store(std::uint8_t* to, const endpoint& value)
{
  boost::endian::store_big_u32(to, value.address.value);
  boost::endian::store_big_u16(to + 4, value.port);
}

} // namespace

std::uint64_t flow_hash(const flow_key& key)
{
  std::array<std::uint8_t, 2 * endpoint_size + 1> tuple;
  store(tuple.data(), key.caller);
  store(tuple.data() + endpoint_size, key.service);
  tuple.back() = tcp_protocol;
  return XXH3_64bits_withSeed(tuple.data(), tuple.size(), seed);
}

} // namespace toucanmill
