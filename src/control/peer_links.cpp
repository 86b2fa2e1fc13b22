#include "peer_links.hpp"

#include <utility>

#include <toucanmill/cluster/wire.hpp>

namespace toucanmill::detail
{

namespace
{

constexpr auto connect_limit = 500 * kj::MILLISECONDS;

/// Pause between attempts to connect to an instance that is down.
constexpr auto reconnect_pause = 100 * kj::MILLISECONDS;

/// A connection whose peer acknowledges nothing for this long is replaced.
constexpr auto delivery_limit = 2 * kj::SECONDS;

} // namespace

peer_links::peer_links(kj::AsyncIoContext& io, std::atomic<std::uint64_t>& lost)
    : io_(io), lost_(lost), tasks_(*this)
{
}

void peer_links::send(const replica_address& to, const std::string& message)
{
  const auto peer = link_to(to.rpc);
  if (peer->open != nullptr && peer->in_flight < max_in_flight)
    return deliver(peer, message);
  const bool closed = peer->open == nullptr;
  if (closed && peer->waiting.size() < max_waiting)
    peer->waiting.push_back(message);
  else
    ++lost_;
  if (closed && !peer->connecting)
    connect(peer);
}

void peer_links::invite(const endpoint& to,
                        const std::vector<endpoint>& members)
{
  tasks_.add(
      connect_rpc(io_, to, connect_limit)
          .then(
              [this, members](kj::Own<kj::AsyncIoStream> stream)
              {
                auto connection =
                    std::make_shared<rpc_connection>(kj::mv(stream));
                auto request = connection->control.inviteRequest();
                auto list =
                    request.initMembers(static_cast<unsigned>(members.size()));
                for (unsigned i = 0; i < list.size(); ++i)
                  wire::write(list[i], members[i]);
                return io_.provider->getTimer()
                    .timeoutAfter(delivery_limit, request.send().ignoreResult())
                    .attach(kj::mv(connection));
              })
          .catch_([](kj::Exception&&) {}));
}

void peer_links::deliver_waiting(const std::shared_ptr<link>& peer)
{
  for (const auto& message : std::exchange(peer->waiting, {}))
    deliver(peer, message);
}

std::shared_ptr<peer_links::link> peer_links::link_to(const endpoint& to)
{
  auto& peer = links_[to];
  if (peer == nullptr)
  {
    peer = std::make_shared<link>();
    peer->to = to;
  }
  return peer;
}

void peer_links::connect(const std::shared_ptr<link>& peer)
{
  peer->connecting = true;
  tasks_.add(connect_rpc(io_, peer->to, connect_limit)
                 .then(
                     [this, peer](kj::Own<kj::AsyncIoStream> stream)
                     {
                       peer->open =
                           std::make_shared<rpc_connection>(kj::mv(stream));
                       peer->in_flight = 0;
                       peer->connecting = false;
                       deliver_waiting(peer);
                     })
                 .catch_(
                     [this, peer](kj::Exception&&)
                     {
                       lost_ += peer->waiting.size();
                       peer->waiting.clear();
                       return io_.provider->getTimer()
                           .afterDelay(reconnect_pause)
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
  auto request = peer->open->control.stepRequest();
  request.setMessage(kj::StringPtr(message.c_str(), message.size()).asBytes());
  ++peer->in_flight;
  const auto used = peer->open;
  auto sent = request.send().ignoreResult();
  auto& timer = io_.provider->getTimer();
  // The task holds the connection, so that it ends outside its own callbacks.
  tasks_.add(timer.timeoutAfter(delivery_limit, kj::mv(sent))
                 .then(
                     [peer, used]
                     {
                       if (peer->open == used)
                         --peer->in_flight;
                     },
                     [this, peer, used](kj::Exception&&)
                     {
                       ++lost_;
                       if (peer->open == used)
                         peer->open = nullptr;
                     }));
}

void peer_links::taskFailed(kj::Exception&&) {}

} // namespace toucanmill::detail
