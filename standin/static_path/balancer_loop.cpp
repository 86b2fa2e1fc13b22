#include "balancer_loop.hpp"

#include <poll.h>

#include <chrono>
#include <utility>

#include <toucanmill/table/flow_hash.hpp>

namespace toucanmill::static_path
{

namespace
{

constexpr std::chrono::milliseconds announce_interval{200};
constexpr int poll_timeout_ms = 50;

route_stamp stamp_of(const service_table& table, std::size_t bucket,
                     const endpoint& return_to)
{
  route_stamp stamp;
  stamp.service = table.id;
  stamp.version = table.version;
  stamp.bucket = static_cast<std::uint16_t>(bucket);
  stamp.return_to = return_to;
  for (const auto index : table.buckets[bucket])
  {
    const auto& holder = table.holders[index];
    stamp.chain.holders[stamp.chain.size++] = holder.agent;
  }
  return stamp;
}

} // namespace

balancer_loop::balancer_loop(udp_channel channel, endpoint fabric,
                             std::shared_ptr<const service_table> table)
    : channel_(std::move(channel)), fabric_(fabric), table_(std::move(table)),
      thread_(
          [this]
          {
            run();
          })
{
}

balancer_loop::~balancer_loop()
{
  stopping_ = true;
  thread_.join();
}

void balancer_loop::set_table(std::shared_ptr<const service_table> table)
{
  std::atomic_store(&table_, std::move(table));
}

void balancer_loop::run()
{
  auto next_announcement = std::chrono::steady_clock::now();
  while (!stopping_)
  {
    if (std::chrono::steady_clock::now() >= next_announcement)
    {
      announce();
      next_announcement += announce_interval;
    }
    pollfd waiting{channel_.descriptor(), POLLIN, 0};
    if (poll(&waiting, 1, poll_timeout_ms) > 0)
      channel_.receive(
          [this](byte_view datagram, const endpoint& from)
          {
            forward(datagram, from);
          });
    channel_.flush();
  }
}

void balancer_loop::announce()
{
  const auto message = encode_fabric_message(fabric_message::announce);
  channel_.send(fabric_, {message.bytes.data(), message.size}, {});
}

void balancer_loop::forward(byte_view datagram, const endpoint& from)
{
  const auto table = std::atomic_load(&table_);
  const auto decoded = decode_gue(datagram);
  const auto* const packet = std::get_if<gue_packet>(&decoded);
  if (packet == nullptr)
    return;
  const auto parsed = parse_tcp_packet(packet->inner);
  const auto* const tcp = std::get_if<tcp_packet>(&parsed);
  if (tcp == nullptr || tcp->flow.service != table->address)
    return;
  const auto bucket = bucket_of(flow_hash(tcp->flow), table->buckets.size());
  const auto stamp = stamp_of(*table, bucket, from);
  const auto header = encode_gue_header(stamp);
  channel_.send(stamp.chain.holders[0], {header.bytes.data(), header.size},
                packet->inner);
}

} // namespace toucanmill::static_path
