#include <toucanmill/settings/settings.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>

#include "section.hpp"

namespace toucanmill
{

namespace
{

using detail::field;
using detail::finding_list;

const std::set<std::string> roles = {"balancer", "agent", "control"};

const std::vector<field<instance_settings>> instance_fields = {
    {"role", &instance_settings::role, true},
    {"name", &instance_settings::name, true},
    {"data_centre", &instance_settings::data_centre, true},
    {"log_level", &instance_settings::log_level},
    {"http", &instance_settings::http},
    {"control_endpoints", &instance_settings::control},
    {"control_seeds", &instance_settings::control_seeds},
    {"control_rpc_port",
     &instance_settings::control_rpc_port,
     false,
     {1, 65'535}},
    {"api", &instance_settings::api},
    {"stop_limit_ms", &instance_settings::stop_limit, false, {1, 86'400'000}},
};

const std::vector<field<balancer_settings>> balancer_fields = {
    {"mode", &balancer_settings::mode},
    {"data", &balancer_settings::data, true},
    {"fabric", &balancer_settings::fabric},
    {"relay", &balancer_settings::relay},
    {"placement", &balancer_settings::placement},
};

const std::vector<field<agent_settings>> agent_fields = {
    {"mode", &agent_settings::mode},
    {"outbound", &agent_settings::outbound},
    {"announce_interval_ms",
     &agent_settings::announce_interval,
     false,
     {1, 600'000}},
    {"max_flow_age_ms",
     &agent_settings::max_flow_age,
     false,
     {1000, 86'400'000}},
    {"data", &agent_settings::data, true},
    {"upstream", &agent_settings::upstream, true},
    {"service", &agent_settings::service, true},
    {"slots", &agent_settings::slots, false, {1, 65'535}},
    {"connections", &agent_settings::connections, false, {1, 1'000'000}},
    {"admission", &agent_settings::admission},
    {"queue", &agent_settings::queue, false, {0, 65'535}},
    {"queue_deadline_ms", &agent_settings::queue_deadline, false, {1, 600'000}},
};

const std::vector<field<control_settings>> control_fields = {
    {"mode", &control_settings::mode},
    {"bootstrap", &control_settings::bootstrap},
    {"data_centres", &control_settings::data_centres},
    {"election_timeout_ms",
     &control_settings::election_timeout,
     false,
     {200, 60'000}},
    {"ramp_ms", &control_settings::ramp, false, {1, 600'000}},
    {"rebalance_interval_ms",
     &control_settings::rebalance_interval,
     false,
     {50, 600'000}},
    {"raise_format_after_ms",
     &control_settings::raise_format_after,
     false,
     {0, 86'400'000}},
    {"mb_per_snapshot", &control_settings::mb_per_snapshot, false, {1, 4096}},
    {"id", &control_settings::id, false, {1, 0xFFFFFFFF}},
    {"rpc", &control_settings::rpc, true},
    {"listen", &control_settings::listen},
    {"folder", &control_settings::folder},
    {"tolerated_losses", &control_settings::tolerated_losses, false, {0, 16}},
    {"lease_ms", &control_settings::lease, false, {500, 60'000}},
    {"max_flow_age_ms",
     &control_settings::max_flow_age,
     false,
     {1000, 86'400'000}},
    {"entries_per_snapshot",
     &control_settings::entries_per_snapshot,
     false,
     {10, 10'000'000}},
};

const std::vector<field<group_member_settings>> member_fields = {
    {"id", &group_member_settings::id, true, {1, 0xFFFFFFFF}},
    {"rpc", &group_member_settings::rpc, true},
};

bool is_name(const std::string& text)
{
  const auto allowed = [](char c)
  {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
  };
  return !text.empty() && text.size() <= 63 &&
         std::all_of(text.begin(), text.end(), allowed);
}

toml::source_region place_of(const toml::table& table, const char* key)
{
  const auto* node = table.get(key);
  return node != nullptr ? node->source() : table.source();
}

void check_name(const toml::table& table, const char* key,
                const std::string& prefix, const std::string& value,
                finding_list& list)
{
  if (table.contains(key) && !is_name(value))
    list.add(place_of(table, key), prefix + key,
             "must be 1 to 63 characters of a-z, 0-9 and -");
}

void read_group(const toml::table& section, control_settings& control,
                finding_list& list)
{
  const auto* group = section.get_as<toml::array>("group");
  if (group == nullptr || group->empty() || !group->is_array_of_tables())
  {
    list.add(place_of(section, "group"), "control.group",
             "must be a non-empty array of tables");
    return;
  }
  for (const auto& element : *group)
    control.group.push_back(detail::read_section(
        *element.as_table(), "control.group.", member_fields, {}, list));
  std::set<std::uint32_t> ids;
  for (const auto& member : control.group)
    if (!ids.insert(member.id).second)
      list.add(group->source(), "control.group",
               "has id " + std::to_string(member.id) + " twice");
}

/// Adds a finding when the value of the key is not one of the two.
void check_choice(const toml::table& section, const std::string& prefix,
                  const char* key, const std::string& value, const char* first,
                  const char* second, finding_list& list)
{
  if (value != first && value != second)
    list.add(place_of(section, key), prefix + key,
             std::string("must be \"") + first + "\" or \"" + second + "\"");
}

/// Adds a finding when a key that the mode needs is missing.
void require(const toml::table& section, const char* key,
             const std::string& prefix, finding_list& list)
{
  if (!section.contains(key))
    list.add(section.source(), prefix + key, "is required");
}

balancer_settings read_balancer(const toml::table& section, finding_list& list)
{
  auto balancer =
      detail::read_section(section, "balancer.", balancer_fields, {}, list);
  check_choice(section, "balancer.", "mode", balancer.mode, "fabric", "direct",
               list);
  check_choice(section, "balancer.", "placement", balancer.placement, "hash",
               "near", list);
  require(section, balancer.mode == "direct" ? "relay" : "fabric", "balancer.",
          list);
  return balancer;
}

agent_settings read_agent(const toml::table& section, finding_list& list)
{
  auto agent = detail::read_section(section, "agent.", agent_fields, {}, list);
  check_choice(section, "agent.", "mode", agent.mode, "sessions", "relay",
               list);
  check_choice(section, "agent.", "admission", agent.admission, "slots",
               "objectives", list);
  if (agent.mode == "relay")
    require(section, "outbound", "agent.", list);
  check_name(section, "service", "agent.", agent.service, list);
  return agent;
}

control_settings read_control(const toml::table& section, finding_list& list)
{
  auto control = detail::read_section(section, "control.", control_fields,
                                      {"group"}, list);
  check_choice(section, "control.", "mode", control.mode, "static", "seeds",
               list);
  if (control.mode == "seeds")
    return control;
  require(section, "folder", "control.", list);
  require(section, "id", "control.", list);
  read_group(section, control, list);
  return control;
}

void read_role(const toml::table& section, settings& out, finding_list& list)
{
  const auto& role = out.instance.role;
  if (role == "balancer")
    out.role = read_balancer(section, list);
  if (role == "agent")
    out.role = read_agent(section, list);
  if (role == "control")
    out.role = read_control(section, list);
}

void check_instance(const toml::table& root, const instance_settings& instance,
                    finding_list& list)
{
  check_name(root, "name", "", instance.name, list);
  check_name(root, "data_centre", "", instance.data_centre, list);
  if (root.contains("role") && roles.count(instance.role) == 0)
    list.add(place_of(root, "role"), "role",
             "must be \"balancer\", \"agent\" or \"control\"");
  if (instance.role != "control" && !root.contains("control_endpoints") &&
      !root.contains("control_seeds"))
    list.add(root.source(), "control_endpoints", "is required");
  if (root.contains("control_seeds") && !root.contains("control_rpc_port"))
    list.add(place_of(root, "control_seeds"), "control_rpc_port",
             "is required with control_seeds");
}

settings_or_findings check(const toml::table& root, const std::string& file)
{
  finding_list list(file);
  settings out;
  out.instance = detail::read_section(root, "", instance_fields, roles, list);
  check_instance(root, out.instance, list);
  for (const auto& role : roles)
    if (role != out.instance.role && root.contains(role))
      list.add(place_of(root, role.c_str()), role,
               "is a section of another role");
  if (const auto* section = root.get_as<toml::table>(out.instance.role))
    read_role(*section, out, list);
  else if (roles.count(out.instance.role) != 0)
    list.add(root.source(), out.instance.role, "section is required");
  if (!list.empty())
    return list.take();
  return out;
}

} // namespace

std::vector<endpoint> control_endpoints(const instance_settings& instance)
{
  auto found = instance.control;
  for (const auto& seed : instance.control_seeds)
    found.push_back(
        {seed.address, static_cast<std::uint16_t>(instance.control_rpc_port)});
  return found;
}

settings_or_findings parse_settings(std::string_view text,
                                    const std::string& file)
{
  const auto parsed = toml::parse(text, file);
  if (!parsed)
  {
    const auto& error = parsed.error();
    const auto& place = error.source().begin;
    return findings{
        {file, place.line, place.column, "", std::string(error.description())}};
  }
  return check(parsed.table(), file);
}

settings_or_findings load_settings(const std::string& file)
{
  std::ifstream input(file, std::ios::binary);
  if (!input)
    return findings{{file, 0, 0, "", "cannot be read"}};
  const std::string text{std::istreambuf_iterator<char>(input), {}};
  return parse_settings(text, file);
}

} // namespace toucanmill
