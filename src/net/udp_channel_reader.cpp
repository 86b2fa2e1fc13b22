#include <toucanmill/net/udp_channel_reader.hpp>

#include <unistd.h>

#include <utility>

namespace toucanmill
{

namespace
{

/// Maximum number of batches received before other handlers run.
constexpr int max_batches_per_turn = 16;

} // namespace

// The descriptor is duplicated because both owners close theirs.
udp_channel_reader::udp_channel_reader(asio::io_context& context,
                                       udp_channel& channel,
                                       udp_channel::receiver on_datagram,
                                       std::function<void()> after_batch)
    : channel_(channel), on_datagram_(std::move(on_datagram)),
      after_batch_(std::move(after_batch)),
      readable_(context, dup(channel.descriptor()))
{
}

void udp_channel_reader::start()
{
  readable_.async_wait(asio::posix::descriptor_base::wait_read,
                       [this](std::error_code error)
                       {
                         if (error)
                           return;
                         receive_batches();
                         start();
                       });
}

void udp_channel_reader::receive_batches()
{
  std::size_t received = udp_channel::batch_size;
  for (int i = 0;
       i < max_batches_per_turn && received == udp_channel::batch_size; ++i)
  {
    received = channel_.receive(on_datagram_);
    after_batch_();
  }
}

} // namespace toucanmill
