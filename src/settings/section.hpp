#ifndef TOUCANMILL_SRC_SETTINGS_SECTION_HPP
#define TOUCANMILL_SRC_SETTINGS_SECTION_HPP

#include <chrono>
#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

#include <toucanmill/base/address.hpp>
#include <toucanmill/base/finding.hpp>

namespace toucanmill::detail
{

/// Collects findings of one file.
class finding_list
{
public:
  explicit finding_list(std::string file) : file_(std::move(file)) {}

  void add(const toml::source_region& place, std::string key,
           std::string message);
  findings take()
  {
    return std::move(found_);
  }
  bool empty() const
  {
    return found_.empty();
  }
  const std::string& file() const
  {
    return file_;
  }

private:
  std::string file_;
  findings found_;
};

/// Range of an integer or of a duration in milliseconds.
struct limits
{
  std::int64_t least = 0;
  std::int64_t most = std::numeric_limits<std::uint32_t>::max();
};

/// How one key of a section becomes a member of its settings struct.
template <class Section>
struct field
{
  using member =
      std::variant<std::string Section::*, endpoint Section::*,
                   std::vector<endpoint> Section::*, std::uint32_t Section::*,
                   std::chrono::milliseconds Section::*, bool Section::*,
                   std::vector<std::string> Section::*>;

  const char* key;
  member target;
  bool required = false;
  limits range = {};
};

// Each returns false after adding a finding.
bool read(const toml::node& node, const std::string& key, limits range,
          std::string& out, finding_list& list);
bool read(const toml::node& node, const std::string& key, limits range,
          endpoint& out, finding_list& list);
bool read(const toml::node& node, const std::string& key, limits range,
          std::vector<endpoint>& out, finding_list& list);
bool read(const toml::node& node, const std::string& key, limits range,
          std::uint32_t& out, finding_list& list);
bool read(const toml::node& node, const std::string& key, limits range,
          std::chrono::milliseconds& out, finding_list& list);

bool read(const toml::node& node, const std::string& key, limits range,
          bool& out, finding_list& list);
bool read(const toml::node& node, const std::string& key, limits range,
          std::vector<std::string>& out, finding_list& list);

/// Adds a finding for each key of the table that is not known.
void refuse_unknown_keys(const toml::table& table, const std::string& prefix,
                         const std::set<std::string>& known,
                         finding_list& list);

/// Reads all fields of a section. The prefix ("agent.") names the section in
/// findings; sections lists the keys that hold sub-sections.
template <class Section>
Section read_section(const toml::table& table, const std::string& prefix,
                     const std::vector<field<Section>>& fields,
                     const std::set<std::string>& sections, finding_list& list)
{
  Section section;
  std::set<std::string> known = sections;
  for (const auto& item : fields)
  {
    known.insert(item.key);
    const auto key = prefix + item.key;
    if (const auto* node = table.get(item.key))
      std::visit(
          [&](auto member)
          {
            read(*node, key, item.range, section.*member, list);
          },
          item.target);
    else if (item.required)
      list.add(table.source(), key, "is required");
  }
  refuse_unknown_keys(table, prefix, known, list);
  return section;
}

} // namespace toucanmill::detail

#endif
