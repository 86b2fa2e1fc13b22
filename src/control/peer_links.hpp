#ifndef TOUCANMILL_SRC_CONTROL_PEER_LINKS_HPP
#define TOUCANMILL_SRC_CONTROL_PEER_LINKS_HPP

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <kj/async-io.h>

#include <toucanmill/control/rpc_connection.hpp>
#include <toucanmill/log/types.hpp>

namespace toucanmill::detail
{

/// Connections to the other control instances, on one kj thread. Messages to an
/// instance that is slow or unreachable are dropped; replication repeats them.
class peer_links : private kj::TaskSet::ErrorHandler
{
public:
  /// Replication messages under way to one instance at most.
  static constexpr std::size_t max_in_flight = 256;

  /// Messages kept for an instance while the connection to it is opened; an
  /// election starts with the first of them.
  static constexpr std::size_t max_waiting = 16;

  peer_links(kj::AsyncIoContext& io, std::atomic<std::uint64_t>& lost);

  void send(const replica_address& to, const std::string& message);

  /// Names the members of the group to an instance that is none, once.
  void invite(const endpoint& to, const std::vector<endpoint>& members);

private:
  struct link
  {
    endpoint to;
    bool connecting = false;
    std::size_t in_flight = 0;
    std::vector<std::string> waiting;
    std::shared_ptr<rpc_connection> open;
  };

  std::shared_ptr<link> link_to(const endpoint& to);
  void connect(const std::shared_ptr<link>& peer);
  void deliver_waiting(const std::shared_ptr<link>& peer);
  void deliver(const std::shared_ptr<link>& peer, const std::string& message);
  void taskFailed(kj::Exception&& exception) override;

  kj::AsyncIoContext& io_;
  std::atomic<std::uint64_t>& lost_;
  std::map<endpoint, std::shared_ptr<link>> links_;
  kj::TaskSet tasks_;
};

} // namespace toucanmill::detail

#endif
