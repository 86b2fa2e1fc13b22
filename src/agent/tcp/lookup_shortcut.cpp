#include "lookup_shortcut.hpp"

#include <toucanmill/base/invariant.hpp>

namespace toucanmill::detail
{

namespace
{

bool is_active(const tcp_pcb& pcb)
{
  return pcb.state != CLOSED && pcb.state != LISTEN && pcb.state != TIME_WAIT;
}

} // namespace

lookup_shortcut::lookup_shortcut(tcp_pcb* pcb)
    : pcb_(pcb != nullptr && is_active(*pcb) ? pcb : nullptr)
{
  if (pcb_ == nullptr)
    return;
  head_ = tcp_active_pcbs;
  next_ = pcb_->next;
  tcp_active_pcbs = pcb_;
  pcb_->next = nullptr;
}

lookup_shortcut::~lookup_shortcut()
{
  if (pcb_ == nullptr)
    return;
  if (tcp_active_pcbs == pcb_)
    pcb_->next = next_;
  else
    unlink_closed();
  tcp_active_pcbs = head_;
}

/// The packet ended the connection. lwIP may have freed it already, so only its
/// address is used.
void lookup_shortcut::unlink_closed()
{
  TOUCANMILL_INVARIANT(tcp_active_pcbs == nullptr,
                       "a packet of a known flow opened a connection");
  if (head_ == pcb_)
  {
    head_ = next_;
    return;
  }
  auto* previous = head_;
  while (previous->next != pcb_)
    previous = previous->next;
  previous->next = next_;
}

} // namespace toucanmill::detail
