#include "output.hpp"

#include <ctime>
#include <iomanip>
#include <map>
#include <sstream>

namespace toucanmill::cli
{

namespace
{

const char* name_of(service_kind kind)
{
  return kind == service_kind::http ? "http" : "stream";
}

const char* name_of(node_state state)
{
  static constexpr const char* names[] = {"active", "draining", "suspect",
                                          "gone"};
  return names[static_cast<std::size_t>(state)];
}

const char* name_of(node_order order)
{
  static constexpr const char* names[] = {"none", "drain", "retire"};
  return names[static_cast<std::size_t>(order)];
}

/// Buckets of one holder.
struct holding
{
  std::size_t owned = 0; ///< first of the chain
  std::size_t held = 0;  ///< later in the chain
};

std::vector<holding> count_holdings(const service_table& service)
{
  std::vector<holding> counts(service.holders.size());
  for (const auto& bucket : service.buckets)
    for (std::size_t i = 0; i < bucket.size; ++i)
      ++(i == 0 ? counts[bucket.holders[i]].owned
                : counts[bucket.holders[i]].held);
  return counts;
}

/// UTC, for example 2026-12-04T10:15:00Z.
std::string time_text(std::uint64_t seconds)
{
  const auto raw = static_cast<std::time_t>(seconds);
  std::tm parts{};
  if (gmtime_r(&raw, &parts) == nullptr)
    return std::to_string(seconds);
  std::ostringstream out;
  out << std::put_time(&parts, "%Y-%m-%dT%H:%M:%SZ");
  return out.str();
}

nlohmann::json to_json(const format_support& formats)
{
  return {{"build", build_name(formats.build)},
          {"oldest", formats.oldest},
          {"newest", formats.newest}};
}

nlohmann::json to_json(const node_overview& node)
{
  const auto& identity = node.record.identity;
  return {{"name", identity.name},
          {"role", identity.role == node_role::agent ? "agent" : "balancer"},
          {"dataCentre", identity.data_centre},
          {"endpoint", to_string(identity.data)},
          {"service", identity.service},
          {"state", name_of(node.record.state)},
          {"order", name_of(node.record.order)},
          {"leaseValid", node.live.lease_valid},
          {"appliedIndex", node.live.applied.index},
          {"flows", node.live.flows},
          {"busySlots", node.live.busy_slots},
          {"formats", to_json(node.live.formats.value_or(format_support{}))}};
}

} // namespace

nlohmann::json to_json(const service_table& service)
{
  auto former = nlohmann::json::array();
  for (const auto& address : service.former_addresses)
    former.push_back(to_string(address));
  auto holders = nlohmann::json::array();
  const auto counts = count_holdings(service);
  for (std::size_t i = 0; i < counts.size(); ++i)
    holders.push_back({{"agent", to_string(service.holders[i].agent)},
                       {"suspect", service.holders[i].suspect},
                       {"ownedBuckets", counts[i].owned},
                       {"heldBuckets", counts[i].held}});
  return {{"id", service.id.value},
          {"name", service.name},
          {"address", to_string(service.address)},
          {"formerAddresses", former},
          {"kind", name_of(service.kind)},
          {"changedAtIndex", service.version.index},
          {"buckets", service.buckets.size()},
          {"holders", holders}};
}

nlohmann::json to_json(const service_list& list)
{
  auto services = nlohmann::json::array();
  for (const auto& service : list.services)
    services.push_back(to_json(service));
  return {{"version", list.version}, {"services", services}};
}

nlohmann::json to_json(const system_status& status)
{
  auto nodes = nlohmann::json::array();
  for (const auto& node : status.nodes)
    nodes.push_back(to_json(node));
  auto group = nlohmann::json::array();
  for (std::size_t i = 0; i < status.group.size(); ++i)
    group.push_back({{"id", status.group[i].id.value},
                     {"rpc", to_string(status.group[i].rpc)},
                     {"voter", status.group[i].voter},
                     {"formats", to_json(status.formats.at(i))}});
  return {{"answeredBy", status.self.value},
          {"leader", status.leader.value},
          {"term", status.term},
          {"commitIndex", status.commit_index},
          {"appliedIndex", status.applied_index},
          {"lastIndex", status.last_index},
          {"snapshotIndex", status.snapshot_index},
          {"version", status.configuration_version},
          {"claims", status.claims},
          {"formatVersion", status.format},
          {"heldBackBy", status.held_back_by},
          {"halted", status.halted},
          {"group", group},
          {"nodes", nodes}};
}

nlohmann::json to_json(const in_force_state& state)
{
  return {{"inForce", state.in_force}, {"waitingFor", state.waiting}};
}

nlohmann::json to_json(const evacuation_list& list)
{
  auto evacuations = nlohmann::json::array();
  for (const auto& item : list.evacuations)
    evacuations.push_back({{"dataCentre", item.data_centre},
                           {"since", time_text(item.since)},
                           {"index", item.index}});
  return {{"evacuations", evacuations}};
}

std::string to_text(const service_table& service)
{
  std::ostringstream out;
  out << service.name << "  " << to_string(service.address) << "  "
      << name_of(service.kind) << "  " << service.buckets.size()
      << " buckets  changed at index " << service.version.index << "\n";
  const auto counts = count_holdings(service);
  for (std::size_t i = 0; i < counts.size(); ++i)
    out << "  " << to_string(service.holders[i].agent) << "  owns "
        << counts[i].owned << ", also holds " << counts[i].held
        << (service.holders[i].suspect ? "  suspect" : "") << "\n";
  return out.str();
}

std::string to_text(const service_list& list)
{
  std::string out = "version " + std::to_string(list.version) + "\n";
  for (const auto& service : list.services)
    out += to_text(service);
  return out;
}

std::string to_text(const system_status& status)
{
  std::ostringstream out;
  out << "leader " << status.leader.value << "  term " << status.term
      << "  version " << status.configuration_version << "  applied index "
      << status.applied_index << "  claims " << status.claims << "\n";
  out << "format version " << std::to_string(status.format) << " in force";
  for (std::size_t i = 0; i < status.held_back_by.size(); ++i)
    out << (i == 0 ? ", held back by " : ", ") << status.held_back_by[i];
  out << "\n";
  if (!status.halted.empty())
    out << "the answering instance halted: " << status.halted << "\n";
  for (std::size_t i = 0; i < status.group.size(); ++i)
    out << "  control " << status.group[i].id.value << "  "
        << to_string(status.group[i].rpc)
        << (status.group[i].voter ? "" : "  learner") << "  "
        << to_string(status.formats.at(i)) << "\n";
  for (const auto& node : status.nodes)
    out << "  " << node.record.identity.name << "  "
        << name_of(node.record.state) << "  applied index "
        << node.live.applied.index << "  flows " << node.live.flows
        << (node.live.lease_valid ? "" : "  no lease") << "  "
        << to_string(node.live.formats.value_or(format_support{})) << "\n";
  return out.str();
}

std::string to_text(const evacuation_list& list)
{
  if (list.evacuations.empty())
    return "no data centre is evacuated\n";
  std::ostringstream out;
  for (const auto& item : list.evacuations)
    out << item.data_centre << "  since " << time_text(item.since)
        << "  changed at index " << item.index << "\n";
  return out.str();
}

} // namespace toucanmill::cli
