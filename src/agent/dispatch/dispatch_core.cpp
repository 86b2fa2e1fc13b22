#include <toucanmill/agent/dispatch_core.hpp>

#include "dispatch_state_core.hpp"

namespace toucanmill
{

const char* to_string(dispatch_drop reason)
{
  switch (reason)
  {
  case dispatch_drop::wrong_service:
    return "wrong_service";
  case dispatch_drop::wrong_address:
    return "wrong_address";
  case dispatch_drop::no_table:
    return "no_table";
  case dispatch_drop::hop_limit:
    return "hop_limit";
  case dispatch_drop::table_not_confirmed:
    return "table_not_confirmed";
  case dispatch_drop::connection_limit:
    return "connection_limit";
  case dispatch_drop::leaving:
    return "leaving";
  case dispatch_drop::unexpected_reset:
    return "unexpected_reset";
  }
  return "unknown";
}

dispatch_core::dispatch_core(dispatch_options options)
    : state_(std::make_unique<state>(options))
{
}

dispatch_core::~dispatch_core() = default;

void dispatch_core::on_table(const service_table& table)
{
  if (state_->table && table.version <= state_->table->version)
    return;
  state_->table = state::own_table{table.id, table.address, table.version};
  state_->views.update(table);
  state_->flows.set_service(table.id);
}

void dispatch_core::on_confirmed(time_point now)
{
  state_->confirmed_at = now;
}

void dispatch_core::set_leaving(bool leaving)
{
  state_->leaving = leaving;
}

dispatch_action dispatch_core::on_packet(const tcp_packet& packet,
                                         const route_stamp& stamp,
                                         time_point now)
{
  return state_->dispatch(packet, stamp, now);
}

void dispatch_core::on_flow_closed(const flow_key& flow)
{
  state_->flows.remove(flow);
}

std::optional<endpoint>
dispatch_core::return_endpoint(const flow_key& flow) const
{
  if (const auto* const held = state_->flows.find(flow))
    return held->return_to;
  return std::nullopt;
}

table_version dispatch_core::version() const
{
  return state_->table ? state_->table->version : table_version{};
}

std::size_t dispatch_core::flow_count() const
{
  return state_->flows.size();
}

std::vector<std::uint16_t> dispatch_core::held_buckets() const
{
  return state_->flows.buckets();
}

std::vector<holdings_change> dispatch_core::take_holdings_changes()
{
  return state_->flows.take_changes();
}

} // namespace toucanmill
