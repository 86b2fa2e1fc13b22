#include "datagram_batch.hpp"

#include <cerrno>
#include <cstring>

#include <toucanmill/base/invariant.hpp>

#include "udp_socket.hpp"

namespace toucanmill
{

datagram_batch::datagram_batch(std::size_t capacity)
    : capacity_(capacity), octets_(capacity * slot_size), sources_(capacity),
      receive_iovecs_(capacity), receive_messages_(capacity),
      destinations_(capacity), send_iovecs_(capacity), send_messages_(capacity)
{
  for (std::size_t i = 0; i < capacity; ++i)
  {
    receive_iovecs_[i] = {slot(i) + max_gue_header, datagram_size};
    receive_messages_[i].msg_hdr.msg_name = &sources_[i];
    receive_messages_[i].msg_hdr.msg_iov = &receive_iovecs_[i];
    receive_messages_[i].msg_hdr.msg_iovlen = 1;
    send_messages_[i].msg_hdr.msg_name = &destinations_[i];
    send_messages_[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
    send_messages_[i].msg_hdr.msg_iov = &send_iovecs_[i];
    send_messages_[i].msg_hdr.msg_iovlen = 1;
  }
}

int datagram_batch::receive(int descriptor)
{
  for (auto& message : receive_messages_)
    message.msg_hdr.msg_namelen = sizeof(sockaddr_in);
  return recvmmsg(descriptor, receive_messages_.data(),
                  static_cast<unsigned>(capacity_), MSG_DONTWAIT, nullptr);
}

byte_view datagram_batch::datagram(std::size_t index) const
{
  return {octets_.data() + index * slot_size + max_gue_header,
          receive_messages_[index].msg_len};
}

endpoint datagram_batch::sender(std::size_t index) const
{
  return from_sockaddr(sources_[index]);
}

void datagram_batch::queue(std::size_t index, const send_to_agent& packet)
{
  const auto offset = static_cast<std::size_t>(packet.inner.data - slot(index));
  TOUCANMILL_INVARIANT(offset >= packet.header.size &&
                           offset + packet.inner.size <= slot_size &&
                           queued_ < capacity_,
                       "a packet and its new header fit in the receive slot");
  std::uint8_t* const start = slot(index) + offset - packet.header.size;
  std::memcpy(start, packet.header.bytes.data(), packet.header.size);
  send_iovecs_[queued_] = {start, packet.header.size + packet.inner.size};
  destinations_[queued_] = to_sockaddr(packet.agent);
  ++queued_;
}

send_drops datagram_batch::send(int descriptor)
{
  send_drops drops;
  std::size_t next = 0;
  while (next < queued_)
  {
    const int sent = sendmmsg(descriptor, &send_messages_[next],
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
      drops.buffer_full += queued_ - next;
      break;
    }
    // Only the first message failed; the others may have other destinations.
    ++drops.failed;
    ++next;
  }
  queued_ = 0;
  return drops;
}

} // namespace toucanmill
