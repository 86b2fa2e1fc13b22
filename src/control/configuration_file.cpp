#include <toucanmill/control/configuration_file.hpp>

#include <optional>
#include <utility>

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

namespace toucanmill
{

namespace
{

class configuration_reader
{
public:
  configuration_reader(const toml::table& root, const std::string& file)
      : root_(root), file_(file)
  {
  }

  std::variant<configuration, findings> run()
  {
    value_.version = number(root_, "version", "version").value_or(0);
    value_.idle_timeout_ms = static_cast<std::uint32_t>(
        number(root_, "idle_timeout_ms", "idle_timeout_ms").value_or(0));
    read_services();
    read_routes();
    if (found_.empty())
      for (auto& item : check_configuration(value_))
      {
        item.file = file_;
        found_.push_back(std::move(item));
      }
    if (!found_.empty())
      return std::move(found_);
    return std::move(value_);
  }

private:
  void add_finding(const toml::node& node, std::string key, std::string message)
  {
    const auto& position = node.source().begin;
    found_.push_back({file_, position.line, position.column, std::move(key),
                      std::move(message)});
  }

  std::optional<std::int64_t> number(const toml::table& from, const char* key,
                                     const std::string& name)
  {
    const auto* node = from.get(key);
    const auto value =
        node != nullptr ? node->value_exact<std::int64_t>() : std::nullopt;
    if (value && *value >= 0)
      return value;
    add_finding(node != nullptr ? *node : from, name,
                "must be a non-negative integer");
    return std::nullopt;
  }

  std::string text(const toml::table& from, const char* key,
                   const std::string& name)
  {
    const auto* node = from.get(key);
    if (const auto value =
            node != nullptr ? node->value_exact<std::string>() : std::nullopt)
      return *value;
    add_finding(node != nullptr ? *node : from, name, "must be a string");
    return {};
  }

  void read_services()
  {
    const auto* list = root_.get_as<toml::array>("services");
    if (list == nullptr)
      return add_finding(root_, "services", "must be an array of names");
    for (const auto& item : *list)
      if (const auto name = item.value_exact<std::string>())
        value_.services.push_back(*name);
      else
        add_finding(item, "services", "must be an array of names");
  }

  void read_routes()
  {
    const auto* list = root_.get_as<toml::array>("route");
    if (list == nullptr || !list->is_array_of_tables())
      return add_finding(root_, "route", "must be an array of tables");
    for (std::size_t i = 0; i < list->size(); ++i)
      read_route(*(*list)[i].as_table(), "route[" + std::to_string(i) + "].");
  }

  void read_route(const toml::table& from, const std::string& key)
  {
    route out;
    out.name = text(from, "name", key + "name");
    const auto address = parse_endpoint(text(from, "address", key + "address"));
    if (address)
      out.address = address.value();
    else
      add_finding(from, key + "address", address.error().message);
    out.timeout_ms = static_cast<std::uint32_t>(
        number(from, "timeout_ms", key + "timeout_ms").value_or(0));
    const auto* targets = from.get_as<toml::array>("targets");
    if (targets == nullptr || !targets->is_array_of_tables())
      add_finding(from, key + "targets", "must be an array of tables");
    else
      for (const auto& item : *targets)
        out.targets.push_back(
            {text(*item.as_table(), "service", key + "targets.service"),
             static_cast<std::uint32_t>(
                 number(*item.as_table(), "weight", key + "targets.weight")
                     .value_or(0))});
    value_.routes.push_back(std::move(out));
  }

  const toml::table& root_;
  const std::string& file_;
  configuration value_;
  findings found_;
};

} // namespace

std::variant<configuration, findings>
parse_configuration(std::string_view text, const std::string& file)
{
  const auto parsed = toml::parse(text, file);
  if (!parsed)
  {
    const auto& problem = parsed.error();
    const auto& position = problem.source().begin;
    return findings{{file, position.line, position.column, "",
                     std::string(problem.description())}};
  }
  auto read = configuration_reader(parsed.table(), file).run();
  if (auto* value = std::get_if<configuration>(&read))
    value->document = std::string(text);
  return read;
}

} // namespace toucanmill
