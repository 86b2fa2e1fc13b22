#ifndef TOUCANMILL_AGENT_AGENT_HPP
#define TOUCANMILL_AGENT_AGENT_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include <toucanmill/agent/admission_core.hpp>
#include <toucanmill/agent/claim_client.hpp>
#include <toucanmill/agent/dispatch_core.hpp>
#include <toucanmill/agent/session_core.hpp>
#include <toucanmill/agent/tcp_stack.hpp>
#include <toucanmill/base/outcome.hpp>

namespace toucanmill
{

struct agent_options
{
  endpoint data;     ///< UDP endpoint for packets; port 0 selects a free port
  endpoint upstream; ///< TCP endpoint of the upstream
  duration connect_timeout = std::chrono::seconds(2);

  /// Time until a caller that does not close its side after the FIN of an HTTP
  /// session is reset.
  duration linger = std::chrono::seconds(10);

  admission_options admission;
  http_options http;
  dispatch_options dispatch; ///< `self` is set to the data endpoint
  tcp_stack_options tcp;
};

/// Event counts since the start of the agent.
struct agent_counts
{
  std::array<std::uint64_t, dispatch_drop_count> drops{};
  std::array<std::uint64_t, packet_fault_count> faults{};
  std::array<std::uint64_t, request_event_count> requests{};
  std::uint64_t unstamped = 0;  ///< datagrams without a route stamp
  std::uint64_t delivered = 0;  ///< packets delivered to the TCP stack
  std::uint64_t passed_on = 0;  ///< packets forwarded to another agent
  std::uint64_t resets = 0;     ///< packets of unknown flows answered with RST
  std::uint64_t new_flows = 0;  ///< completed handshakes
  std::uint64_t replies = 0;    ///< packets sent to a fabric edge
  std::uint64_t unroutable = 0; ///< replies without a return endpoint
  std::uint64_t unsent = 0;     ///< datagrams that the kernel did not accept
  std::uint64_t silent_flows = 0; ///< timed out: keepalive, retransmission
  std::uint64_t reset_by_caller = 0;
  std::uint64_t interrupted = 0; ///< sessions that stop() cut off
};

/// Current state of the agent.
struct agent_status
{
  agent_counts counts;
  std::size_t open_flows = 0;
  std::size_t busy_sessions = 0; ///< a request or unacknowledged octets
  std::size_t slots_in_use = 0;
  std::size_t queue_length = 0;
  table_version version;                   ///< of the own table
  std::vector<std::uint16_t> held_buckets; ///< ascending
};

/// The agent on the host of an upstream. One thread handles packets, flows and
/// upstream connections; lwIP's timers run on another thread. Thread-safe.
class agent
{
public:
  /// Binds the UDP socket and starts the thread. The claim client must outlive
  /// the agent, and the agent must outlive its pending callbacks. Fails with
  /// io_failure.
  static result<std::unique_ptr<agent>> start(agent_options options,
                                              claim_client& claims);

  /// Calls stop().
  ~agent();
  agent(const agent&) = delete;
  agent& operator=(const agent&) = delete;

  endpoint data_endpoint() const;

  /// Applies a table of the agent's own service. Older versions are ignored.
  void set_table(service_table table);

  /// Control has just confirmed that the table is current.
  void confirmed();

  /// A leaving agent accepts no new flows, and its sessions end after their
  /// current request.
  void set_leaving(bool leaving);

  /// Resets the remaining flows and joins the thread.
  void stop();

  agent_status status() const;

private:
  struct state;

  explicit agent(std::unique_ptr<state> state);

  std::unique_ptr<state> state_;
};

} // namespace toucanmill

#endif
