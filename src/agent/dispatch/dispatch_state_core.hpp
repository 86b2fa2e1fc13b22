#ifndef TOUCANMILL_SRC_AGENT_DISPATCH_DISPATCH_STATE_CORE_HPP
#define TOUCANMILL_SRC_AGENT_DISPATCH_DISPATCH_STATE_CORE_HPP

#include <toucanmill/agent/dispatch_core.hpp>

#include "bucket_views_core.hpp"
#include "held_flows_core.hpp"

namespace toucanmill
{

/// State of a dispatch_core and the rules that decide on packets.
struct dispatch_core::state
{
  struct own_table
  {
    service_id service;
    endpoint address;
    table_version version;
  };

  dispatch_options options;
  std::optional<own_table> table;
  std::optional<time_point> confirmed_at;
  bool leaving = false;
  detail::bucket_views views;
  detail::held_flows flows;

  explicit state(dispatch_options value) : options(value) {}

  dispatch_action dispatch(const tcp_packet& packet, const route_stamp& stamp,
                           time_point now);
  dispatch_action on_syn(const tcp_packet& packet, const route_stamp& stamp,
                         const detail::bucket_view& view);
  dispatch_action on_syn_as_owner(const tcp_packet& packet,
                                  const route_stamp& stamp,
                                  const detail::bucket_view& view);
  dispatch_action on_unknown_flow(const tcp_packet& packet,
                                  const route_stamp& stamp,
                                  const detail::bucket_view& view,
                                  time_point now);
  dispatch_action on_chain_exhausted(const tcp_packet& packet,
                                     const detail::bucket_view& view,
                                     time_point now) const;
  dispatch_action forward_probe(const route_stamp& stamp,
                                const detail::bucket_view& view) const;
  dispatch_action accept(const tcp_packet& packet, const route_stamp& stamp);

  bool owns(const detail::bucket_view& view) const;
  bool address_is_outdated(const tcp_packet& packet,
                           const route_stamp& stamp) const;
  bool is_confirmed(const detail::bucket_view& view, time_point now) const;
  std::size_t own_position(const route_stamp& stamp) const;
};

} // namespace toucanmill

#endif
