#include "dispatch_state_core.hpp"

#include <toucanmill/base/invariant.hpp>

#include "visit_order_core.hpp"

namespace toucanmill
{

using detail::bucket_view;
using detail::held_flow;

namespace
{

dispatch_action forward(const route_stamp& stamp, const bucket_view& view,
                        std::size_t position, stamp_purpose purpose)
{
  TOUCANMILL_INVARIANT(position < view.chain.size,
                       "a packet is forwarded past the end of the chain");
  if (stamp.hops >= route_stamp::max_hops)
    return drop_packet{dispatch_drop::hop_limit};
  route_stamp next = stamp;
  next.version = view.version;
  next.chain = view.chain;
  next.position = static_cast<std::uint8_t>(position);
  next.purpose = purpose;
  ++next.hops;
  return forward_packet{view.chain.holders[position], next};
}

} // namespace

bool dispatch_core::state::owns(const bucket_view& view) const
{
  return view.chain.size > 0 && view.chain.holders[0] == options.self;
}

/// True if the own table is at least as new as the stamp and has another
/// address for the service. Then a stale balancer sent the SYN, and the address
/// may have been assigned to another service.
bool dispatch_core::state::address_is_outdated(const tcp_packet& packet,
                                               const route_stamp& stamp) const
{
  return table && stamp.version <= table->version &&
         packet.flow.service != table->address;
}

bool dispatch_core::state::is_confirmed(const bucket_view& view,
                                        time_point now) const
{
  return table && view.version <= table->version && confirmed_at &&
         now - *confirmed_at <= options.confirmation_age;
}

std::size_t dispatch_core::state::own_position(const route_stamp& stamp) const
{
  return detail::position_of(stamp.chain, options.self)
      .value_or(stamp.position);
}

dispatch_action dispatch_core::state::dispatch(const tcp_packet& packet,
                                               const route_stamp& stamp,
                                               time_point now)
{
  if (table && stamp.service != table->service)
    return drop_packet{dispatch_drop::wrong_service};
  const bucket_view* const view = views.update(stamp);
  if (held_flow* const flow = flows.find(packet.flow))
  {
    if (flow->service != stamp.service)
      return drop_packet{dispatch_drop::wrong_service};
    flow->return_to = stamp.return_to;
    return deliver_packet{};
  }
  if (view == nullptr)
    return drop_packet{dispatch_drop::no_table};
  if (packet.opens_flow())
    return on_syn(packet, stamp, *view);
  return on_unknown_flow(packet, stamp, *view, now);
}

dispatch_action dispatch_core::state::on_syn(const tcp_packet& packet,
                                             const route_stamp& stamp,
                                             const bucket_view& view)
{
  if (view.chain.size == 0)
    return drop_packet{dispatch_drop::no_table};
  if (address_is_outdated(packet, stamp))
    return drop_packet{dispatch_drop::wrong_address};
  if (owns(view))
    return on_syn_as_owner(packet, stamp, view);
  if (stamp.purpose == stamp_purpose::probe && stamp.version == view.version)
    return forward_probe(stamp, view);
  return forward(stamp, view, 0, stamp_purpose::forward);
}

/// An `accept` of an older version is not sufficient: another agent may have
/// owned the bucket in the meantime, so the holders are probed again.
dispatch_action dispatch_core::state::on_syn_as_owner(const tcp_packet& packet,
                                                      const route_stamp& stamp,
                                                      const bucket_view& view)
{
  const bool all_holders_probed =
      stamp.purpose == stamp_purpose::accept && stamp.version == view.version;
  if (all_holders_probed || !options.probe_earlier_holders)
    return accept(packet, stamp);
  if (const auto next = detail::next_to_probe(view.chain, 0))
    return forward(stamp, view, *next, stamp_purpose::probe);
  return accept(packet, stamp);
}

dispatch_action
dispatch_core::state::forward_probe(const route_stamp& stamp,
                                    const bucket_view& view) const
{
  if (const auto next = detail::next_to_probe(view.chain, own_position(stamp)))
    return forward(stamp, view, *next, stamp_purpose::probe);
  return forward(stamp, view, 0, stamp_purpose::accept);
}

/// Requires the own table: relying on the stamp of a stale balancer, a
/// restarted agent could accept a SYN in a bucket that moved away before its
/// restart.
dispatch_action dispatch_core::state::accept(const tcp_packet& packet,
                                             const route_stamp& stamp)
{
  if (!table)
    return drop_packet{dispatch_drop::no_table};
  if (leaving)
    return drop_packet{dispatch_drop::leaving};
  if (packet.flow.service != table->address)
    return drop_packet{dispatch_drop::wrong_address};
  if (flows.size() >= options.max_connections)
    return drop_packet{dispatch_drop::connection_limit};
  TOUCANMILL_INVARIANT(stamp.service == table->service,
                       "a flow of another service is accepted");
  flows.add(packet.flow, {stamp.service, stamp.bucket, stamp.return_to});
  return deliver_packet{true};
}

dispatch_action dispatch_core::state::on_unknown_flow(const tcp_packet& packet,
                                                      const route_stamp& stamp,
                                                      const bucket_view& view,
                                                      time_point now)
{
  const auto next =
      stamp.version == view.version
          ? detail::next_to_visit(view.chain, own_position(stamp))
          : detail::first_unvisited(view.chain, stamp, options.self);
  if (next)
    return forward(stamp, view, *next, stamp_purpose::forward);
  return on_chain_exhausted(packet, view, now);
}

dispatch_action dispatch_core::state::on_chain_exhausted(
    const tcp_packet& packet, const bucket_view& view, time_point now) const
{
  if (packet.rst)
    return drop_packet{dispatch_drop::unexpected_reset};
  if (!is_confirmed(view, now))
    return drop_packet{dispatch_drop::table_not_confirmed};
  return reset_flow{};
}

} // namespace toucanmill
