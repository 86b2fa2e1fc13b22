#include "fabric.hpp"

#include <algorithm>
#include <utility>

namespace toucanmill::fabric_edge
{

namespace
{

/// A balancer is used for this long after its latest announcement.
constexpr std::chrono::seconds announcement_age{1};

constexpr std::chrono::microseconds max_reorder_delay{5000};

} // namespace

fabric::fabric(asio::io_context& context, udp_channel channel, impairments harm,
               std::uint64_t seed, counters& counts)
    : channel_(std::move(channel)), harm_(harm), random_(seed), counts_(counts),
      timer_(context), reader_(context, channel_,
                               [this](byte_view datagram, const endpoint& from)
                               {
                                 on_datagram(datagram, from);
                               })
{
}

void fabric::start(reply_handler on_reply)
{
  on_reply_ = std::move(on_reply);
  reader_.start();
}

void fabric::on_datagram(byte_view datagram, const endpoint& from)
{
  const auto decoded = decode_gue(datagram);
  if (const auto* message = std::get_if<fabric_message>(&decoded))
    return on_message(*message, from);
  if (const auto* packet = std::get_if<gue_packet>(&decoded))
    if (const auto parsed = parse_tcp_packet(packet->inner);
        std::holds_alternative<tcp_packet>(parsed))
    {
      ++counts_.packets_received;
      return on_reply_(std::get<tcp_packet>(parsed));
    }
  ++counts_.packets_malformed;
}

void fabric::on_message(fabric_message message, const endpoint& from)
{
  const auto found = std::find_if(balancers_.begin(), balancers_.end(),
                                  [&from](const balancer& known)
                                  {
                                    return known.address == from;
                                  });
  if (message == fabric_message::withdraw)
  {
    if (found != balancers_.end())
      balancers_.erase(found);
  }
  else if (found != balancers_.end())
    found->announced = clock::now();
  else
    balancers_.push_back({from, clock::now()});
}

bool fabric::happens(double probability)
{
  return probability > 0 && std::bernoulli_distribution(probability)(random_);
}

void fabric::send(byte_view packet)
{
  if (happens(harm_.drop))
  {
    ++counts_.dropped;
    return;
  }
  send_one(packet);
  if (happens(harm_.duplicate))
  {
    ++counts_.duplicated;
    send_one(packet);
  }
}

void fabric::send_one(byte_view packet)
{
  clock::duration delay = harm_.delay;
  if (happens(harm_.reorder))
  {
    ++counts_.reordered;
    std::uniform_int_distribution<std::int64_t> extra(
        0, max_reorder_delay.count());
    delay += std::chrono::microseconds(extra(random_));
  }
  if (delay == clock::duration::zero())
    transmit(packet);
  else
    hold(packet, delay);
}

void fabric::hold(byte_view packet, clock::duration delay)
{
  const auto placed = held_.emplace(
      clock::now() + delay,
      std::vector<std::uint8_t>(packet.data, packet.data + packet.size));
  if (placed == held_.begin())
    arm_timer();
}

void fabric::arm_timer()
{
  timer_.expires_at(held_.begin()->first);
  timer_.async_wait(
      [this](std::error_code error)
      {
        if (!error)
          release_due();
      });
}

void fabric::release_due()
{
  while (!held_.empty() && held_.begin()->first <= clock::now())
  {
    const auto& packet = held_.begin()->second;
    transmit({packet.data(), packet.size()});
    held_.erase(held_.begin());
  }
  flush();
  if (!held_.empty())
    arm_timer();
}

void fabric::transmit(byte_view packet)
{
  const auto oldest = clock::now() - announcement_age;
  balancers_.erase(std::remove_if(balancers_.begin(), balancers_.end(),
                                  [oldest](const balancer& known)
                                  {
                                    return known.announced < oldest;
                                  }),
                   balancers_.end());
  if (balancers_.empty())
  {
    ++counts_.packets_without_balancer;
    return;
  }
  static const auto header = encode_gue_header();
  std::uniform_int_distribution<std::size_t> choose(0, balancers_.size() - 1);
  const auto& chosen = balancers_[choose(random_)].address;
  channel_.send(chosen, {header.bytes.data(), header.size}, packet);
  ++counts_.packets_sent;
  ++counts_.sent_to[chosen];
}

void fabric::flush()
{
  channel_.flush();
}

} // namespace toucanmill::fabric_edge
