#ifndef TOUCANMILL_BENCH_DATAGRAM_LOAD_HPP
#define TOUCANMILL_BENCH_DATAGRAM_LOAD_HPP

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <thread>
#include <vector>

#include "../src/balancer/udp_socket.hpp"
#include "../src/packet/packet_builder_test.hpp"

namespace toucanmill::bench
{

/// Receives datagrams and counts them.
class datagram_sink
{
public:
  datagram_sink()
      : thread_(
            [this]
            {
              run();
            })
  {
  }

  ~datagram_sink()
  {
    stop_.store(true);
    thread_.join();
  }

  endpoint local_endpoint() const
  {
    return socket_.local();
  }

  std::uint64_t received() const
  {
    return received_.load(std::memory_order_acquire);
  }

private:
  static constexpr std::size_t batch = 64;
  static constexpr int stop_check_ms = 20;

  void run()
  {
    std::array<mmsghdr, batch> messages{};
    while (!stop_.load(std::memory_order_relaxed))
    {
      const int count = recvmmsg(socket_.descriptor(), messages.data(), batch,
                                 MSG_DONTWAIT, nullptr);
      if (count > 0)
      {
        received_.fetch_add(static_cast<std::uint64_t>(count),
                            std::memory_order_release);
        continue;
      }
      pollfd watched{socket_.descriptor(), POLLIN, 0};
      poll(&watched, 1, stop_check_ms);
    }
  }

  udp_socket socket_ =
      udp_socket::open({ipv4_address{0x7F000001}, 0}, 4 << 20).value();
  std::atomic<std::uint64_t> received_{0};
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

struct load_result
{
  double packets_per_second = 0;
  std::uint64_t lost = 0;
  /// Share of the time that the sender waited for the relay. Near 0 the sender
  /// limits the rate, and the rate says nothing about the relay.
  double wait_share = 0;
};

/// Sends datagrams through a relay to a sink with a bounded number on their
/// way, so that the rate is the relay's and no receive buffer overflows.
class datagram_load
{
public:
  explicit datagram_load(const std::vector<test::octets>& datagrams)
      : parts_(datagrams.size()), messages_(datagrams.size())
  {
    for (std::size_t i = 0; i < datagrams.size(); ++i)
    {
      auto* octets = const_cast<std::uint8_t*>(datagrams[i].data());
      parts_[i] = {octets, datagrams[i].size()};
      messages_[i].msg_hdr.msg_iov = &parts_[i];
      messages_[i].msg_hdr.msg_iovlen = 1;
    }
  }

  load_result run(const endpoint& relay, const datagram_sink& sink,
                  std::uint64_t packets)
  {
    auto to = to_sockaddr(relay);
    for (auto& message : messages_)
    {
      message.msg_hdr.msg_name = &to;
      message.msg_hdr.msg_namelen = sizeof to;
    }
    const auto base = sink.received();
    const auto start = clock::now();
    waited_ = {};
    std::uint64_t sent = 0;
    while (sent < packets && wait_for(sink, base, sent, window() - batch))
      sent += send_batch(sent);
    wait_for(sink, base, sent, 0);
    const std::chrono::duration<double> elapsed = clock::now() - start;
    const auto arrived = sink.received() - base;
    return {static_cast<double>(arrived) / elapsed.count(), sent - arrived,
            waited_ / elapsed};
  }

private:
  using clock = std::chrono::steady_clock;

  static constexpr std::size_t batch = 32;
  /// Datagrams on their way at most. As many kernel buffers (2,304 octets, or
  /// 1,280 when the datagram is small) fit the default limit of a receive
  /// buffer (425,984 octets).
  std::uint64_t window() const
  {
    constexpr std::size_t small = 512;
    return parts_.front().iov_len > small ? 160 : 288;
  }

  /// Waits until at most `limit` datagrams are on their way. Returns false
  /// after a second without progress: the rest was lost.
  bool wait_for(const datagram_sink& sink, std::uint64_t base,
                std::uint64_t sent, std::uint64_t limit)
  {
    const auto start = clock::now();
    auto now = start;
    while (base + sent - sink.received() > limit)
      if (now = clock::now(); now - start > std::chrono::seconds(1))
        return false;
    waited_ += now - start;
    return true;
  }

  std::uint64_t send_batch(std::uint64_t sent)
  {
    const auto start = static_cast<std::size_t>(sent % messages_.size());
    const auto count = std::min(batch, messages_.size() - start);
    const int accepted = sendmmsg(socket_.descriptor(), &messages_[start],
                                  static_cast<unsigned>(count), 0);
    return accepted > 0 ? static_cast<std::uint64_t>(accepted) : 0;
  }

  udp_socket socket_ =
      udp_socket::open({ipv4_address{0x7F000001}, 0}, 4 << 20).value();
  std::vector<iovec> parts_;
  std::vector<mmsghdr> messages_;
  std::chrono::duration<double> waited_{};
};

} // namespace toucanmill::bench

#endif
