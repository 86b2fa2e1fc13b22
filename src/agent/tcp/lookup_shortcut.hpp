#ifndef TOUCANMILL_SRC_AGENT_TCP_LOOKUP_SHORTCUT_HPP
#define TOUCANMILL_SRC_AGENT_TCP_LOOKUP_SHORTCUT_HPP

#include "lwip_api.hpp"

namespace toucanmill::detail
{

/// While in scope, reduces lwIP's list of active connections to one connection,
/// so that processing a packet for it does not search the list. With 2,000
/// connections the search took half of the time per packet. Requires the core
/// lock.
class lookup_shortcut
{
public:
  /// Has no effect if the connection is null or not active.
  explicit lookup_shortcut(tcp_pcb* pcb);
  ~lookup_shortcut();
  lookup_shortcut(const lookup_shortcut&) = delete;
  lookup_shortcut& operator=(const lookup_shortcut&) = delete;

private:
  void unlink_closed();

  tcp_pcb* pcb_;
  tcp_pcb* head_ = nullptr;
  tcp_pcb* next_ = nullptr;
};

} // namespace toucanmill::detail

#endif
