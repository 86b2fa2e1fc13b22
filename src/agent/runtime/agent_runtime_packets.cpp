#include <utility>

#include <toucanmill/base/clock.hpp>
#include <toucanmill/packet/gue.hpp>

#include "agent_runtime.hpp"

namespace toucanmill::detail
{

void agent_runtime::on_datagram(byte_view datagram)
{
  const auto decoded = decode_gue(datagram);
  if (const auto* fault = std::get_if<packet_fault>(&decoded))
  {
    ++counts_.faults[static_cast<std::size_t>(*fault)];
    return;
  }
  const auto* const packet = std::get_if<gue_packet>(&decoded);
  if (packet == nullptr || !packet->stamped)
  {
    ++counts_.unstamped;
    return;
  }
  const auto parsed = parse_tcp_packet(packet->inner);
  if (const auto* fault = std::get_if<packet_fault>(&parsed))
    ++counts_.faults[static_cast<std::size_t>(*fault)];
  else
    on_packet(std::get<tcp_packet>(parsed), packet->stamp);
}

void agent_runtime::on_packet(const tcp_packet& packet,
                              const route_stamp& stamp)
{
  std::visit(
      [&](const auto& action)
      {
        execute(packet, stamp, action);
      },
      dispatch_.on_packet(packet, stamp, monotonic_now()));
}

void agent_runtime::execute(const tcp_packet& packet, const route_stamp& stamp,
                            const deliver_packet& action)
{
  // Without a table the kind of the service is unknown. The caller retransmits.
  if (action.new_flow && !has_table_)
  {
    dispatch_.on_flow_closed(packet.flow);
    return count_drop(dispatch_drop::no_table);
  }
  ++counts_.delivered;
  if (stack_.inject(packet) || !action.new_flow)
    return;
  reset_return_endpoints_[packet.flow] = stamp.return_to;
  dispatch_.on_flow_closed(packet.flow);
}

void agent_runtime::execute(const tcp_packet& packet, const route_stamp&,
                            const forward_packet& action)
{
  const auto header = encode_gue_header(action.stamp);
  channel_.send(action.to, {header.bytes.data(), header.size}, packet.bytes);
  ++counts_.passed_on;
}

void agent_runtime::execute(const tcp_packet& packet, const route_stamp& stamp,
                            const reset_flow&)
{
  reset_return_endpoints_[packet.flow] = stamp.return_to;
  stack_.send_reset(packet);
  ++counts_.resets;
}

void agent_runtime::execute(const tcp_packet&, const route_stamp&,
                            const drop_packet& action)
{
  count_drop(action.reason);
}

void agent_runtime::count_drop(dispatch_drop reason)
{
  ++counts_.drops[static_cast<std::size_t>(reason)];
}

void agent_runtime::process_stack()
{
  for (;;)
  {
    const auto events = stack_.take_events();
    const auto packets = stack_.take_packets();
    if (events.empty() && packets.size() == 0)
      break;
    send_replies(packets);
    for (const auto& event : events)
      on_event(event);
  }
  channel_.flush();
  counts_.unsent = channel_.unsent();
  reset_return_endpoints_.clear();
  publish_holdings();
}

void agent_runtime::send_replies(const packet_batch& packets)
{
  static const auto header = encode_gue_header();
  for (const auto& entry : packets.entries())
    if (const auto to = return_endpoint({entry.destination, entry.source}))
    {
      channel_.send(*to, {header.bytes.data(), header.size},
                    packets.bytes(entry));
      ++counts_.replies;
    }
    else
      ++counts_.unroutable;
}

std::optional<endpoint>
agent_runtime::return_endpoint(const flow_key& flow) const
{
  if (const auto known = dispatch_.return_endpoint(flow))
    return known;
  const auto found = reset_return_endpoints_.find(flow);
  if (found == reset_return_endpoints_.end())
    return std::nullopt;
  return found->second;
}

} // namespace toucanmill::detail
