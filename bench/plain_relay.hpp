#ifndef TOUCANMILL_BENCH_PLAIN_RELAY_HPP
#define TOUCANMILL_BENCH_PLAIN_RELAY_HPP

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <atomic>
#include <thread>

#include "../src/balancer/udp_socket.hpp"

namespace toucanmill::bench
{

/// Sends every datagram on to one destination, unread: the baseline of the
/// forwarding rate. Batches are as large as the balancer's.
class plain_relay
{
public:
  plain_relay(const endpoint& listen, const endpoint& to)
      : socket_(udp_socket::open(listen, 4 << 20).value()),
        to_(to_sockaddr(to)), thread_(
                                  [this]
                                  {
                                    run();
                                  })
  {
  }

  ~plain_relay()
  {
    stop_.store(true);
    thread_.join();
  }

  endpoint local_endpoint() const
  {
    return socket_.local();
  }

private:
  static constexpr std::size_t batch = 64;
  static constexpr int stop_check_ms = 20;

  void prepare()
  {
    for (std::size_t i = 0; i < batch; ++i)
    {
      parts_[i] = {octets_[i].data(), octets_[i].size()};
      messages_[i] = {};
      messages_[i].msg_hdr.msg_iov = &parts_[i];
      messages_[i].msg_hdr.msg_iovlen = 1;
    }
  }

  void run()
  {
    prepare();
    while (!stop_.load(std::memory_order_relaxed))
      if (!relay_batch())
      {
        pollfd watched{socket_.descriptor(), POLLIN, 0};
        poll(&watched, 1, stop_check_ms);
      }
  }

  bool relay_batch()
  {
    const int received = recvmmsg(socket_.descriptor(), messages_.data(), batch,
                                  MSG_DONTWAIT, nullptr);
    if (received <= 0)
      return false;
    const auto count = static_cast<std::size_t>(received);
    for (std::size_t i = 0; i < count; ++i)
    {
      parts_[i].iov_len = messages_[i].msg_len;
      messages_[i].msg_hdr.msg_name = &to_;
      messages_[i].msg_hdr.msg_namelen = sizeof to_;
    }
    sendmmsg(socket_.descriptor(), messages_.data(),
             static_cast<unsigned>(count), 0);
    for (std::size_t i = 0; i < count; ++i)
    {
      parts_[i].iov_len = octets_[i].size();
      messages_[i].msg_hdr.msg_name = nullptr;
      messages_[i].msg_hdr.msg_namelen = 0;
    }
    return true;
  }

  udp_socket socket_;
  sockaddr_in to_;
  std::array<std::array<std::uint8_t, 2048>, batch> octets_{};
  std::array<iovec, batch> parts_{};
  std::array<mmsghdr, batch> messages_{};
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

} // namespace toucanmill::bench

#endif
