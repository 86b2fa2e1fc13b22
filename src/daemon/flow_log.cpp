#include "flow_log.hpp"

#include <string>

#include <toucanmill/observe/event.hpp>

namespace toucanmill::daemon
{

namespace
{

std::int64_t milliseconds(duration value)
{
  if (value < duration{0})
    return -1; // never
  return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

void add_flow(log_fields& to, const flow_key& flow,
              const std::string& request_id)
{
  to.add("flow", to_string(flow.caller) + ">" + to_string(flow.service));
  if (!request_id.empty())
    to.add("request", request_id);
}

std::string stops_text(const visit_stops& stops)
{
  std::string text;
  for (std::size_t i = 0; i < stops.size; ++i)
    text += (i == 0 ? "" : ",") + to_string(stops.agents[i]);
  return text;
}

/// The event of a balancer's decision.
struct event_of_action
{
  event operator()(const visit_agent&) const
  {
    return event::flow_searched;
  }
  event operator()(const visit_all&) const
  {
    return event::flow_searched;
  }
  event operator()(const reset_caller&) const
  {
    return event::flow_reset;
  }
  template <class Unplaced>
  event operator()(const Unplaced&) const
  {
    return event::packet_unplaced;
  }
};

/// Adds the fields of a balancer's decision.
struct add_action
{
  log_fields& to;

  void operator()(const visit_agent& visit) const
  {
    to.add("stops", stops_text(visit.header.stops))
        .add("stage", visit.header.stage);
  }
  void operator()(const visit_all& all) const
  {
    to.add("agents", static_cast<std::int64_t>(all.visits.size()));
  }
  void operator()(const reset_caller& reset) const
  {
    to.add("reason", to_string(reset.reason));
    if (reset.reason == reset_reason::unknown_flow)
      to.add("denied_by", static_cast<std::int64_t>(reset.denied_by));
  }
  void operator()(await_table) const
  {
    to.add("reason", "table_not_confirmed");
  }
  void operator()(await_search) const
  {
    to.add("reason", "search_under_way");
  }
  void operator()(entry_drop reason) const
  {
    to.add("reason", to_string(reason));
  }
};

event event_of(relay_event what)
{
  switch (what)
  {
  case relay_event::bounced:
    return event::flow_bounced;
  case relay_event::flow_reset:
    return event::flow_ended;
  case relay_event::request_waits:
  case relay_event::request_unanswered:
  case relay_event::request_expired:
    return event::request_unanswered;
  default:
    return event::flow_refused;
  }
}

} // namespace

void log_decision(const entry_decision& value)
{
  const auto what = std::visit(event_of_action{}, value.action);
  if (!begin_event(what))
    return;
  log_fields fields;
  add_flow(fields, value.flow, value.request_id);
  std::visit(add_action{fields}, value.action);
  if (value.returned_by)
    fields.add("returned_by", to_string(*value.returned_by))
        .add("returned_for", to_string(value.returned_for));
  fields.add("opens", value.opens ? "yes" : "no")
      .add("table", to_string(value.table))
      .add("configuration", static_cast<std::int64_t>(value.configuration))
      .add("confirmed_ms_ago", milliseconds(value.confirmed_ago));
  log_event(what, fields);
}

void log_decision(const relay_decision& value)
{
  const auto what = event_of(value.event);
  if (!begin_event(what))
    return;
  log_fields fields;
  add_flow(fields, value.flow, value.request_id);
  fields.add("reason", to_string(value.event));
  if (value.next)
    fields.add("next", to_string(*value.next))
        .add("routed_by", static_cast<std::int64_t>(value.routed_by));
  fields.add("configuration", static_cast<std::int64_t>(value.configuration))
      .add("busy", static_cast<std::int64_t>(value.busy))
      .add("waited_ms", milliseconds(value.waited));
  log_event(what, fields);
}

} // namespace toucanmill::daemon
