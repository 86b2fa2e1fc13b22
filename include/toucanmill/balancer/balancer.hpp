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
  duration flow_window = std::chrono::seconds(10); ///< for active_flows
  std::size_t batch_size = 64;          ///< datagrams per system call
  std::size_t table_queue_capacity = 8; ///< tables not yet applied
  int socket_buffer = 4 << 20; ///< octets per direction; the kernel may cap it
  /// Called once, on the packet thread, when retirement is complete. Must not
  /// block and must not call stop().
  std::function<void()> on_retired;
};

struct balancer_counters
{
  forward_counters forwarding;
  std::uint64_t receive_failures = 0; ///< failed receive system calls
  std::uint64_t send_buffer_full = 0; ///< packets dropped, send buffer full
  std::uint64_t send_failures = 0;    ///< send errors other than a full buffer
  std::uint64_t tables_applied = 0;
  std::uint64_t tables_ignored = 0; ///< not newer than the applied one
  std::uint64_t active_flows = 0;   ///< estimate for the last flow_window
};

/// Forwards packets from fabric edges to agents on a dedicated thread.
class balancer
{
public:
  /// Opens the socket and starts the thread. The balancer announces itself to
  /// the fabric edges once it has a table. Fails with io_failure when the
  /// address can't be bound.
  static result<std::unique_ptr<balancer>> start(balancer_options options);

  ~balancer();
  balancer(const balancer&) = delete;
  balancer& operator=(const balancer&) = delete;

  /// Bound address and port of the socket.
  endpoint local_endpoint() const;

  /// Queues a table for the packet thread; call from one thread only. Returns
  /// false when the queue already holds table_queue_capacity tables: retry with
  /// the newest table. A table that is not newer than the applied one is
  /// ignored.
  bool set_table(routing_table table);

  /// Version of the table that is used to route packets.
  table_version applied_version() const;

  /// Sends withdrawals to the fabric edges; packets are still forwarded.
  void retire();

  /// True once quiet_period has passed without a forwarded packet after
  /// retire().
  bool retired() const;

  /// Stops and joins the thread; does not withdraw from the fabric edges.
  void stop();

  /// Thread-safe. The counters of one call may come from two successive
  /// batches.
  balancer_counters counters() const;

private:
  class packet_thread;

  explicit balancer(std::unique_ptr<packet_thread> thread);

  std::unique_ptr<packet_thread> thread_;
};

} // namespace toucanmill

#endif
