#include "udp_socket.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

namespace toucanmill
{

result<udp_socket> udp_socket::open(const endpoint& listen, int buffer_size)
{
  const int descriptor =
      ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0)
    return error{error_code::io_failure,
                 std::string("cannot open UDP socket: ") +
                     std::strerror(errno)};
  udp_socket socket(descriptor);
  setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &buffer_size,
             sizeof buffer_size);
  setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &buffer_size,
             sizeof buffer_size);
  const auto address = to_sockaddr(listen);
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
           sizeof address) != 0)
    return error{error_code::io_failure, "cannot bind UDP socket to " +
                                             to_string(listen) + ": " +
                                             std::strerror(errno)};
  return socket;
}

udp_socket::udp_socket(udp_socket&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1))
{
}

udp_socket::~udp_socket()
{
  if (descriptor_ >= 0)
    close(descriptor_);
}

endpoint udp_socket::local() const
{
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &size);
  return from_sockaddr(address);
}

} // namespace toucanmill
