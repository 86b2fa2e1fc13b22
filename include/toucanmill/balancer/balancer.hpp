#ifndef TOUCANMILL_BALANCER_BALANCER_HPP
#define TOUCANMILL_BALANCER_BALANCER_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include <toucanmill/balancer/forward_core.hpp>
#include <toucanmill/base/address.hpp>
#include <toucanmill/base/outcome.hpp>
#include <toucanmill/base/time.hpp>

namespace toucanmill
{

struct balancer_options
{
  endpoint listen;              ///< UDP; port 0 selects a free port
  std::vector<endpoint> fabric; ///< fabric edges that receive announcements
  duration announce_interval = std::chrono::milliseconds(200);
  duration quiet_period = std::chrono::seconds(1);
  duration flow_window = std::chrono::seconds(10); ///< of active_flows
  std::size_t batch_size = 64; ///< datagrams for each system call
  std::size_t waiting_tables = 8;
  int socket_buffer = 4 << 20; ///< octets in each direction; the system may cap
  /// Called once, on the packet thread, when the retirement is complete. Must
  /// not block and must not call stop().
  std::function<void()> on_retired;
};

struct balancer_counters
{
  forward_counters forwarding;
  std::uint64_t receive_failures = 0; ///< system calls
  std::uint64_t send_buffer_full = 0; ///< packets dropped for want of space
  std::uint64_t send_failures = 0;    ///< packets that the system refused
  std::uint64_t tables_applied = 0;
  std::uint64_t tables_ignored = 0; ///< not newer than the applied one
  std::uint64_t active_flows = 0;   ///< estimate over the last flow window
};

/// Forwards packets from fabric edges to agents on a thread of its own.
class balancer
{
public:
  /// Opens the socket and starts the thread. Announces itself once it has a
  /// table. Error io_failure when the address can't be bound.
  static result<std::unique_ptr<balancer>> start(balancer_options options);

  ~balancer();
  balancer(const balancer&) = delete;
  balancer& operator=(const balancer&) = delete;

  /// Address and port of the socket.
  endpoint local_endpoint() const;

  /// Hands a table to the packet thread; call from one thread only. Returns
  /// false when waiting_tables others still wait: the caller tries again with
  /// its newest table. A table that is not newer than the applied one has no
  /// effect.
  bool set_table(routing_table table);

  /// Version of the table that packets are routed with.
  table_version applied_version() const;

  /// Withdraws from the fabric edges and keeps forwarding.
  void retire();

  /// True when no packet was forwarded for the quiet period after retire().
  bool retired() const;

  /// Ends the thread without any wait for the fabric edges.
  void stop();

  /// Any thread may call this. Values of one call may lie one batch apart.
  balancer_counters counters() const;

private:
  class packet_thread;

  explicit balancer(std::unique_ptr<packet_thread> thread);

  std::unique_ptr<packet_thread> thread_;
};

} // namespace toucanmill

#endif
