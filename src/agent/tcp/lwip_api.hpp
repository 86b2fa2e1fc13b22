#ifndef TOUCANMILL_SRC_AGENT_TCP_LWIP_API_HPP
#define TOUCANMILL_SRC_AGENT_TCP_LWIP_API_HPP

extern "C"
{
#include <lwip/ip4.h>
#include <lwip/netif.h>
#include <lwip/pbuf.h>
#include <lwip/priv/tcp_priv.h>
#include <lwip/tcp.h>
#include <lwip/tcpip.h>
#include <lwip/timeouts.h>
}

#include <toucanmill/base/address.hpp>

namespace toucanmill::detail
{

/// Holds lwIP's core lock. No other lock is acquired while it is held.
class core_guard
{
public:
  core_guard()
  {
    LOCK_TCPIP_CORE();
  }
  ~core_guard()
  {
    UNLOCK_TCPIP_CORE();
  }
  core_guard(const core_guard&) = delete;
  core_guard& operator=(const core_guard&) = delete;
};

inline ip_addr_t to_lwip(ipv4_address address)
{
  ip_addr_t converted = IPADDR4_INIT(lwip_htonl(address.value));
  return converted;
}

inline ipv4_address from_lwip(const ip_addr_t& address)
{
  return {lwip_ntohl(ip4_addr_get_u32(ip_2_ip4(&address)))};
}

} // namespace toucanmill::detail

#endif
