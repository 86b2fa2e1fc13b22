#ifndef TOUCANMILL_SRC_AGENT_TCP_LWIP_LISTENERS_HPP
#define TOUCANMILL_SRC_AGENT_TCP_LWIP_LISTENERS_HPP

#include <toucanmill/base/address.hpp>

#include "lwip_api.hpp"

namespace toucanmill::detail
{

/// Listens on the address. The listener is shared by all stacks of the process,
/// since lwIP allows only one per address and port. Requires the core lock.
err_t acquire_listener(const endpoint& address, tcp_accept_fn on_accept);

/// Closes the listener when its last user releases it. Requires the core lock.
void release_listener(const endpoint& address);

} // namespace toucanmill::detail

#endif
