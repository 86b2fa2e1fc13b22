#ifndef TOUCANMILL_NET_UDP_CHANNEL_READER_HPP
#define TOUCANMILL_NET_UDP_CHANNEL_READER_HPP

#include <asio.hpp>
#include <functional>

#include <toucanmill/net/udp_channel.hpp>

namespace toucanmill
{

/// Receives from a udp_channel on the thread of an io_context.
class udp_channel_reader
{
public:
  /// `after_batch` is called after each received batch, also after an empty
  /// one. The channel must outlive the reader.
  udp_channel_reader(
      asio::io_context& context, udp_channel& channel,
      udp_channel::receiver on_datagram,
      std::function<void()> after_batch = [] {});

  void start();

private:
  void receive_batches();

  udp_channel& channel_;
  udp_channel::receiver on_datagram_;
  std::function<void()> after_batch_;
  asio::posix::stream_descriptor readable_;
};

} // namespace toucanmill

#endif
