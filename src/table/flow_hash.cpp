#include <toucanmill/table/flow_hash.hpp>

#include <array>
#include <boost/endian/conversion.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace toucanmill
{

namespace
{

/// Part of the protocol between balancers and agents: with another value, flows
/// map to other buckets.
constexpr std::uint64_t hash_seed = 0x746F7563616E6D69; // "toucanmi"
constexpr std::uint8_t tcp_protocol = 6;
constexpr std::size_t endpoint_size = 6;

void store_endpoint(std::uint8_t* to, const endpoint& value)
{
  boost::endian::store_big_u32(to, value.address.value);
  boost::endian::store_big_u16(to + 4, value.port);
}

} // namespace

std::uint64_t flow_hash(const flow_key& key)
{
  std::array<std::uint8_t, 2 * endpoint_size + 1> tuple;
  store_endpoint(tuple.data(), key.caller);
  store_endpoint(tuple.data() + endpoint_size, key.service);
  tuple.back() = tcp_protocol;
  return XXH3_64bits_withSeed(tuple.data(), tuple.size(), hash_seed);
}

} // namespace toucanmill
