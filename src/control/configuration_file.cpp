#include <toucanmill/control/configuration_file.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <limits>
#include <optional>
#include <utility>

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

namespace toucanmill
{

namespace
{

constexpr std::int64_t max_u32 = std::numeric_limits<std::uint32_t>::max();

/// configuration::warm_up counts flows in 1,000 s.
constexpr double warm_up_seconds = 1000;

struct kind_name
{
  const char* name;
  request_kind kind;
};

constexpr std::array<kind_name, 2> kind_names = {{
    {"idempotent", request_kind::idempotent},
    {"non_idempotent", request_kind::non_idempotent},
}};

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
    read_warm_up();
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

  /// 0 if the key is missing.
  std::uint32_t optional_number(const toml::table& from, const char* key,
                                const std::string& name)
  {
    const auto* node = from.get(key);
    if (node == nullptr)
      return 0;
    const auto value = node->value_exact<std::int64_t>();
    if (value && *value >= 0 && *value <= max_u32)
      return static_cast<std::uint32_t>(*value);
    add_finding(*node, name, "must be an integer from 0 to 4294967295");
    return 0;
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

  request_kind read_kind(const toml::table& from, const std::string& key)
  {
    const auto* node = from.get("kind");
    if (node == nullptr)
      return request_kind::unknown;
    if (const auto name = node->value_exact<std::string>())
      for (const auto& item : kind_names)
        if (*name == item.name)
          return item.kind;
    add_finding(*node, key + "kind",
                "must be \"idempotent\" or \"non_idempotent\"");
    return request_kind::unknown;
  }

  void read_warm_up()
  {
    const auto* node = root_.get("warm_up");
    if (node == nullptr)
      return;
    const auto* list = node->as_array();
    if (list == nullptr || !list->is_array_of_tables())
      return add_finding(*node, "warm_up", "must be an array of tables");
    for (std::size_t i = 0; i < list->size(); ++i)
    {
      const auto& from = *(*list)[i].as_table();
      const auto key = "warm_up[" + std::to_string(i) + "].";
      auto service = text(from, "service", key + "service");
      value_.warm_up.push_back({std::move(service), read_rate(from, key)});
    }
  }

  /// New flows in 1,000 s; at least 1, since 0 means no limit.
  std::uint32_t read_rate(const toml::table& from, const std::string& key)
  {
    const auto* node = from.get("flows_per_s");
    const auto value = node != nullptr && node->is_number()
                           ? node->value<double>()
                           : std::nullopt;
    if (value && *value > 0 && *value * warm_up_seconds <= max_u32)
      return static_cast<std::uint32_t>(
          std::max(1.0, std::round(*value * warm_up_seconds)));
    add_finding(node != nullptr ? *node : from, key + "flows_per_s",
                "must be a number above 0 and at most 4294967");
    return 0;
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
    out.objectives = {read_kind(from, key),
                      optional_number(from, "latency_ms", key + "latency_ms"),
                      optional_number(from, "priority", key + "priority")};
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
