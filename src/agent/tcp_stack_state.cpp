#include "tcp_stack_state.hpp"

#include <algorithm>
#include <future>
#include <mutex>
#include <utility>

#include "lookup_shortcut.hpp"
#include "lwip_listeners.hpp"

namespace toucanmill::detail
{

namespace
{

/// Interval of the check for closing flows; equals that of lwIP's slow timer.
constexpr u32_t closing_check_interval_ms = TCP_SLOW_INTERVAL;

/// Address of the interface while no packet is processed. 0.0.0.0 would disable
/// input, and lwIP loops back packets to the interface's own address.
u32_t idle_interface_address()
{
  return lwip_htonl(0x7f000001);
}

u32_t to_ticks(duration value)
{
  const auto count =
      std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
  return static_cast<u32_t>(count / TCP_SLOW_INTERVAL);
}

u32_t to_milliseconds(duration value)
{
  return static_cast<u32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

/// Starts lwIP's thread on first use. It runs until the process exits.
void start_lwip()
{
  static std::once_flag once;
  std::call_once(
      once,
      []
      {
        std::promise<void> started;
        tcpip_init(
            [](void* argument)
            {
              static_cast<std::promise<void>*>(argument)->set_value();
            },
            &started);
        started.get_future().wait();
      });
}

flow_key flow_of(const tcp_pcb& pcb)
{
  return {{from_lwip(pcb.remote_ip), pcb.remote_port},
          {from_lwip(pcb.local_ip), pcb.local_port}};
}

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

} // namespace

tcp_stack_state::tcp_stack_state(tcp_stack_options options,
                                 std::function<void()> notify)
    : options_(options), notify_(std::move(notify))
{
  start_lwip();
  const core_guard guard;
  add_interface();
  sys_timeout(closing_check_interval_ms, &tcp_stack_state::on_timer, this);
}

tcp_stack_state::~tcp_stack_state()
{
  const core_guard guard;
  sys_untimeout(&tcp_stack_state::on_timer, this);
  notify_ = [] {};
  while (!flows_.empty())
  {
    auto connection = flows_.begin()->second.state;
    auto* const pcb = connection->pcb;
    connection->reset_requested = true;
    tcp_err(pcb, nullptr);
    tcp_abort(pcb);
    close(*connection, tcp_end::reset_locally);
  }
  for (const auto& address : listening_)
    release_listener(address);
  netif_remove(&interface_);
}

void tcp_stack_state::add_interface()
{
  const ip4_addr_t any{0};
  const ip4_addr_t idle_address{idle_interface_address()};
  const ip4_addr_t mask{0xffffffff};
  netif_add(
      &interface_, &idle_address, &mask, &any, this,
      [](netif* interface)
      {
        interface->name[0] = 't';
        interface->name[1] = 'm';
        interface->mtu = max_inner_packet;
        interface->output = &tcp_stack_state::on_output;
        return static_cast<err_t>(ERR_OK);
      },
      ip4_input);
  netif_set_up(&interface_);
  netif_set_link_up(&interface_);
  netif_set_default(&interface_);
}

err_t tcp_stack_state::listen(const endpoint& address)
{
  if (listening_.count(address) != 0)
    return ERR_USE;
  const auto error = acquire_listener(address, &tcp_stack_state::on_accept);
  if (error == ERR_OK)
    listening_.insert(address);
  return error;
}

tcp_connection_ptr tcp_stack_state::open(const endpoint& local,
                                         const endpoint& remote, err_t& error)
{
  const flow_key flow{remote, local};
  if (flows_.count(flow) != 0)
  {
    error = ERR_USE;
    return nullptr;
  }
  auto* const pcb = tcp_new();
  if (pcb == nullptr)
  {
    error = ERR_MEM;
    return nullptr;
  }
  const auto source = to_lwip(local.address);
  const auto destination = to_lwip(remote.address);
  tcp_bind_netif(pcb, &interface_);
  error = tcp_bind(pcb, &source, local.port);
  if (error == ERR_OK)
    error = tcp_connect(pcb, &destination, remote.port,
                        &tcp_stack_state::on_connected);
  if (error == ERR_OK)
    return add_flow(pcb, flow);
  tcp_abort(pcb);
  return nullptr;
}

bool tcp_stack_state::inject(const tcp_packet& packet)
{
  // Listeners are shared by all stacks of the process, so without this check a
  // listener of another stack would accept the flow.
  if (packet.opens_flow() && listening_.count(packet.flow.service) == 0)
  {
    send_reset(packet);
    return false;
  }
  auto* const copy =
      pbuf_alloc(PBUF_RAW, static_cast<u16_t>(packet.bytes.size), PBUF_RAM);
  if (copy == nullptr)
    return !packet.opens_flow();
  pbuf_take(copy, packet.bytes.data, static_cast<u16_t>(packet.bytes.size));
  // lwIP only accepts packets addressed to the interface. Writing the field
  // makes every address local. netif_set_addr() would abort connections, and
  // lwIP supports only 255 interfaces, too few for one per address.
  ip4_addr_set_u32(ip_2_ip4(&interface_.ip_addr),
                   lwip_htonl(packet.flow.service.address.value));
  netif_set_default(&interface_);
  {
    const lookup_shortcut shortcut(pcb_of(packet.flow));
    ip4_input(copy, &interface_);
  }
  ip4_addr_set_u32(ip_2_ip4(&interface_.ip_addr), idle_interface_address());
  if (!packet.opens_flow())
    return true;
  register_new_flow(packet.flow);
  return flows_.count(packet.flow) != 0;
}

tcp_pcb* tcp_stack_state::pcb_of(const flow_key& flow) const
{
  const auto found = flows_.find(flow);
  return found == flows_.end() ? nullptr : found->second.state->pcb;
}

/// Registers a flow whose handshake has started. lwIP's accept callback comes
/// only after the handshake, so an earlier end of the flow would be missed.
void tcp_stack_state::register_new_flow(const flow_key& flow)
{
  // lwIP inserts new connections at the head of the list.
  auto* const pcb = tcp_active_pcbs;
  if (pcb != nullptr && pcb->state == SYN_RCVD && flow_of(*pcb) == flow &&
      flows_.count(flow) == 0)
    add_flow(pcb, flow);
}

tcp_connection_ptr tcp_stack_state::add_flow(tcp_pcb* pcb, const flow_key& flow)
{
  // lwIP does not bind accepted connections to an interface.
  tcp_bind_netif(pcb, &interface_);
  auto state = std::make_shared<connection_state>();
  state->stack = this;
  state->pcb = pcb;
  state->local = flow.service;
  state->remote = flow.caller;
  auto handle = std::make_shared<tcp_connection>(state);
  state->handle = handle;
  attach_callbacks(pcb, *state);
  flows_[flow] = {handle, std::move(state)};
  return handle;
}

void tcp_stack_state::attach_callbacks(tcp_pcb* pcb,
                                       connection_state& connection) const
{
  tcp_arg(pcb, &connection);
  tcp_recv(pcb, &tcp_stack_state::on_received);
  tcp_sent(pcb, &tcp_stack_state::on_sent);
  tcp_err(pcb, &tcp_stack_state::on_error);
  tcp_nagle_disable(pcb);
  ip_set_option(pcb, SOF_KEEPALIVE);
  pcb->keep_idle = to_milliseconds(options_.keepalive_idle);
  pcb->keep_intvl = to_milliseconds(options_.keepalive_interval);
  pcb->keep_cnt = options_.keepalive_probes;
}

void tcp_stack_state::send_reset(const tcp_packet& packet)
{
  const auto local = to_lwip(packet.flow.service.address);
  const auto remote = to_lwip(packet.flow.caller.address);
  const u32_t length =
      packet.payload_size + (packet.syn ? 1U : 0U) + (packet.fin ? 1U : 0U);
  netif_set_default(&interface_);
  tcp_rst(nullptr, packet.ack ? packet.acknowledgement : 0,
          packet.sequence + length, &local, &remote, packet.flow.service.port,
          packet.flow.caller.port);
}

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
  const auto number = [packet](u16_t offset, int octets)
  {
    std::uint32_t value = 0;
    for (int i = 0; i < octets; ++i)
      value = value << 8 | pbuf_get_at(packet, static_cast<u16_t>(offset + i));
    return value;
  };
  const auto header = static_cast<u16_t>((pbuf_get_at(packet, 0) & 0x0f) * 4);
  packet_batch::entry addresses{};
  addresses.source = {{number(12, 4)},
                      static_cast<std::uint16_t>(number(header, 2))};
  addresses.destination = {
      {number(16, 4)},
      static_cast<std::uint16_t>(number(static_cast<u16_t>(header + 2), 2))};
  auto* const room = packets_.append(addresses, packet->tot_len);
  pbuf_copy_partial(packet, room, packet->tot_len, 0);
  notify_if(was_empty);
}

err_t tcp_stack_state::on_accept(void* argument, tcp_pcb*, err_t error)
{
  // Set by register_new_flow().
  if (argument == nullptr || error != ERR_OK)
    return ERR_VAL;
  auto& connection = *static_cast<connection_state*>(argument);
  connection.established = true;
  connection.stack->queue_event(connection, tcp_established{});
  return ERR_OK;
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

void tcp_stack_state::on_timer(void* argument)
{
  auto& self = *static_cast<tcp_stack_state*>(argument);
  self.check_closing_flows();
  sys_timeout(closing_check_interval_ms, &tcp_stack_state::on_timer, argument);
}

/// lwIP neither reports the end of TIME_WAIT nor sends keepalives after its
/// FIN. This runs on the thread of lwIP's timers, so that it detects
/// TIME_WAIT well before lwIP frees the connection after 120 s.
void tcp_stack_state::check_closing_flows()
{
  std::vector<std::shared_ptr<connection_state>> expired;
  for (const auto& [flow, entry] : flows_)
    if (entry.state->finished && has_expired(*entry.state))
      expired.push_back(entry.state);
    else if (entry.state->finished)
      send_keepalive_if_due(*entry.state);
  for (const auto& connection : expired)
  {
    // In TIME_WAIT lwIP frees the connection without calling on_error().
    const bool in_time_wait = connection->pcb->state == TIME_WAIT;
    tcp_abort(connection->pcb);
    if (in_time_wait)
      close(*connection, tcp_end::finished);
  }
}

/// True if TIME_WAIT is over, or if a peer that has not sent its FIN has not
/// answered the keepalives. Must be called once per check, since it counts the
/// ticks in TIME_WAIT.
bool tcp_stack_state::has_expired(connection_state& connection) const
{
  const auto& pcb = *connection.pcb;
  if (pcb.state != TIME_WAIT)
  {
    const auto limit =
        to_ticks(options_.keepalive_idle +
                 options_.keepalive_probes * options_.keepalive_interval);
    return tcp_ticks - pcb.tmr > limit;
  }
  return ++connection.time_wait_ticks > to_ticks(options_.time_wait);
}

void tcp_stack_state::send_keepalive_if_due(connection_state& connection) const
{
  auto& pcb = *connection.pcb;
  const auto due = to_ticks(options_.keepalive_idle +
                            pcb.keep_cnt_sent * options_.keepalive_interval);
  if (pcb.state == FIN_WAIT_2 && tcp_ticks - pcb.tmr > due &&
      tcp_keepalive(&pcb) == ERR_OK)
    ++pcb.keep_cnt_sent;
}

packet_batch tcp_stack_state::take_packets()
{
  return std::exchange(packets_, {});
}

std::vector<tcp_event> tcp_stack_state::take_events()
{
  for (const auto& event : events_)
    event.connection->state_->writable_queued = false;
  return std::exchange(events_, {});
}

std::size_t tcp_stack_state::flow_count() const
{
  return flows_.size();
}

std::uint64_t tcp_stack_state::dropped_packets() const
{
  return dropped_packets_;
}

} // namespace toucanmill::detail
