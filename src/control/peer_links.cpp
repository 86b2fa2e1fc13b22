#include "peer_links.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include <toucanmill/cluster/wire.hpp>

#include "message_compression.hpp"

namespace toucanmill::detail
{

namespace
{

constexpr auto connect_timeout = 500 * kj::MILLISECONDS;

/// Delay between attempts to connect to an unreachable instance.
constexpr auto reconnect_delay = 100 * kj::MILLISECONDS;

/// Heartbeats go to every member, so that a link without messages for this time
/// leads to an instance that has left the group.
constexpr auto unused_link_time = 30 * kj::SECONDS;

/// A connection is replaced if a message is not acknowledged in this time and
/// the time that the octets up to its end need at the minimum rate.
constexpr auto delivery_timeout = 2 * kj::SECONDS;

/// Longest time until an instance that lost its power gets a new connection.
constexpr auto max_delivery_time = 10 * kj::SECONDS;

kj::Duration time_allowed(std::size_t octets)
{
  const auto needed =
      delivery_timeout + octets * kj::SECONDS / peer_links::min_delivery_rate;
  return std::min<kj::Duration>(needed, max_delivery_time);
}

bool is_large(const std::string& message)
{
  return message.size() >= large_message_octets;
}

} // namespace

peer_links::peer_links(kj::AsyncIoContext& io, kj::Timer& timer,
                       std::atomic<std::uint64_t>& lost)
    : io_(io), timer_(timer), lost_(lost), tasks_(*this)
{
}

void peer_links::send(const replica_address& to, const std::string& message)
{
  const auto peer = find_or_create_link(to);
  peer->last_use = timer_.now();
  if (peer->connection != nullptr && has_room(*peer, message))
    return deliver(peer, message);
  const bool closed = peer->connection == nullptr;
  if (closed && peer->queued.size() < max_queued)
    peer->queued.push_back(message);
  else
    ++lost_;
  if (closed && !peer->connecting)
    connect(peer);
}

bool peer_links::has_room(const link& peer, const std::string& message)
{
  return peer.in_flight < max_in_flight &&
         !(peer.large_in_flight && is_large(message));
}

void peer_links::invite(const endpoint& to,
                        const std::vector<endpoint>& members)
{
  tasks_.add(connect_rpc(io_, to, connect_timeout)
                 .then(
                     [this, members](kj::Own<kj::AsyncIoStream> stream)
                     {
                       auto connection =
                           std::make_shared<rpc_connection>(kj::mv(stream));
                       auto request = connection->control.inviteRequest();
                       auto list = request.initMembers(
                           static_cast<unsigned>(members.size()));
                       for (unsigned i = 0; i < list.size(); ++i)
                         wire::write(list[i], members[i]);
                       return timer_
                           .timeoutAfter(delivery_timeout,
                                         request.send().ignoreResult())
                           .attach(kj::mv(connection));
                     })
                 .catch_([](kj::Exception&&) {}));
}

void peer_links::deliver_queued(const std::shared_ptr<link>& peer)
{
  for (const auto& message : std::exchange(peer->queued, {}))
    if (has_room(*peer, message))
      deliver(peer, message);
    else
      ++lost_;
}

std::shared_ptr<peer_links::link>
peer_links::find_or_create_link(const replica_address& to)
{
  auto& peer = links_[{to.rpc, to.id}];
  if (peer == nullptr)
  {
    peer = std::make_shared<link>();
    peer->to = to.rpc;
    peer->last_use = timer_.now();
    drop_unused_links();
  }
  return peer;
}

void peer_links::drop_unused_links()
{
  for (auto it = links_.begin(); it != links_.end();)
    it = timer_.now() - it->second->last_use >= unused_link_time
             ? links_.erase(it)
             : std::next(it);
}

void peer_links::connect(const std::shared_ptr<link>& peer)
{
  peer->connecting = true;
  tasks_.add(connect_rpc(io_, peer->to, connect_timeout)
                 .then(
                     [this, peer](kj::Own<kj::AsyncIoStream> stream)
                     {
                       peer->connection =
                           std::make_shared<rpc_connection>(kj::mv(stream));
                       peer->in_flight = 0;
                       peer->octets_in_flight = 0;
                       peer->large_in_flight = false;
                       peer->accepts_compressed.reset();
                       peer->connecting = false;
                       deliver_queued(peer);
                     })
                 .catch_(
                     [this, peer](kj::Exception&&)
                     {
                       lost_ += peer->queued.size();
                       peer->queued.clear();
                       return timer_.afterDelay(reconnect_delay)
                           .then(
                               [peer]
                               {
                                 peer->connecting = false;
                               });
                     }));
}

void peer_links::deliver(const std::shared_ptr<link>& peer,
                         const std::string& message)
{
  const bool large = is_large(message);
  const auto compressed = large && peer->accepts_compressed.value_or(false)
                              ? compress(message)
                              : std::nullopt;
  const auto& bytes = compressed ? *compressed : message;
  auto request = peer->connection->control.stepRequest();
  request.setMessage(kj::StringPtr(bytes.c_str(), bytes.size()).asBytes());
  if (compressed)
    request.setSize(static_cast<std::uint32_t>(message.size()));
  // The task keeps the connection alive, so that it is not destroyed inside one
  // of its own callbacks.
  const sent_message sent{peer->connection, bytes.size(), large,
                          compressed.has_value()};
  ++peer->in_flight;
  peer->octets_in_flight += sent.octets;
  peer->large_in_flight = peer->large_in_flight || large;
  tasks_.add(timer_
                 .timeoutAfter(time_allowed(peer->octets_in_flight),
                               request.send().then(
                                   [](auto&& answer)
                                   {
                                     return answer.getAcceptsCompressed();
                                   }))
                 .then(
                     [peer, sent](bool accepts_compressed)
                     {
                       on_answer(*peer, sent, accepts_compressed);
                     },
                     [this, peer, sent](kj::Exception&& failure)
                     {
                       ++lost_;
                       on_failure(*peer, sent, failure);
                     }));
}

void peer_links::remove_in_flight(link& peer, const sent_message& sent)
{
  --peer.in_flight;
  peer.octets_in_flight -= sent.octets;
  if (sent.large)
    peer.large_in_flight = false;
}

void peer_links::on_answer(link& peer, const sent_message& sent,
                           bool accepts_compressed)
{
  if (peer.connection != sent.used)
    return;
  remove_in_flight(peer, sent);
  if (!peer.accepts_compressed)
    peer.accepts_compressed = accepts_compressed;
}

// An instance that refuses a compressed message still serves its connection.
void peer_links::on_failure(link& peer, const sent_message& sent,
                            const kj::Exception& failure)
{
  if (peer.connection != sent.used)
    return;
  if (sent.compressed && failure.getType() == kj::Exception::Type::FAILED)
  {
    remove_in_flight(peer, sent);
    peer.accepts_compressed = false;
  }
  else
    peer.connection = nullptr;
}

void peer_links::taskFailed(kj::Exception&&) {}

} // namespace toucanmill::detail
