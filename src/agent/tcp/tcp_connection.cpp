#include <algorithm>
#include <utility>

#include "tcp_stack_state.hpp"

namespace toucanmill
{

namespace
{

/// lwIP takes sizes as 16-bit numbers.
constexpr std::size_t max_octets_per_call = 0xffff;

} // namespace

tcp_connection::tcp_connection(std::shared_ptr<detail::connection_state> state)
    : state_(std::move(state))
{
}

endpoint tcp_connection::local() const
{
  return state_->local;
}

endpoint tcp_connection::remote() const
{
  return state_->remote;
}

std::size_t tcp_connection::send(std::string_view bytes)
{
  const detail::core_guard guard;
  auto* const pcb = state_->pcb;
  if (pcb == nullptr || !state_->established || state_->finished)
    return 0;
  std::size_t sent = 0;
  while (sent < bytes.size())
  {
    const auto room = std::min<std::size_t>(
        {bytes.size() - sent, max_octets_per_call, pcb->snd_buf});
    if (room == 0 ||
        tcp_write(pcb, bytes.data() + sent, static_cast<u16_t>(room),
                  TCP_WRITE_FLAG_COPY) != ERR_OK)
      break;
    sent += room;
  }
  tcp_output(pcb);
  return sent;
}

void tcp_connection::finish()
{
  const detail::core_guard guard;
  if (state_->pcb == nullptr || state_->finished)
    return;
  // Before the handshake is complete there is nothing to send a FIN after.
  if (!state_->established)
  {
    state_->reset_requested = true;
    return tcp_abort(state_->pcb);
  }
  state_->finished = true;
  tcp_shutdown(state_->pcb, 0, 1);
}

void tcp_connection::reset()
{
  const detail::core_guard guard;
  if (state_->pcb == nullptr)
    return;
  state_->reset_requested = true;
  state_->stack->abort(*state_, tcp_end::reset_locally);
}

bool tcp_connection::has_unacknowledged() const
{
  const detail::core_guard guard;
  return state_->pcb != nullptr && state_->established &&
         state_->pcb->snd_buf != TCP_SND_BUF;
}

void tcp_connection::consume(std::size_t octets)
{
  const detail::core_guard guard;
  if (state_->pcb == nullptr || state_->peer_finished)
    return;
  while (octets > 0)
  {
    const auto part = std::min(octets, max_octets_per_call);
    tcp_recved(state_->pcb, static_cast<u16_t>(part));
    octets -= part;
  }
}

} // namespace toucanmill
