#ifndef TOUCANMILL_BASE_OCTETS_HPP
#define TOUCANMILL_BASE_OCTETS_HPP

#include <cstddef>
#include <string>
#include <string_view>

namespace toucanmill
{

/// Octets of the string from the offset on, for conversions of integers.
inline unsigned char* octets_at(std::string& bytes, std::size_t offset)
{
  return reinterpret_cast<unsigned char*>(bytes.data()) + offset;
}

inline const unsigned char* octets_at(std::string_view bytes,
                                      std::size_t offset)
{
  return reinterpret_cast<const unsigned char*>(bytes.data()) + offset;
}

} // namespace toucanmill

#endif
