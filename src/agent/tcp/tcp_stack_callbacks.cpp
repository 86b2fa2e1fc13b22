#include <utility>

#include "tcp_stack_state.hpp"

namespace toucanmill::detail
{

namespace
{

tcp_end reason_of(const connection_state& connection, err_t error)
{
  if (connection.reset_requested)
    return tcp_end::reset_locally;
  if (error == ERR_CLSD)
    return tcp_end::finished;
  if (error == ERR_RST)
    return tcp_end::reset_by_peer;
  return tcp_end::timed_out;
}

std::uint32_t read_big_endian(pbuf* packet, std::size_t offset,
                              std::size_t octets)
{
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < octets; ++i)
    value = value << 8 | pbuf_get_at(packet, static_cast<u16_t>(offset + i));
  return value;
}

endpoint read_endpoint(pbuf* packet, std::size_t address_offset,
                       std::size_t port_offset)
{
  return {{read_big_endian(packet, address_offset, 4)},
          static_cast<std::uint16_t>(read_big_endian(packet, port_offset, 2))};
}

/// Source and destination from the IPv4 and TCP headers.
packet_batch::entry addresses_of(pbuf* packet)
{
  const std::size_t ip_header_size =
      std::size_t{4} * (pbuf_get_at(packet, 0) & 0x0fU);
  packet_batch::entry addresses{};
  addresses.source = read_endpoint(packet, 12, ip_header_size);
  addresses.destination = read_endpoint(packet, 16, ip_header_size + 2);
  return addresses;
}

} // namespace

err_t tcp_stack_state::on_output(netif* interface, pbuf* packet,
                                 const ip4_addr_t*)
{
  static_cast<tcp_stack_state*>(interface->state)->queue_packet(packet);
  return ERR_OK;
}

void tcp_stack_state::queue_packet(pbuf* packet)
{
  if (packets_.size() >= options_.output_capacity)
  {
    ++dropped_packets_;
    return;
  }
  const bool was_empty = packets_.size() == 0;
  auto* const storage = packets_.append(addresses_of(packet), packet->tot_len);
  pbuf_copy_partial(packet, storage, packet->tot_len, 0);
  notify_if(was_empty);
}

err_t tcp_stack_state::on_accept(void* argument, tcp_pcb* pcb, err_t error)
{
  // Set by register_new_flow().
  if (argument == nullptr || error != ERR_OK)
    return ERR_VAL;
  return on_connected(argument, pcb, error);
}

err_t tcp_stack_state::on_connected(void* argument, tcp_pcb*, err_t)
{
  auto& connection = *static_cast<connection_state*>(argument);
  connection.established = true;
  connection.stack->queue_event(connection, tcp_established{});
  return ERR_OK;
}

err_t tcp_stack_state::on_received(void* argument, tcp_pcb*, pbuf* data, err_t)
{
  auto& connection = *static_cast<connection_state*>(argument);
  if (data == nullptr)
  {
    connection.peer_finished = true;
    connection.stack->queue_event(connection, tcp_peer_finished{});
    return ERR_OK;
  }
  std::string bytes(data->tot_len, '\0');
  pbuf_copy_partial(data, bytes.data(), data->tot_len, 0);
  pbuf_free(data);
  connection.stack->queue_event(connection, tcp_received{std::move(bytes)});
  return ERR_OK;
}

err_t tcp_stack_state::on_sent(void* argument, tcp_pcb*, u16_t)
{
  auto& connection = *static_cast<connection_state*>(argument);
  if (!connection.writable_queued)
  {
    connection.writable_queued = true;
    connection.stack->queue_event(connection, tcp_writable{});
  }
  return ERR_OK;
}

void tcp_stack_state::on_error(void* argument, err_t error)
{
  auto& connection = *static_cast<connection_state*>(argument);
  connection.stack->close(connection, reason_of(connection, error));
}

void tcp_stack_state::close(connection_state& connection, tcp_end reason)
{
  connection.pcb = nullptr;
  queue_event(connection, tcp_closed{reason});
  flows_.erase({connection.remote, connection.local});
}

template <class What>
void tcp_stack_state::queue_event(connection_state& connection, What what)
{
  const bool was_empty = events_.empty();
  events_.push_back({connection.handle.lock(), std::move(what)});
  notify_if(was_empty);
}

void tcp_stack_state::notify_if(bool was_empty) const
{
  if (was_empty)
    notify_();
}

} // namespace toucanmill::detail
