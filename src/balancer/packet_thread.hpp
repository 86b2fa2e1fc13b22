#ifndef TOUCANMILL_SRC_BALANCER_PACKET_THREAD_HPP
#define TOUCANMILL_SRC_BALANCER_PACKET_THREAD_HPP

#include <atomic>
#include <memory>
#include <mutex>
#include <thread>

#include <toucanmill/balancer/balancer.hpp>
#include <toucanmill/base/ring.hpp>
#include <toucanmill/base/wakeup.hpp>

#include "announce_core.hpp"
#include "datagram_batch.hpp"
#include "shared_counters.hpp"
#include "udp_socket.hpp"

namespace toucanmill
{

/// Implementation of balancer: the socket, the protocol logic and the thread
/// that runs it. The public functions may be called from other threads.
class balancer::packet_thread
{
public:
  packet_thread(balancer_options options, udp_socket socket);
  ~packet_thread();

  endpoint local_endpoint() const
  {
    return socket_.local();
  }
  bool set_table(routing_table table);
  table_version applied_version() const;
  void retire();
  bool retired() const
  {
    return retired_.load(std::memory_order_acquire);
  }
  void stop();
  balancer_counters counters() const
  {
    return published_counters_.read();
  }

private:
  using table_ptr = std::shared_ptr<const routing_table>;

  void run();
  void wait_for_events(time_point now);
  void apply_queued_tables();
  void apply_table(table_ptr table);
  /// Forwards one batch; returns false when no datagram was received.
  bool forward_batch(time_point now);
  void on_receive_error(int error_number);
  void send_due_message(time_point now);
  void check_retirement(time_point now);
  void estimate_flows(time_point now);
  void publish_counters();

  const balancer_options options_;
  udp_socket socket_;
  wakeup wakeup_;
  ring<table_ptr> queued_tables_;
  /// Replaced tables are freed by the caller of set_table(): freeing one with
  /// 12,000 services on the packet thread would delay packets.
  ring<table_ptr> replaced_tables_;
  std::atomic<bool> retire_requested_{false};
  std::atomic<bool> retired_{false};
  std::atomic<bool> stop_requested_{false};
  mutable std::mutex version_mutex_;
  table_version applied_version_;
  shared_counters<balancer_counters> published_counters_;

  // Accessed by the packet thread only.
  forward_core core_;
  announce_core announce_;
  datagram_batch batch_;
  table_ptr current_table_; ///< keeps a table that core_ drops alive
  balancer_counters counters_;
  time_point flow_window_end_;

  std::thread thread_;
};

} // namespace toucanmill

#endif
