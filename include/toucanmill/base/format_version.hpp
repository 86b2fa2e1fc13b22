#ifndef TOUCANMILL_BASE_FORMAT_VERSION_HPP
#define TOUCANMILL_BASE_FORMAT_VERSION_HPP

#include <cstdint>
#include <string>
#include <tuple>

namespace toucanmill
{

/// Number of the formats of messages, log entries, snapshots and files. What a
/// version adds is written only once that version is in force.
using format_version = std::uint8_t;

/// Version of builds that state none.
inline constexpr format_version first_format_version = 1;

/// Versions that a build reads, and its identity.
struct format_support
{
  format_version oldest = first_format_version;
  format_version newest = first_format_version;
  std::uint32_t build = 0; ///< start of the commit's hash; 0: unknown

  bool reads(format_version version) const
  {
    return oldest <= version && version <= newest;
  }

  bool operator==(const format_support& other) const
  {
    return std::tie(oldest, newest, build) ==
           std::tie(other.oldest, other.newest, other.build);
  }
  bool operator!=(const format_support& other) const
  {
    return !(*this == other);
  }
};

/// What a process stated; builds that state nothing read the first version.
format_support stated_support(format_version oldest, format_version newest,
                              std::uint32_t build);

/// Support of the running program.
format_support this_build();

/// Eight hexadecimal digits, or "unknown".
std::string build_name(std::uint32_t build);

/// For example "build faf1efe0, formats 1 to 2".
std::string to_string(const format_support& support);

} // namespace toucanmill

#endif
