#ifndef TOUCANMILL_BASE_SOCKET_ADDRESS_HPP
#define TOUCANMILL_BASE_SOCKET_ADDRESS_HPP

#include <netinet/in.h>

#include <toucanmill/base/address.hpp>

namespace toucanmill
{

/// The endpoint as the system's socket calls take it.
sockaddr_in to_sockaddr(const endpoint& value);

endpoint from_sockaddr(const sockaddr_in& value);

} // namespace toucanmill

#endif
