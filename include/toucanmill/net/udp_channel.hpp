#ifndef TOUCANMILL_NET_UDP_CHANNEL_HPP
#define TOUCANMILL_NET_UDP_CHANNEL_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include <toucanmill/base/address.hpp>
#include <toucanmill/base/outcome.hpp>
#include <toucanmill/packet/tcp_packet.hpp>

namespace toucanmill
{

/// Non-blocking UDP socket that sends and receives datagrams in batches.
class udp_channel
{
public:
  /// Maximum number of datagrams per system call.
  static constexpr std::size_t batch_size = 64;

  using receiver = std::function<void(byte_view datagram, const endpoint&)>;

  /// Port 0 selects a free port. Fails with io_failure.
  static result<udp_channel> open(const endpoint& local);

  ~udp_channel();
  udp_channel(udp_channel&& other) noexcept;
  udp_channel& operator=(udp_channel&&) = delete;

  int descriptor() const
  {
    return descriptor_;
  }
  endpoint local() const
  {
    return local_;
  }

  /// Receives at most one batch and calls the receiver for each datagram.
  /// Returns the number of datagrams, 0 when none is available.
  std::size_t receive(const receiver& on_datagram);

  /// Queues a datagram that consists of a header and a body; a full batch is
  /// sent at once.
  void send(const endpoint& to, byte_view header, byte_view body);

  /// Sends the queued datagrams.
  void flush();

  /// Number of datagrams that could not be sent.
  std::uint64_t unsent() const
  {
    return unsent_;
  }

private:
  struct outgoing
  {
    endpoint to;
    std::size_t offset;
    std::size_t size;
  };

  udp_channel(int descriptor, const endpoint& local);

  int descriptor_;
  endpoint local_;
  std::vector<std::uint8_t> receive_buffer_;
  std::vector<outgoing> queued_datagrams_;
  std::vector<std::uint8_t> queued_octets_;
  std::uint64_t unsent_ = 0;
};

} // namespace toucanmill

#endif
