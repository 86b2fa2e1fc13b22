#include "tcp_stack_state.hpp"

#include <future>
#include <mutex>
#include <utility>

#include "lookup_shortcut.hpp"
#include "lwip_listeners.hpp"

namespace toucanmill::detail
{

namespace
{

/// Address of the interface while no packet is processed. 0.0.0.0 would disable
/// input, and lwIP loops back packets to the interface's own address.
u32_t idle_interface_address()
{
  return lwip_htonl(0x7f000001);
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

} // namespace

tcp_stack_state::tcp_stack_state(tcp_stack_options options,
                                 std::function<void()> notify)
    : options_(options), notify_(std::move(notify))
{
  start_lwip();
  const core_guard guard;
  add_interface();
  schedule_closing_check();
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
  process_input(copy, packet.flow);
  if (!packet.opens_flow())
    return true;
  register_new_flow(packet.flow);
  return flows_.count(packet.flow) != 0;
}

/// lwIP only accepts packets addressed to the interface. Writing the field
/// makes every address local. netif_set_addr() would abort connections, and
/// lwIP supports only 255 interfaces, too few for one per address.
void tcp_stack_state::process_input(pbuf* packet, const flow_key& flow)
{
  ip4_addr_set_u32(ip_2_ip4(&interface_.ip_addr),
                   lwip_htonl(flow.service.address.value));
  netif_set_default(&interface_);
  {
    const lookup_shortcut shortcut(pcb_of(flow));
    ip4_input(packet, &interface_);
  }
  ip4_addr_set_u32(ip_2_ip4(&interface_.ip_addr), idle_interface_address());
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
