#ifndef TOUCANMILL_SRC_AGENT_RUNTIME_AGENT_RUNTIME_HPP
#define TOUCANMILL_SRC_AGENT_RUNTIME_AGENT_RUNTIME_HPP

#include <asio.hpp>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <unordered_map>
#include <utility>
#include <vector>

#include <toucanmill/agent/agent.hpp>
#include <toucanmill/net/udp_channel_reader.hpp>

#include "agent_counters.hpp"
#include "agent_flow.hpp"
#include "slot_scheduler.hpp"

namespace toucanmill::detail
{

/// Processes the packets, flows and admission of an agent on the thread of its
/// io_context. Other threads may only call functions that are marked so.
class agent_runtime
{
public:
  agent_runtime(agent_options options, udp_channel channel,
                claim_client& claims);

  /// Runs the io_context until stop().
  void run();

  void set_table(service_table table);
  void set_confirmed(time_point now);
  void set_leaving(bool leaving);
  void stop();

  /// May be called from any thread.
  agent_status status() const;

  // Used by agent_flow.
  asio::io_context& context()
  {
    return context_;
  }
  const agent_options& options() const
  {
    return options_;
  }
  std::vector<char>& read_buffer()
  {
    return read_buffer_;
  }
  claim_client& claims()
  {
    return claims_;
  }
  service_id service() const
  {
    return service_;
  }
  claim_id next_claim()
  {
    return {claim_id_generator_()};
  }
  slot_scheduler& slots()
  {
    return slots_;
  }
  void count(agent_counters::counter agent_counters::*counter)
  {
    ++(counts_.*counter);
  }
  void count_busy(bool busy);
  void count_request(request_event event);

  /// Returns a callback for other threads that runs the function on this
  /// thread, unless the flow no longer exists by then.
  template <class... Arguments, class Function>
  auto bind_to_flow(std::weak_ptr<agent_flow> flow, Function function)
  {
    return [this, flow = std::move(flow),
            function = std::move(function)](Arguments... arguments)
    {
      asio::post(context_,
                 [flow, function, arguments...]() mutable
                 {
                   if (const auto locked = flow.lock())
                     function(*locked, std::move(arguments)...);
                 });
    };
  }

private:
  // Packets (agent_runtime_packets.cpp).
  void on_datagram(byte_view datagram);
  void on_packet(const tcp_packet& packet, const route_stamp& stamp);
  void execute(const tcp_packet& packet, const route_stamp& stamp,
               const deliver_packet& action);
  void execute(const tcp_packet& packet, const route_stamp& stamp,
               const forward_packet& action);
  void execute(const tcp_packet& packet, const route_stamp& stamp,
               const reset_flow& action);
  void execute(const tcp_packet& packet, const route_stamp& stamp,
               const drop_packet& action);
  void count_drop(dispatch_drop reason);

  void process_stack();
  void send_replies(const packet_batch& packets);
  std::optional<endpoint> return_endpoint(const flow_key& flow) const;

  // Flows and state (agent_runtime.cpp).
  void on_event(const tcp_event& event);
  void start_flow(const tcp_connection_ptr& connection);
  void end_flow(const tcp_event& event);

  void on_admission_change(const admission_change& change);
  void publish_holdings();

  agent_options options_;
  asio::io_context context_{1};
  udp_channel channel_;
  udp_channel_reader reader_;
  claim_client& claims_;
  dispatch_core dispatch_;
  agent_counters counts_;
  slot_scheduler slots_;
  retry_budget budget_;
  std::vector<char> read_buffer_;
  std::mt19937_64 claim_id_generator_;

  bool leaving_ = false;
  bool has_table_ = false; ///< and the stack listens on its address
  service_kind kind_ = service_kind::stream;
  service_id service_;
  std::uint64_t last_session_ = 0;
  std::unordered_map<tcp_connection*, std::shared_ptr<agent_flow>> flows_;
  std::unordered_map<session_id, std::weak_ptr<agent_flow>> sessions_;

  /// Return endpoints for resets of flows that dispatch_ does not hold.
  std::unordered_map<flow_key, endpoint> reset_return_endpoints_;

  mutable std::mutex holdings_mutex_;
  table_version held_version_;
  std::vector<std::uint16_t> held_buckets_;

  tcp_stack stack_; ///< last, because its callback uses the members above
};

} // namespace toucanmill::detail

#endif
