#include "lwip_listeners.hpp"

#include <cstddef>
#include <map>

namespace toucanmill::detail
{

namespace
{

/// A listening socket and the number of stacks that use it.
struct listener
{
  tcp_pcb* pcb = nullptr;
  std::size_t references = 0;
};

std::map<endpoint, listener>& listeners()
{
  static std::map<endpoint, listener> all;
  return all;
}

tcp_pcb* open_listener(const endpoint& address, err_t& error)
{
  auto* const pcb = tcp_new();
  if (pcb == nullptr)
  {
    error = ERR_MEM;
    return nullptr;
  }
  const auto local = to_lwip(address.address);
  error = tcp_bind(pcb, &local, address.port);
  if (error == ERR_OK)
    if (auto* const opened = tcp_listen_with_backlog_and_err(pcb, 0xff, &error))
      return opened;
  tcp_abort(pcb);
  return nullptr;
}

} // namespace

err_t acquire_listener(const endpoint& address, tcp_accept_fn on_accept)
{
  auto& entry = listeners()[address];
  err_t error = ERR_OK;
  if (entry.references == 0)
    entry.pcb = open_listener(address, error);
  if (entry.pcb == nullptr)
  {
    listeners().erase(address);
    return error;
  }
  ++entry.references;
  tcp_accept(entry.pcb, on_accept);
  return ERR_OK;
}

void release_listener(const endpoint& address)
{
  const auto found = listeners().find(address);
  if (found == listeners().end() || --found->second.references > 0)
    return;
  tcp_close(found->second.pcb);
  listeners().erase(found);
}

} // namespace toucanmill::detail
