#include "change_notice.hpp"

#include <variant>

namespace toucanmill::detail
{

namespace
{

struct describe_change
{
  std::string operator()(const create_service& change) const
  {
    return "create service " + change.name + " at " + to_string(change.address);
  }
  std::string operator()(const change_service& change) const
  {
    return "change service " + change.name + " to " + to_string(change.address);
  }
  std::string operator()(const delete_service& change) const
  {
    return "delete service " + change.name;
  }
  std::string operator()(const drain_node& change) const
  {
    return "drain " + change.node;
  }
  std::string operator()(const restore_node& change) const
  {
    return "restore " + change.node;
  }
  std::string operator()(const retire_node& change) const
  {
    return "retire " + change.node;
  }
  std::string operator()(const evacuate_data_centre& change) const
  {
    return "evacuate data centre " + change.data_centre;
  }
  std::string operator()(const restore_data_centre& change) const
  {
    return "restore data centre " + change.data_centre;
  }
};

} // namespace

control_notice declaration_notice(const configuration& value,
                                  const change_outcome& outcome)
{
  const auto what = "configuration version " + std::to_string(value.version) +
                    " with " + std::to_string(value.routes.size()) + " routes";
  if (outcome.accepted)
    return {control_notice::kind::change_accepted,
            what + ", declared version: " + std::to_string(outcome.version)};
  return {control_notice::kind::change_refused, what + ": " + outcome.message};
}

control_notice change_notice(const operator_request& request,
                             const change_outcome& outcome)
{
  const auto what = "request " + request.request_id + ": " +
                    std::visit(describe_change{}, request.change);
  if (outcome.accepted)
    return {control_notice::kind::change_accepted,
            what + ", version " + std::to_string(outcome.version)};
  return {control_notice::kind::change_refused, what + ": " + outcome.message};
}

control_notice order_notice(const set_evacuation& order,
                            const change_outcome& outcome)
{
  const auto what =
      (order.evacuated ? "evacuate data centre " : "restore data centre ") +
      order.data_centre;
  if (outcome.accepted)
    return {control_notice::kind::change_accepted,
            what + ", version " + std::to_string(outcome.version)};
  return {control_notice::kind::change_refused, what + ": " + outcome.message};
}

control_notice group_notice(const replicated_log_status& status,
                            duration silence)
{
  std::string voters;
  std::size_t voter_count = 0;
  std::size_t live = 0;
  for (const auto& member : status.group)
  {
    if (!member.voter)
      continue;
    ++voter_count;
    const bool silent = is_silent(status, member.id, silence);
    live += silent ? 0 : 1;
    voters += (voters.empty() ? "" : ", ") + to_string(member.id) +
              (silent ? " (silent)" : "");
  }
  const auto quorum = voter_count / 2 + 1;
  const auto spare = live > quorum ? live - quorum : 0;
  return {control_notice::kind::group_changed,
          "voters " + voters + "; " +
              std::to_string(status.group.size() - voter_count) +
              " learners; tolerates the loss of " + std::to_string(spare) +
              " more"};
}

} // namespace toucanmill::detail
