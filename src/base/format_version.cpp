#include <toucanmill/base/format_version.hpp>

#include <algorithm>
#include <cstdio>

#ifndef TOUCANMILL_BUILD
#define TOUCANMILL_BUILD 0
#endif

namespace toucanmill
{

namespace
{

constexpr format_version newest_format_version = 2;

} // namespace

format_support stated_support(format_version oldest, format_version newest,
                              std::uint32_t build)
{
  const auto lowest = std::max(oldest, first_format_version);
  return {lowest, std::max(newest, lowest), build};
}

format_support this_build()
{
  return {first_format_version, newest_format_version, TOUCANMILL_BUILD};
}

std::string build_name(std::uint32_t build)
{
  if (build == 0)
    return "unknown";
  char digits[9];
  std::snprintf(digits, sizeof digits, "%08x", build);
  return digits;
}

std::string to_string(const format_support& support)
{
  return "build " + build_name(support.build) + ", formats " +
         std::to_string(support.oldest) + " to " +
         std::to_string(support.newest);
}

} // namespace toucanmill
