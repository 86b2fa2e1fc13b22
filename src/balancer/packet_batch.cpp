#include "packet_batch.hpp"

#include <cerrno>
#include <cstring>

#include <toucanmill/base/invariant.hpp>

#include "udp_socket.hpp"

namespace toucanmill
{

packet_batch::packet_batch(std::size_t capacity)
    : capacity_(capacity), octets_(capacity * stride), senders_(capacity),
      received_parts_(capacity), received_(capacity), receivers_(capacity),
      sent_parts_(capacity), sent_(capacity)
{
  for (std::size_t i = 0; i < capacity; ++i)
  {
    received_parts_[i] = {slot(i) + max_gue_header, datagram_size};
    received_[i].msg_hdr.msg_name = &senders_[i];
    received_[i].msg_hdr.msg_iov = &received_parts_[i];
    received_[i].msg_hdr.msg_iovlen = 1;
    sent_[i].msg_hdr.msg_name = &receivers_[i];
    sent_[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
    sent_[i].msg_hdr.msg_iov = &sent_parts_[i];
    sent_[i].msg_hdr.msg_iovlen = 1;
  }
}

int packet_batch::receive(int descriptor)
{
  for (auto& message : received_)
    message.msg_hdr.msg_namelen = sizeof(sockaddr_in);
  return recvmmsg(descriptor, received_.data(),
                  static_cast<unsigned>(capacity_), MSG_DONTWAIT, nullptr);
}

byte_view packet_batch::datagram(std::size_t index) const
{
  return {octets_.data() + index * stride + max_gue_header,
          received_[index].msg_len};
}

endpoint packet_batch::sender(std::size_t index) const
{
  return from_sockaddr(senders_[index]);
}

void packet_batch::queue(std::size_t index, const send_to_agent& packet)
{
  const auto offset = static_cast<std::size_t>(packet.inner.data - slot(index));
  TOUCANMILL_INVARIANT(offset >= packet.header.size &&
                           offset + packet.inner.size <= stride &&
                           queued_ < capacity_,
                       "a packet and its header fit the receive buffer");
  std::uint8_t* const start = slot(index) + offset - packet.header.size;
  std::memcpy(start, packet.header.bytes.data(), packet.header.size);
  sent_parts_[queued_] = {start, packet.header.size + packet.inner.size};
  receivers_[queued_] = to_sockaddr(packet.agent);
  ++queued_;
}

send_tally packet_batch::send(int descriptor)
{
  send_tally tally;
  std::size_t next = 0;
  while (next < queued_)
  {
    const int sent = sendmmsg(descriptor, &sent_[next],
                              static_cast<unsigned>(queued_ - next), 0);
    if (sent > 0)
    {
      next += static_cast<std::size_t>(sent);
      continue;
    }
    if (errno == EINTR)
      continue;
    if (errno == EAGAIN || errno == ENOBUFS)
    {
      tally.buffer_full += queued_ - next;
      break;
    }
    // Only the first message failed; the rest may have other destinations.
    ++tally.failed;
    ++next;
  }
  queued_ = 0;
  return tally;
}

} // namespace toucanmill
