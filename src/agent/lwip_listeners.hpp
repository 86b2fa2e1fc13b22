#ifndef TOUCANMILL_SRC_AGENT_LWIP_LISTENERS_HPP
#define TOUCANMILL_SRC_AGENT_LWIP_LISTENERS_HPP

#include <toucanmill/base/address.hpp>

#include "lwip_api.hpp"

namespace toucanmill::detail
{

/// Listens on the address for all stacks of the process, since lwIP allows one
/// listener for an address and port. Call under the core lock.
err_t take_listener(const endpoint& address, tcp_accept_fn on_accept);

/// Closes the listener once each take_listener() has its drop_listener().
void drop_listener(const endpoint& address);

} // namespace toucanmill::detail

#endif
