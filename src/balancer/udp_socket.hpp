#ifndef TOUCANMILL_SRC_BALANCER_UDP_SOCKET_HPP
#define TOUCANMILL_SRC_BALANCER_UDP_SOCKET_HPP

#include <toucanmill/base/address.hpp>
#include <toucanmill/base/outcome.hpp>
#include <toucanmill/base/socket_address.hpp>

namespace toucanmill
{

/// Bound, non-blocking UDP socket.
class udp_socket
{
public:
  /// buffer_size: octets per direction; the kernel may grant less.
  static result<udp_socket> open(const endpoint& listen, int buffer_size);

  udp_socket(udp_socket&& other) noexcept;
  udp_socket& operator=(udp_socket&&) = delete;
  ~udp_socket();

  int descriptor() const
  {
    return descriptor_;
  }

  endpoint local() const;

private:
  explicit udp_socket(int descriptor) : descriptor_(descriptor) {}

  int descriptor_;
};

} // namespace toucanmill

#endif
