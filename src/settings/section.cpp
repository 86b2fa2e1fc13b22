#include "section.hpp"

namespace toucanmill::detail
{

void finding_list::add(const toml::source_region& place, std::string key,
                       std::string message)
{
  found_.push_back({file_, place.begin.line, place.begin.column, std::move(key),
                    std::move(message)});
}

bool read(const toml::node& node, const std::string& key, limits,
          std::string& out, finding_list& list)
{
  if (const auto text = node.value_exact<std::string>())
  {
    out = *text;
    return true;
  }
  list.add(node.source(), key, "must be a string");
  return false;
}

bool read(const toml::node& node, const std::string& key, limits range,
          endpoint& out, finding_list& list)
{
  std::string text;
  if (!read(node, key, range, text, list))
    return false;
  const auto parsed = parse_endpoint(text);
  if (!parsed)
  {
    list.add(node.source(), key, parsed.error().message);
    return false;
  }
  out = parsed.value();
  return true;
}

bool read(const toml::node& node, const std::string& key, limits range,
          std::vector<endpoint>& out, finding_list& list)
{
  const auto* array = node.as_array();
  if (array == nullptr || array->empty())
  {
    list.add(node.source(), key, "must be a non-empty array of endpoints");
    return false;
  }
  bool good = true;
  for (const auto& element : *array)
  {
    endpoint value;
    good = read(element, key, range, value, list) && good;
    out.push_back(value);
  }
  return good;
}

bool read(const toml::node& node, const std::string& key, limits range,
          std::vector<std::string>& out, finding_list& list)
{
  const auto* array = node.as_array();
  if (array == nullptr)
  {
    list.add(node.source(), key, "must be an array of strings");
    return false;
  }
  bool good = true;
  for (const auto& element : *array)
  {
    std::string value;
    good = read(element, key, range, value, list) && good;
    out.push_back(std::move(value));
  }
  return good;
}

bool read(const toml::node& node, const std::string& key, limits range,
          std::uint32_t& out, finding_list& list)
{
  const auto number = node.value_exact<std::int64_t>();
  if (!number || *number < range.least || *number > range.most)
  {
    list.add(node.source(), key,
             "must be an integer from " + std::to_string(range.least) + " to " +
                 std::to_string(range.most));
    return false;
  }
  out = static_cast<std::uint32_t>(*number);
  return true;
}

bool read(const toml::node& node, const std::string& key, limits range,
          std::chrono::milliseconds& out, finding_list& list)
{
  std::uint32_t number = 0;
  if (!read(node, key, range, number, list))
    return false;
  out = std::chrono::milliseconds(number);
  return true;
}

bool read(const toml::node& node, const std::string& key, limits, bool& out,
          finding_list& list)
{
  const auto value = node.value_exact<bool>();
  if (!value)
  {
    list.add(node.source(), key, "must be true or false");
    return false;
  }
  out = *value;
  return true;
}

void refuse_unknown_keys(const toml::table& table, const std::string& prefix,
                         const std::set<std::string>& known, finding_list& list)
{
  for (const auto& [key, node] : table)
    if (const std::string name(key.str()); known.count(name) == 0)
      list.add(key.source(), prefix + name, "is not a known key");
}

} // namespace toucanmill::detail
