#include <toucanmill/balancer/forward_core.hpp>

#include <toucanmill/base/invariant.hpp>
#include <toucanmill/table/flow_hash.hpp>

namespace toucanmill
{

namespace
{

static_assert(max_chain_length <= stamped_chain::capacity);

stamped_chain stamp_chain(const service_table& service, const chain& holders)
{
  stamped_chain stamped;
  stamped.size = holders.size;
  for (std::uint8_t i = 0; i < holders.size; ++i)
  {
    const auto& holder = service.holders[holders.holders[i]];
    stamped.holders[i] = holder.agent;
    if (holder.suspect)
      stamped.suspects = static_cast<std::uint8_t>(stamped.suspects | 1U << i);
  }
  return stamped;
}

route_stamp stamp_for(const service_table& service, std::size_t bucket,
                      const endpoint& sender)
{
  route_stamp stamp;
  stamp.service = service.id;
  stamp.version = service.version;
  stamp.bucket = static_cast<std::uint16_t>(bucket);
  stamp.return_to = sender;
  stamp.chain = stamp_chain(service, service.buckets[bucket]);
  return stamp;
}

} // namespace

const char* to_string(forward_drop reason)
{
  switch (reason)
  {
  case forward_drop::no_service:
    return "no_service";
  case forward_drop::no_upstream:
    return "no_upstream";
  case forward_drop::already_stamped:
    return "already_stamped";
  case forward_drop::fabric_message:
    return "fabric_message";
  }
  return "unknown";
}

bool forward_core::set_table(std::shared_ptr<const routing_table> table)
{
  if (table->version() <= table_->version())
    return false;
  table_ = std::move(table);
  return true;
}

forward_action forward_core::route(const tcp_packet& packet,
                                   const endpoint& sender)
{
  const auto* service = table_->find(packet.flow.service);
  if (service == nullptr)
    return forward_drop::no_service;
  TOUCANMILL_INVARIANT(service->routes(packet.flow.service),
                       "a packet goes only to agents of its own service");
  const auto hash = flow_hash(packet.flow);
  const auto bucket = bucket_of(hash, service->buckets.size());
  if (service->buckets[bucket].size == 0)
    return forward_drop::no_upstream;
  flows_.add(hash);
  const auto stamp = stamp_for(*service, bucket, sender);
  return send_to_agent{stamp.chain.holders[0], encode_gue_header(stamp),
                       packet.bytes};
}

forward_action forward_core::decide(byte_view datagram, const endpoint& sender)
{
  const auto decoded = decode_gue(datagram);
  if (const auto* fault = std::get_if<packet_fault>(&decoded))
    return *fault;
  if (std::holds_alternative<fabric_message>(decoded))
    return forward_drop::fabric_message;
  const auto& outer = std::get<gue_packet>(decoded);
  if (outer.stamped)
    return forward_drop::already_stamped;
  const auto parsed = parse_tcp_packet(outer.inner);
  if (const auto* fault = std::get_if<packet_fault>(&parsed))
    return *fault;
  return route(std::get<tcp_packet>(parsed), sender);
}

void forward_core::count(const forward_action& action)
{
  if (const auto* fault = std::get_if<packet_fault>(&action))
    ++counters_.faults[static_cast<std::size_t>(*fault)];
  else if (const auto* drop = std::get_if<forward_drop>(&action))
    ++counters_.drops[static_cast<std::size_t>(*drop)];
  else
    ++counters_.forwarded;
}

forward_action forward_core::on_datagram(byte_view datagram,
                                         const endpoint& sender)
{
  auto action = decide(datagram, sender);
  count(action);
  return action;
}

} // namespace toucanmill
