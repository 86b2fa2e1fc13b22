#ifndef TOUCANMILL_SRC_AGENT_AGENT_RUNTIME_HPP
#define TOUCANMILL_SRC_AGENT_AGENT_RUNTIME_HPP

#include <asio.hpp>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <unordered_map>
#include <utility>
#include <vector>

#include <toucanmill/agent/agent.hpp>
#include <toucanmill/net/udp_channel.hpp>

#include "agent_flow.hpp"
#include "live_counts.hpp"

namespace toucanmill::detail
{

/// Packets, flows and admission of one agent. Everything but the functions
/// marked otherwise runs on the thread of its io_context.
class agent_runtime
{
public:
  agent_runtime(agent_options options, udp_channel channel,
                claim_client& claims);

  /// Runs until stop(); the agent's thread.
  void run();

  void set_table(service_table table);
  void set_confirmed(time_point now);
  void set_leaving(bool leaving);
  void stop();

  /// Any thread.
  agent_status status() const;

  // For flows.
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
    return {claim_ids_()};
  }
  duration retry_after() const
  {
    return admission_.retry_after();
  }
  admission_answer request_slot(session_id session, time_point deadline);
  void release_slot(session_id session);
  void count(live_counts::counter live_counts::*counter)
  {
    ++(counts_.*counter);
  }
  void count_busy(bool busy);
  void count_request(request_event event);

  /// A callback for another thread that runs the function on this one, unless
  /// the flow is gone by then.
  template <class... Arguments, class Function>
  auto in_thread(std::weak_ptr<agent_flow> flow, Function function)
  {
    return [this, flow = std::move(flow),
            function = std::move(function)](Arguments... arguments)
    {
      asio::post(context_,
                 [flow, function, arguments...]() mutable
                 {
                   if (const auto kept = flow.lock())
                     function(*kept, std::move(arguments)...);
                 });
    };
  }

private:
  void wait_readable();
  void receive_batches();
  void on_datagram(byte_view datagram);
  void on_packet(const tcp_packet& packet, const route_stamp& stamp);
  void act(const tcp_packet& packet, const route_stamp& stamp,
           const deliver_packet& action);
  void act(const tcp_packet& packet, const route_stamp& stamp,
           const forward_packet& action);
  void act(const tcp_packet& packet, const route_stamp& stamp,
           const reset_flow& action);
  void act(const tcp_packet& packet, const route_stamp& stamp,
           const drop_packet& action);
  void count_drop(dispatch_drop reason);

  void process_stack();
  void send_replies(const packet_batch& packets);
  std::optional<endpoint> return_endpoint(const flow_key& flow) const;
  void on_event(const tcp_event& event);
  void start_flow(const tcp_connection_ptr& connection);
  void end_flow(const tcp_event& event);

  void apply(const std::vector<admission_change>& changes);
  void update_admission();
  void arm_admission_timer();
  void publish_holdings();

  agent_options options_;
  asio::io_context context_{1};
  udp_channel channel_;
  asio::posix::stream_descriptor readable_;
  claim_client& claims_;
  dispatch_core dispatch_;
  admission_core admission_;
  retry_budget budget_;
  asio::steady_timer admission_timer_;
  std::optional<time_point> admission_deadline_;
  std::vector<char> read_buffer_;
  std::mt19937_64 claim_ids_;

  bool leaving_ = false;
  bool has_table_ = false; ///< and listens on its address
  service_kind kind_ = service_kind::stream;
  service_id service_;
  std::uint64_t last_session_ = 0;
  std::unordered_map<tcp_connection*, std::shared_ptr<agent_flow>> flows_;
  std::unordered_map<session_id, std::weak_ptr<agent_flow>> sessions_;

  /// Return endpoints of flows that dispatch_ does not know.
  std::unordered_map<flow_key, endpoint> reset_targets_;

  live_counts counts_;
  mutable std::mutex holdings_mutex_;
  table_version held_version_;
  std::vector<std::uint16_t> held_buckets_;

  tcp_stack stack_; ///< last, since its notifications use the members above
};

} // namespace toucanmill::detail

#endif
