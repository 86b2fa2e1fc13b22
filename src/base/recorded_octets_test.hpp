#ifndef TOUCANMILL_SRC_BASE_RECORDED_OCTETS_TEST_HPP
#define TOUCANMILL_SRC_BASE_RECORDED_OCTETS_TEST_HPP

#include <fstream>
#include <map>
#include <sstream>
#include <stdexcept>
#include <string>

namespace toucanmill::test
{

/// Encoded values by name.
using named_octets = std::map<std::string, std::string>;

inline std::string from_hex(const std::string& digits)
{
  std::string octets;
  for (std::size_t i = 0; i + 1 < digits.size(); i += 2)
    octets += static_cast<char>(std::stoi(digits.substr(i, 2), nullptr, 16));
  return octets;
}

/// Reads src/SLICE/testdata/BUILD.hex, which an earlier build wrote: a name and
/// hexadecimal digits in each line.
inline named_octets recorded_octets(const std::string& slice,
                                    const std::string& build)
{
  const auto path = std::string(TOUCANMILL_SOURCE_DIR) + "/src/" + slice +
                    "/testdata/" + build + ".hex";
  std::ifstream input(path);
  if (!input)
    throw std::runtime_error("cannot read " + path);
  named_octets recorded;
  for (std::string line; std::getline(input, line);)
  {
    std::istringstream words(line);
    std::string name;
    std::string digits;
    words >> name >> digits;
    recorded[name] = from_hex(digits);
  }
  return recorded;
}

/// Names of values that differ or that only one side has; empty if none.
inline std::string differences(const named_octets& recorded,
                               const named_octets& present)
{
  std::string names;
  for (const auto& [name, octets] : recorded)
    if (const auto found = present.find(name);
        found == present.end() || found->second != octets)
      names += name + " ";
  for (const auto& [name, octets] : present)
    if (recorded.count(name) == 0)
      names += name + " ";
  return names;
}

} // namespace toucanmill::test

#endif
