#include "request_store.hpp"

#include <array>

#include "claim_store.hpp"

namespace toucanmill
{

namespace
{

constexpr std::array<const char*, 8> change_names = {
    "create service", "change service", "delete service", "drain node",
    "restore node",   "retire node",    "evacuate",       "restore"};
static_assert(change_names.size() == std::variant_size_v<operator_change>);

std::string quoted(const std::string& text)
{
  return "\"" + text + "\"";
}

/// Returns the fields of a change as text, by field name.
struct field_formatter
{
  using fields = std::map<std::string, std::string>;

  fields operator()(const create_service& value) const
  {
    return {{"name", quoted(value.name)},
            {"address", to_string(value.address)},
            {"kind", value.kind == service_kind::http ? "http" : "stream"},
            {"buckets", std::to_string(value.buckets)}};
  }
  fields operator()(const change_service& value) const
  {
    return {{"name", quoted(value.name)},
            {"address", to_string(value.address)}};
  }
  fields operator()(const delete_service& value) const
  {
    return {{"name", quoted(value.name)}};
  }
  fields operator()(const drain_node& value) const
  {
    return {{"node", quoted(value.node)}};
  }
  fields operator()(const restore_node& value) const
  {
    return {{"node", quoted(value.node)}};
  }
  fields operator()(const retire_node& value) const
  {
    return {{"node", quoted(value.node)}};
  }
  fields operator()(const evacuate_data_centre& value) const
  {
    return {{"data centre", quoted(value.data_centre)}};
  }
  fields operator()(const restore_data_centre& value) const
  {
    return {{"data centre", quoted(value.data_centre)}};
  }
};

field_formatter::fields fields_of(const operator_request& request)
{
  auto fields = std::visit(field_formatter{}, request.change);
  fields["if_version"] = std::to_string(request.if_version);
  return fields;
}

} // namespace

std::string describe_difference(const operator_request& first,
                                const operator_request& second)
{
  if (first.change.index() != second.change.index())
    return std::string("change is \"") + change_names[second.change.index()] +
           "\", was \"" + change_names[first.change.index()] + "\"";
  std::string description;
  const auto before = fields_of(first);
  for (const auto& [name, value] : fields_of(second))
    if (value != before.at(name))
      description += (description.empty() ? "" : "; ") + name + " is " + value +
                     ", was " + before.at(name);
  return description;
}

const stored_request* request_store::find(const std::string& id) const
{
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

void request_store::insert(stored_request value)
{
  const auto index = value.index;
  auto id = value.request.request_id;
  const auto [at, inserted] =
      requests_.emplace(std::move(id), std::move(value));
  by_index_.emplace(index, &at->first);
}

void request_store::expire(std::uint64_t clock)
{
  while (!by_index_.empty())
  {
    const auto oldest = requests_.find(*by_index_.begin()->second);
    if (oldest->second.at + retention_seconds > clock)
      return;
    by_index_.erase(by_index_.begin());
    requests_.erase(oldest);
  }
}

} // namespace toucanmill
