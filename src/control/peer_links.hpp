#ifndef TOUCANMILL_SRC_CONTROL_PEER_LINKS_HPP
#define TOUCANMILL_SRC_CONTROL_PEER_LINKS_HPP

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <kj/async-io.h>
#include <kj/timer.h>

#include <toucanmill/control/rpc_connection.hpp>
#include <toucanmill/log/replicated_log.hpp>

namespace toucanmill::detail
{

/// Connections to the other control instances; used on one kj thread. Messages
/// to a slow or unreachable instance are dropped; replication resends them. A
/// large message is dropped while another is unacknowledged, so that entries
/// that are sent again, and those that follow, do not fill a slow link: one
/// declaration of 300 KB takes more than a second at 2 Mbit/s.
class peer_links : private kj::TaskSet::ErrorHandler
{
public:
  /// Maximum number of unacknowledged replication messages per instance.
  static constexpr std::size_t max_in_flight = 256;

  /// Octets per second at which an unacknowledged message may be delivered
  /// before its connection is replaced: half of the slowest supported link, one
  /// of 2 Mbit/s, which a learner shares with the packets of a balancer.
  static constexpr std::size_t min_delivery_rate = 125'000;

  /// Maximum number of messages queued per instance while its connection is
  /// being opened. They are kept because they may start an election.
  static constexpr std::size_t max_queued = 16;

  /// `lost` counts messages that were dropped or not acknowledged.
  peer_links(kj::AsyncIoContext& io, kj::Timer& timer,
             std::atomic<std::uint64_t>& lost);

  void send(const replica_address& to, const std::string& message);

  /// Sends the group's members once to an instance that may not know the group.
  void invite(const endpoint& to, const std::vector<endpoint>& members);

private:
  struct link
  {
    endpoint to;
    kj::TimePoint last_use = kj::origin<kj::TimePoint>();
    bool connecting = false;
    std::size_t in_flight = 0;
    std::size_t octets_in_flight = 0;
    bool large_in_flight = false;
    /// Of the first answer; false once it refused a compressed message.
    std::optional<bool> accepts_compressed;
    std::vector<std::string> queued;
    std::shared_ptr<rpc_connection> connection; ///< null: not connected
  };

  struct sent_message
  {
    std::shared_ptr<rpc_connection> used;
    std::size_t octets = 0; ///< as sent
    bool large = false;
    bool compressed = false;
  };

  std::shared_ptr<link> find_or_create_link(const replica_address& to);
  void drop_unused_links();
  void connect(const std::shared_ptr<link>& peer);
  static bool has_room(const link& peer, const std::string& message);
  void deliver_queued(const std::shared_ptr<link>& peer);
  void deliver(const std::shared_ptr<link>& peer, const std::string& message);
  static void remove_in_flight(link& peer, const sent_message& sent);
  static void on_answer(link& peer, const sent_message& sent,
                        bool accepts_compressed);
  static void on_failure(link& peer, const sent_message& sent,
                         const kj::Exception& failure);
  void taskFailed(kj::Exception&& exception) override;

  kj::AsyncIoContext& io_;
  kj::Timer& timer_;
  std::atomic<std::uint64_t>& lost_;
  /// An instance that lost its disk comes back under a new id. Its messages
  /// must not wait until the connection to the lost process times out.
  std::map<std::pair<endpoint, replica_id>, std::shared_ptr<link>> links_;
  kj::TaskSet tasks_;
};

} // namespace toucanmill::detail

#endif
