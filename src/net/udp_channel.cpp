#include <toucanmill/net/udp_channel.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include <toucanmill/base/socket_address.hpp>

namespace toucanmill
{

namespace
{

/// Octets per datagram. A longer datagram is truncated and then fails the
/// length checks of the decoder.
constexpr std::size_t slot_size = 2048;

/// Octets per direction. A burst of a few thousand packets overflows the
/// default buffer. The kernel may grant less.
constexpr int socket_buffer_size = 4 << 20;

error socket_error(const char* what, const endpoint& local)
{
  return {error_code::io_failure, std::string(what) + " " + to_string(local) +
                                      ": " + std::strerror(errno)};
}

} // namespace

result<udp_channel> udp_channel::open(const endpoint& local)
{
  const int descriptor =
      socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0)
    return socket_error("cannot open UDP socket", local);
  udp_channel channel(descriptor, local);
  for (const int option : {SO_RCVBUF, SO_SNDBUF})
    setsockopt(descriptor, SOL_SOCKET, option, &socket_buffer_size,
               sizeof socket_buffer_size);
  auto address = to_sockaddr(local);
  socklen_t size = sizeof address;
  auto* const socket_address = reinterpret_cast<sockaddr*>(&address);
  if (bind(descriptor, socket_address, size) != 0 ||
      getsockname(descriptor, socket_address, &size) != 0)
    return socket_error("cannot bind UDP socket to", local);
  channel.local_ = from_sockaddr(address);
  return channel;
}

udp_channel::udp_channel(int descriptor, const endpoint& local)
    : descriptor_(descriptor), local_(local),
      receive_buffer_(slot_size * batch_size)
{
}

udp_channel::udp_channel(udp_channel&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)), local_(other.local_),
      receive_buffer_(std::move(other.receive_buffer_)),
      queued_datagrams_(std::move(other.queued_datagrams_)),
      queued_octets_(std::move(other.queued_octets_)), unsent_(other.unsent_)
{
}

udp_channel::~udp_channel()
{
  if (descriptor_ >= 0)
    close(descriptor_);
}

std::size_t udp_channel::receive(const receiver& on_datagram)
{
  std::array<mmsghdr, batch_size> messages{};
  std::array<iovec, batch_size> iovecs{};
  std::array<sockaddr_in, batch_size> sources{};
  for (std::size_t i = 0; i < batch_size; ++i)
  {
    iovecs[i] = {receive_buffer_.data() + i * slot_size, slot_size};
    messages[i].msg_hdr.msg_iov = &iovecs[i];
    messages[i].msg_hdr.msg_iovlen = 1;
    messages[i].msg_hdr.msg_name = &sources[i];
    messages[i].msg_hdr.msg_namelen = sizeof sources[i];
  }
  const int count =
      recvmmsg(descriptor_, messages.data(), batch_size, 0, nullptr);
  for (int i = 0; i < count; ++i)
    on_datagram(
        {receive_buffer_.data() + static_cast<std::size_t>(i) * slot_size,
         messages[static_cast<std::size_t>(i)].msg_len},
        from_sockaddr(sources[static_cast<std::size_t>(i)]));
  return count > 0 ? static_cast<std::size_t>(count) : 0;
}

void udp_channel::send(const endpoint& to, byte_view header, byte_view body)
{
  queued_datagrams_.push_back(
      {to, queued_octets_.size(), header.size + body.size});
  queued_octets_.insert(queued_octets_.end(), header.data,
                        header.data + header.size);
  if (body.size != 0)
    queued_octets_.insert(queued_octets_.end(), body.data,
                          body.data + body.size);
  if (queued_datagrams_.size() == batch_size)
    flush();
}

void udp_channel::flush()
{
  std::array<mmsghdr, batch_size> messages{};
  std::array<iovec, batch_size> iovecs{};
  std::array<sockaddr_in, batch_size> destinations{};
  for (std::size_t i = 0; i < queued_datagrams_.size(); ++i)
  {
    destinations[i] = to_sockaddr(queued_datagrams_[i].to);
    iovecs[i] = {queued_octets_.data() + queued_datagrams_[i].offset,
                 queued_datagrams_[i].size};
    messages[i].msg_hdr.msg_iov = &iovecs[i];
    messages[i].msg_hdr.msg_iovlen = 1;
    messages[i].msg_hdr.msg_name = &destinations[i];
    messages[i].msg_hdr.msg_namelen = sizeof destinations[i];
  }
  std::size_t sent = 0;
  while (sent < queued_datagrams_.size())
  {
    const int count = sendmmsg(
        descriptor_, messages.data() + sent,
        static_cast<unsigned>(queued_datagrams_.size() - sent), MSG_DONTWAIT);
    // The first datagram failed, e.g. its destination is unreachable; skip it.
    if (count <= 0)
      ++unsent_;
    sent += count > 0 ? static_cast<std::size_t>(count) : 1;
  }
  queued_datagrams_.clear();
  queued_octets_.clear();
}

} // namespace toucanmill
