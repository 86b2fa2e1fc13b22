#ifndef TOUCANMILL_SRC_BALANCER_PACKET_BATCH_HPP
#define TOUCANMILL_SRC_BALANCER_PACKET_BATCH_HPP

#include <netinet/in.h>
#include <sys/socket.h>

#include <cstddef>
#include <cstdint>
#include <vector>

#include <toucanmill/balancer/forward_core.hpp>

namespace toucanmill
{

/// What became of the packets of one send().
struct send_tally
{
  std::size_t buffer_full = 0;
  std::size_t failed = 0;
};

/// Buffers for one recvmmsg and one sendmmsg. A packet is sent from the buffer
/// it was received in: its new header replaces the old one.
class packet_batch
{
public:
  explicit packet_batch(std::size_t capacity);

  /// Receives up to the capacity without blocking. Returns the number of
  /// datagrams, or -1 with errno set.
  int receive(int descriptor);

  /// Datagram of the last receive(). One that did not fit its buffer is larger
  /// than any valid datagram, also in the part that is there.
  byte_view datagram(std::size_t index) const;
  endpoint sender(std::size_t index) const;

  /// Adds the packet, which lies in the datagram of this index, to the next
  /// send(). At most once for each datagram.
  void queue(std::size_t index, const send_to_agent& packet);

  /// Sends all queued packets. Those that the system does not take are dropped.
  send_tally send(int descriptor);

private:
  /// Larger than any valid datagram (1,496 octets).
  static constexpr std::size_t datagram_size = 2048;
  /// Room in front of the datagram for a longer header.
  static constexpr std::size_t stride = max_gue_header + datagram_size;

  std::uint8_t* slot(std::size_t index)
  {
    return octets_.data() + index * stride;
  }

  std::size_t capacity_;
  std::size_t queued_ = 0;
  std::vector<std::uint8_t> octets_;
  std::vector<sockaddr_in> senders_;
  std::vector<iovec> received_parts_;
  std::vector<mmsghdr> received_;
  std::vector<sockaddr_in> receivers_;
  std::vector<iovec> sent_parts_;
  std::vector<mmsghdr> sent_;
};

} // namespace toucanmill

#endif
