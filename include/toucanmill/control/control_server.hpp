#ifndef TOUCANMILL_CONTROL_CONTROL_SERVER_HPP
#define TOUCANMILL_CONTROL_CONTROL_SERVER_HPP

#include <functional>
#include <memory>

#include <toucanmill/base/outcome.hpp>
#include <toucanmill/cluster/membership_core.hpp>
#include <toucanmill/control/control_state.hpp>
#include <toucanmill/log/replicated_log.hpp>

namespace toucanmill
{

struct control_server_options
{
  endpoint rpc; ///< TCP endpoint of the RPC server
  replicated_log_options log;
  membership_options membership;
  std::function<void(const control_notice&)> notify;
};

/// Counters of a control instance, safe to read from any thread.
struct control_counters
{
  std::uint64_t reports = 0;
  std::uint64_t changes = 0;
  std::uint64_t claims = 0;
  std::uint64_t not_leader = 0;    ///< calls sent on to the leader
  std::uint64_t malformed = 0;     ///< calls with invalid values
  std::uint64_t peer_messages = 0; ///< replication messages sent
  std::uint64_t peer_octets = 0;
  std::uint64_t peer_messages_lost = 0; ///< dropped: peer slow or unreachable
};

/// A control instance: replicated log, control state and RPC server.
class control_server
{
public:
  /// Errors: corrupt_data or io_failure of the data folder; io_failure when the
  /// RPC endpoint can't be bound.
  static result<std::unique_ptr<control_server>>
  start(control_server_options options);
  virtual ~control_server() = default;

  virtual control_counters counters() const = 0;

  /// Latest known status; waits for the log's thread.
  virtual replicated_log_status status() = 0;

  /// Hands leadership over, then stops the threads.
  virtual void stop() = 0;
};

} // namespace toucanmill

#endif
