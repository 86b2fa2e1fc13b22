#ifndef TOUCANMILL_SRC_AGENT_TCP_TCP_STACK_STATE_HPP
#define TOUCANMILL_SRC_AGENT_TCP_TCP_STACK_STATE_HPP

#include <functional>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

#include <toucanmill/agent/tcp_stack.hpp>

#include "lwip_api.hpp"

namespace toucanmill::detail
{

/// State of one connection. Guarded by the core lock.
struct connection_state
{
  tcp_stack_state* stack = nullptr;
  tcp_pcb* pcb = nullptr; ///< null once lwIP has no state of the flow
  endpoint local;
  endpoint remote;
  std::weak_ptr<tcp_connection> handle;
  bool established = false;
  bool finished = false;        ///< FIN was queued
  bool peer_finished = false;   ///< FIN was received
  bool reset_requested = false; ///< by this side
  bool writable_queued = false; ///< tcp_writable is among the queued events
  u32_t time_wait_ticks = 0;    ///< of lwIP's slow timer
};

/// Implementation of tcp_stack. Guarded by the core lock.
class tcp_stack_state
{
public:
  tcp_stack_state(tcp_stack_options options, std::function<void()> notify);
  ~tcp_stack_state();
  tcp_stack_state(const tcp_stack_state&) = delete;
  tcp_stack_state& operator=(const tcp_stack_state&) = delete;

  err_t listen(const endpoint& address);
  tcp_connection_ptr open(const endpoint& local, const endpoint& remote,
                          err_t& error);
  bool inject(const tcp_packet& packet);
  void send_reset(const tcp_packet& packet);

  packet_batch take_packets();
  std::vector<tcp_event> take_events();
  std::size_t flow_count() const;
  std::uint64_t dropped_packets() const;

  /// Aborts the connection. In TIME_WAIT lwIP frees it without calling
  /// on_error(), so this function closes it with the given reason.
  void abort(connection_state& connection, tcp_end time_wait_reason);

  /// Queues tcp_closed and removes the flow.
  void close(connection_state& connection, tcp_end reason);

private:
  struct entry
  {
    tcp_connection_ptr handle;
    std::shared_ptr<connection_state> state;
  };

  void add_interface();
  void process_input(pbuf* packet, const flow_key& flow);
  tcp_pcb* pcb_of(const flow_key& flow) const;
  void register_new_flow(const flow_key& flow);
  tcp_connection_ptr add_flow(tcp_pcb* pcb, const flow_key& flow);
  void attach_callbacks(tcp_pcb* pcb, connection_state& connection) const;

  // Callbacks of lwIP (tcp_stack_callbacks.cpp).
  static err_t on_output(netif* interface, pbuf* packet, const ip4_addr_t*);
  static err_t on_accept(void* argument, tcp_pcb* pcb, err_t error);
  static err_t on_connected(void* argument, tcp_pcb* pcb, err_t error);
  static err_t on_received(void* argument, tcp_pcb* pcb, pbuf* data, err_t);
  static err_t on_sent(void* argument, tcp_pcb* pcb, u16_t octets);
  static void on_error(void* argument, err_t error);
  void queue_packet(pbuf* packet);
  template <class What>
  void queue_event(connection_state& connection, What what);
  void notify_if(bool was_empty) const;

  // End of closing flows (tcp_closing_flows.cpp).
  static void on_timer(void* argument);
  void schedule_closing_check();
  void check_closing_flows();
  bool has_expired(connection_state& connection) const;
  void send_keepalive_if_due(connection_state& connection) const;

  tcp_stack_options options_;
  std::function<void()> notify_;
  netif interface_{};
  std::unordered_map<flow_key, entry> flows_;
  std::set<endpoint> listening_;
  packet_batch packets_;
  std::vector<tcp_event> events_;
  std::uint64_t dropped_packets_ = 0;
};

} // namespace toucanmill::detail

#endif
