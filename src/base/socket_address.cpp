#include <toucanmill/base/socket_address.hpp>

namespace toucanmill
{

sockaddr_in to_sockaddr(const endpoint& value)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(value.address.value);
  address.sin_port = htons(value.port);
  return address;
}

endpoint from_sockaddr(const sockaddr_in& value)
{
  return {{ntohl(value.sin_addr.s_addr)}, ntohs(value.sin_port)};
}

} // namespace toucanmill
