#ifndef TOUCANMILL_SRC_BALANCER_DATAGRAM_BATCH_HPP
#define TOUCANMILL_SRC_BALANCER_DATAGRAM_BATCH_HPP

#include <netinet/in.h>
#include <sys/socket.h>

#include <cstddef>
#include <cstdint>
#include <vector>

#include <toucanmill/balancer/forward_core.hpp>

namespace toucanmill
{

/// Packets that one send() dropped, by cause.
struct send_drops
{
  std::size_t buffer_full = 0;
  std::size_t failed = 0;
};

/// Buffers for one recvmmsg call and one sendmmsg call. A packet is sent from
/// its receive buffer without a copy: the new header overwrites the old one.
class datagram_batch
{
public:
  explicit datagram_batch(std::size_t capacity);

  /// Receives up to `capacity` datagrams without blocking. Returns their
  /// number, or -1 with errno set.
  int receive(int descriptor);

  /// Datagram of the last receive(). One that did not fit its slot is truncated
  /// to datagram_size, which still exceeds the decoder's size limit.
  byte_view datagram(std::size_t index) const;
  endpoint sender(std::size_t index) const;

  /// Queues the packet for the next send(). It must lie in the datagram with
  /// this index; at most one packet per datagram.
  void queue(std::size_t index, const send_to_agent& packet);

  /// Sends all queued packets; those that the kernel rejects are dropped.
  send_drops send(int descriptor);

private:
  /// Larger than any valid datagram (1,496 octets).
  static constexpr std::size_t datagram_size = 2048;
  /// Buffer of one datagram, with headroom in front for a longer header.
  static constexpr std::size_t slot_size = max_gue_header + datagram_size;

  std::uint8_t* slot(std::size_t index)
  {
    return octets_.data() + index * slot_size;
  }

  std::size_t capacity_;
  std::size_t queued_ = 0;
  std::vector<std::uint8_t> octets_;
  std::vector<sockaddr_in> sources_;
  std::vector<iovec> receive_iovecs_;
  std::vector<mmsghdr> receive_messages_;
  std::vector<sockaddr_in> destinations_;
  std::vector<iovec> send_iovecs_;
  std::vector<mmsghdr> send_messages_;
};

} // namespace toucanmill

#endif
