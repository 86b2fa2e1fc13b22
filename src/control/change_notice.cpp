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

} // namespace toucanmill::detail
