#ifndef TOUCANMILL_BASE_HASH_HPP
#define TOUCANMILL_BASE_HASH_HPP

#include <cstdint>

namespace toucanmill
{

/// Finaliser of MurmurHash3: spreads keys that differ in few bits.
inline std::uint64_t mix(std::uint64_t key)
{
  key ^= key >> 33;
  key *= 0xFF51AFD7ED558CCDULL;
  key ^= key >> 33;
  key *= 0xC4CEB9FE1A85EC53ULL;
  return key ^ key >> 33;
}

} // namespace toucanmill

#endif
