#ifndef TOUCANMILL_SRC_AGENT_LOOKUP_SHORTCUT_HPP
#define TOUCANMILL_SRC_AGENT_LOOKUP_SHORTCUT_HPP

#include "lwip_api.hpp"

namespace toucanmill::detail
{

/// Makes one connection the only one in lwIP's list of active connections, so
/// that the input of a packet for it takes no search of the list: at 2,000
/// connections the search took half of the cost of a packet. The list is whole
/// again at the end of the scope. Use under the core lock.
class lookup_shortcut
{
public:
  /// Null or a connection that is not active: does nothing.
  explicit lookup_shortcut(tcp_pcb* pcb);
  ~lookup_shortcut();
  lookup_shortcut(const lookup_shortcut&) = delete;
  lookup_shortcut& operator=(const lookup_shortcut&) = delete;

private:
  void unlink_removed();

  tcp_pcb* pcb_;
  tcp_pcb* head_ = nullptr;
  tcp_pcb* next_ = nullptr;
};

} // namespace toucanmill::detail

#endif
