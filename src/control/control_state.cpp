#include <toucanmill/control/control_state.hpp>

#include <algorithm>
#include <map>
#include <utility>

#include <toucanmill/base/clock.hpp>

#include "change_notice.hpp"

namespace toucanmill
{

namespace
{

using notice = control_notice;

/// Interval between checks for unresponsive members.
constexpr duration group_check_interval = std::chrono::milliseconds(500);

/// Silence after which another instance may have taken a member's endpoint.
constexpr duration member_silence_timeout = std::chrono::milliseconds(500);

/// Maximum number of declarations timed concurrently until they are in force.
constexpr std::size_t max_pending_declarations = 64;

/// Refused builds that are reported, one notice each.
constexpr std::size_t max_refused_builds = 1024;

/// Time without a leader after which an instance asks whether it is still a
/// member; longer than two elections.
constexpr duration leader_absence_timeout = std::chrono::seconds(3);

const char* name_of(node_state state)
{
  switch (state)
  {
  case node_state::active:
    return "active";
  case node_state::draining:
    return "draining";
  case node_state::suspect:
    return "suspect";
  case node_state::gone:
    break;
  }
  return "gone";
}

} // namespace

control_state::control_state(control_state_options options)
    : options_(std::move(options)), machine_(options_.assignment),
      membership_(options_.membership), versions_(options_.versions)
{
}

void control_state::attach(replicated_log& log)
{
  log_ = &log;
}

std::string control_state::apply(const log_entry& entry)
{
  // Skipping a committed entry that cannot be decoded would make the state of
  // this instance diverge permanently from that of the other replicas.
  if (failure_)
    return {};
  const auto decoded = decode_command(entry.payload);
  const auto at = "entry " + std::to_string(entry.position.index);
  if (!decoded)
  {
    fail({error_code::corrupt_data, at + ": " + decoded.error().message});
    return {};
  }
  if (const auto* raise = std::get_if<raise_version>(&decoded.value());
      raise != nullptr && options_.formats.newest < raise->version)
  {
    fail({error_code::corrupt_data, at + " raises the format version to " +
                                        std::to_string(raise->version)});
    return {};
  }
  const auto outcome = machine_.apply(entry.position, decoded.value());
  notify_command(decoded.value(), outcome);
  if (leads_ && pending_declarations_.size() < max_pending_declarations &&
      std::holds_alternative<declare_configuration>(decoded.value()))
    pending_declarations_.emplace_back(entry.position.index, monotonic_now());
  return encode(outcome);
}

std::string control_state::snapshot()
{
  return machine_.snapshot();
}

result<void> control_state::restore(table_version, const std::string& bytes)
{
  auto restored = state_machine::restore(bytes, options_.assignment);
  if (!restored)
  {
    if (log_ != nullptr)
      fail(restored.error());
    return restored.error();
  }
  machine_ = std::move(restored.value());
  return outcome::success();
}

std::optional<error>
control_state::refusal(const replicated_log_status& status) const
{
  if (!options_.remove_silent_members ||
      !awaits_disks(status, monotonic_now() - leads_since_,
                    monotonic_now() - group_changed_, options_.group))
    return std::nullopt;
  return error{error_code::unavailable,
               "not run: the group waits for instances with a disk"};
}

void control_state::on_leadership(bool leads, std::uint64_t term)
{
  leads_ = leads;
  leads_since_ = group_changed_ = monotonic_now();
  pending_declarations_.clear();
  next_group_check_ = {};
  first_group_check_ = true;
  proposed_format_ = 0;
  settled_index_ = 0;
  versions_.on_leader();
  if (leads)
    membership_.on_leader(machine_, monotonic_now());
  options_.notify(
      {leads ? notice::kind::leadership_gained : notice::kind::leadership_lost,
       "term " + std::to_string(term)});
}

void control_state::on_storage_full(const std::optional<error>& why)
{
  if (why)
    options_.notify({notice::kind::storage_full, why->message});
  else
    options_.notify({notice::kind::storage_writable, "writes go on"});
}

void control_state::on_tick(time_point now)
{
  if (leads_)
  {
    note_group(now);
    propose(membership_.on_tick(machine_, now));
    settled_index_ = membership_.settled_index();
    check_group(now);
    check_in_force(now);
  }
  check_joined(now);
}

void control_state::note_group(time_point now)
{
  if (log_ == nullptr)
    return;
  const auto status = log_->status();
  if (status.group == group_)
    return;
  group_ = status.group;
  group_changed_ = now;
  next_group_check_ = now;
  options_.notify(detail::group_notice(status, member_silence_timeout));
}

void control_state::check_in_force(time_point now)
{
  while (!pending_declarations_.empty() &&
         membership_.in_force(pending_declarations_.front().first, now))
  {
    if (options_.on_in_force)
      options_.on_in_force(now - pending_declarations_.front().second);
    pending_declarations_.pop_front();
  }
}

void control_state::check_group(time_point now)
{
  if (log_ == nullptr || now < next_group_check_)
    return;
  next_group_check_ = now + group_check_interval;
  check_version(now);
  if (options_.remove_silent_members)
    remove_silent_members();
  // A new leader has not heard from any member yet: after a power loss, any
  // seed may have lost its knowledge of the group.
  const bool first = std::exchange(first_group_check_, false);
  if (options_.on_members)
    options_.on_members(members(),
                        first ? std::vector<endpoint>{} : reachable_members());
}

// An entry or snapshot of a newer build must not be guessed at.
void control_state::fail(error why)
{
  why.message += "; this is " + to_string(options_.formats);
  options_.notify({notice::kind::halted, why.message});
  failure_ = std::move(why);
}

void control_state::check_version(time_point now)
{
  if (!options_.versions.raises ||
      options_.formats.newest <= std::max(machine_.format(), proposed_format_))
    return;
  const auto version = versions_.propose(
      machine_.format(), options_.formats.newest, version_members(now), now);
  if (!version)
    return;
  proposed_format_ = *version;
  log_->propose(encode(raise_version{*version}),
                [this](const result<std::string>& applied)
                {
                  if (!applied)
                    proposed_format_ = 0;
                });
}

std::vector<version_member> control_state::version_members(time_point now) const
{
  std::vector<version_member> found;
  const auto status = log_->status();
  for (const auto& member : status.group)
  {
    version_member item{"control " + to_string(member.id), {}};
    for (const auto& [id, formats] : status.formats)
      if (id == member.id)
        item.formats = formats;
    if (is_silent(status, member.id, member_silence_timeout))
      item.formats.reset();
    found.push_back(std::move(item));
  }
  std::map<node_id, node_liveness> live;
  for (const auto& item : membership_.liveness(now))
    live.emplace(item.id, item);
  for (const auto* node : machine_.nodes())
    if (node->state != node_state::gone)
    {
      const auto item = live.find(node->identity.id);
      const bool heard = item != live.end() && item->second.lease_valid;
      found.push_back(
          {node->identity.name, heard ? item->second.formats : std::nullopt});
    }
  for (auto& item : membership_.observers(now))
    found.push_back(std::move(item));
  return found;
}

std::optional<error> control_state::refuse_build(const std::string& name,
                                                 const format_support& formats)
{
  const auto needed = std::max(machine_.format(), proposed_format_);
  if (formats.reads(needed))
    return std::nullopt;
  const error why{error_code::unavailable,
                  name + " is refused: " + to_string(formats) +
                      ", but format version " + std::to_string(needed) +
                      " is in force"};
  if (refused_builds_.size() < max_refused_builds &&
      refused_builds_.insert(why.message).second)
    options_.notify({notice::kind::build_refused, why.message});
  return why;
}

std::vector<endpoint> control_state::members() const
{
  const auto status = log_->status();
  std::vector<endpoint> found;
  for (const auto& member : status.group)
    found.push_back(member.rpc);
  return found;
}

std::vector<endpoint> control_state::reachable_members() const
{
  const auto status = log_->status();
  std::vector<endpoint> found;
  for (const auto& member : status.group)
    if (!is_silent(status, member.id, member_silence_timeout))
      found.push_back(member.rpc);
  return found;
}

void control_state::remove_silent_members()
{
  auto next = plan_removal(log_->status(), options_.group);
  if (!next)
    return;
  options_.notify({notice::kind::group_changed,
                   "removing an unresponsive member, " +
                       std::to_string(next->size()) + " remain"});
  log_->change_group(std::move(*next), [](const result<std::string>&) {});
}

void control_state::check_joined(time_point now)
{
  if (log_ == nullptr || !options_.on_joined)
    return;
  const auto status = log_->status();
  if (status.leader)
    leader_last_known_ = now;
  const bool has_target_role =
      std::any_of(status.group.begin(), status.group.end(),
                  [&](const replica_address& member)
                  {
                    return member.id == status.self &&
                           member.voter == options_.persists_log;
                  });
  const bool joined =
      has_target_role && now - leader_last_known_ < leader_absence_timeout;
  if (joined_ == joined)
    return;
  joined_ = joined;
  options_.on_joined(joined);
}

void control_state::send(const replica_address& to, std::string message)
{
  options_.send(to, std::move(message));
}

report_reply control_state::on_report(const node_report& report, time_point now)
{
  report_reply reply;
  reply.refusal = refuse_build(report.identity.name, report.formats);
  if (reply.refusal)
  {
    membership_.on_refused(report, now);
    return reply;
  }
  propose(membership_.on_report(machine_, report, now));
  const auto since = report.fresh ? table_version{} : report.applied;
  std::optional<service_id> only;
  declaration_scope scope;
  scope.as_declared = !report.applies_route_changes;
  if (report.identity.role == node_role::agent)
  {
    if (const auto* service = machine_.find_service(report.identity.service))
      reply.service = service->id;
    only = reply.service;
    scope.service = report.identity.service;
    scope.holder = report.identity.id;
  }
  reply.update = machine_.changes_since(since, only, scope);
  if (const auto* record = machine_.find_node(report.identity.id))
  {
    reply.order = record->order;
    reply.life = record->identity.life;
  }
  if (log_ != nullptr)
    reply.members = members();
  return reply;
}

control_view control_state::view(time_point now) const
{
  control_view out;
  for (const auto* service : machine_.services())
    out.services.push_back(*service);
  for (const auto* node : machine_.nodes())
    out.nodes.push_back(*node);
  out.liveness = membership_.liveness(now);
  out.configuration_version = machine_.configuration_version();
  out.claims = machine_.claim_count();
  out.format = machine_.format();
  if (leads_ && log_ != nullptr && out.format < options_.formats.newest)
    out.held_back_by =
        held_back_by(version_members(now), options_.formats.newest);
  return out;
}

bool control_state::knows_data_centre(const std::string& name) const
{
  const auto evacuated = machine_.evacuations();
  if (std::any_of(evacuated.begin(), evacuated.end(),
                  [&](const evacuation& item)
                  {
                    return item.data_centre == name;
                  }))
    return true;
  if (const auto& names = options_.data_centres; !names.empty())
    return std::find(names.begin(), names.end(), name) != names.end();
  const auto nodes = machine_.nodes();
  return !name.empty() &&
         std::any_of(nodes.begin(), nodes.end(),
                     [&](const node_record* node)
                     {
                       return node->identity.data_centre == name;
                     });
}

std::optional<change_outcome>
control_state::refuse_unknown(const std::string& data_centre) const
{
  if (knows_data_centre(data_centre))
    return std::nullopt;
  change_outcome refusal{false, error_code::not_found,
                         "data centre \"" + data_centre + "\" is not known",
                         machine_.configuration_version(), 0};
  options_.notify({notice::kind::change_refused, refusal.message});
  return refusal;
}

std::vector<std::string> control_state::waiting_for(std::uint64_t index,
                                                    time_point now) const
{
  std::vector<std::string> names;
  for (const auto& live : membership_.liveness(now))
    if (live.lease_valid && live.applied.index < index)
      if (const auto* record = machine_.find_node(live.id))
        names.push_back(record->identity.name);
  return names;
}

void control_state::propose(std::vector<command> commands)
{
  if (log_ == nullptr)
    return;
  for (const auto& value : commands)
    log_->propose(encode(value), [](const result<std::string>&) {});
}

void control_state::notify_command(const command& value,
                                   const command_outcome& outcome)
{
  if (!leads_)
    return;
  if (const auto* request = std::get_if<operator_request>(&value))
    options_.notify(
        detail::change_notice(*request, std::get<change_outcome>(outcome)));
  if (const auto* declared = std::get_if<declare_configuration>(&value))
    options_.notify(detail::declaration_notice(
        declared->value, std::get<change_outcome>(outcome)));
  if (const auto* order = std::get_if<set_evacuation>(&value))
    options_.notify(
        detail::order_notice(*order, std::get<change_outcome>(outcome)));
  notify_evacuations();
  if (std::holds_alternative<raise_version>(value))
    options_.notify({notice::kind::version_raised,
                     "format version " + std::to_string(machine_.format()) +
                         " is in force since index " +
                         std::to_string(machine_.position().index)});
  if (const auto* added = std::get_if<register_node>(&value))
    options_.notify({notice::kind::node_registered, added->identity.name});
  if (const auto* set = std::get_if<set_node_state>(&value))
    if (const auto* record = machine_.find_node(set->node))
      options_.notify({notice::kind::node_state_changed,
                       record->identity.name + " is " + name_of(set->state)});
}

/// Reports the evacuated data centres if the last applied command changed them.
void control_state::notify_evacuations() const
{
  const auto index = machine_.evacuations_index();
  if (index == 0 || index != machine_.position().index)
    return;
  std::string names;
  for (const auto& item : machine_.evacuations())
    names += (names.empty() ? "" : ", ") + item.data_centre;
  options_.notify({notice::kind::evacuation_changed,
                   "evacuated since index " + std::to_string(index) + ": " +
                       (names.empty() ? "none" : names)});
}

} // namespace toucanmill
