#ifndef TOUCANMILL_AGENT_TCP_STACK_HPP
#define TOUCANMILL_AGENT_TCP_STACK_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <toucanmill/base/address.hpp>
#include <toucanmill/base/flow.hpp>
#include <toucanmill/base/outcome.hpp>
#include <toucanmill/base/time.hpp>
#include <toucanmill/packet/tcp_packet.hpp>

namespace toucanmill
{

namespace detail
{
class tcp_stack_state;
struct connection_state;
} // namespace detail

struct tcp_stack_options
{
  duration keepalive_idle = std::chrono::seconds(30);
  duration keepalive_interval = std::chrono::seconds(5);
  unsigned keepalive_probes = 3;

  /// Time in TIME_WAIT. The stack's own 120 s would keep a drained agent in its
  /// chains for two minutes after the last flow.
  duration time_wait = std::chrono::seconds(5);

  /// Packets waiting for take_packets(); more are dropped, as by a full
  /// transmit queue.
  std::size_t output_capacity = 16384;
};

/// One TCP connection. The stack keeps it alive while it has state of the flow;
/// afterwards every call is a no-op. All calls may come from any thread.
class tcp_connection
{
public:
  explicit tcp_connection(std::shared_ptr<detail::connection_state> state);

  endpoint local() const;
  endpoint remote() const;

  /// Queues octets for the peer; returns how many were accepted. The event
  /// `tcp_writable` follows when more room is available.
  std::size_t send(std::string_view bytes);

  /// FIN after the queued octets.
  void finish();

  /// RST; drops everything queued.
  void reset();

  /// True while the peer has not acknowledged all octets of send().
  bool has_unacknowledged() const;

  /// Opens the receive window again by octets that the user has processed.
  void consume(std::size_t octets);

private:
  friend class detail::tcp_stack_state;

  std::shared_ptr<detail::connection_state> state_;
};

using tcp_connection_ptr = std::shared_ptr<tcp_connection>;

/// The handshake is complete, on either side.
struct tcp_established
{
};
struct tcp_received
{
  std::string bytes;
};
/// FIN from the peer.
struct tcp_peer_finished
{
};
/// The peer acknowledged octets, so send() accepts more.
struct tcp_writable
{
};

enum class tcp_end : std::uint8_t
{
  finished,      ///< FIN in both directions
  reset_by_peer, ///< RST
  timed_out,     ///< silent: keepalive or retransmissions without answer
  reset_locally, ///< reset() or end of the stack
};

/// The stack has no state of the flow any more. The last event of a connection.
struct tcp_closed
{
  tcp_end reason;
};

struct tcp_event
{
  tcp_connection_ptr connection;
  std::variant<tcp_established, tcp_received, tcp_peer_finished, tcp_writable,
               tcp_closed>
      what;
};

/// Packets in one buffer.
class packet_batch
{
public:
  struct entry
  {
    endpoint source;
    endpoint destination;
    std::size_t offset;
    std::size_t size;
  };

  std::size_t size() const
  {
    return entries_.size();
  }
  const std::vector<entry>& entries() const
  {
    return entries_;
  }
  byte_view bytes(const entry& packet) const
  {
    return {buffer_.data() + packet.offset, packet.size};
  }

  /// Room for a packet of this size; the caller fills it in.
  std::uint8_t* append(const entry& addresses, std::size_t size);

private:
  std::vector<entry> entries_;
  std::vector<std::uint8_t> buffer_;
};

/// TCP in user space: IPv4 packets in, events and IPv4 packets out. It accepts
/// and opens connections with any local address. A wrapper over the raw API of
/// lwIP, whose state is global to the process.
///
/// lwIP's timers run on a thread of their own. No user code runs there or under
/// the core lock: events and packets are queued, and `notify` is called (from
/// any thread, under the lock, so it may only wake the owner) when a queue of
/// either kind stops being empty.
class tcp_stack
{
public:
  tcp_stack(tcp_stack_options options, std::function<void()> notify);
  ~tcp_stack();
  tcp_stack(const tcp_stack&) = delete;
  tcp_stack& operator=(const tcp_stack&) = delete;

  /// Accepts connections to this address and port. Errors: already_exists,
  /// limit_reached when there is no memory.
  result<void> listen(const endpoint& address);

  /// Opens a connection. Errors: already_exists when the flow exists,
  /// limit_reached when there is no memory.
  result<tcp_connection_ptr> open(const endpoint& local,
                                  const endpoint& remote);

  /// Processes a packet addressed to this host. False when it opens a flow and
  /// the stack keeps no state of it.
  bool inject(const tcp_packet& packet);

  /// Answers a packet of an unknown flow with a RST.
  void send_reset(const tcp_packet& packet);

  /// The events since the last call. Take them before the packets, and handle
  /// them after sending those: a `tcp_closed` may end the flow that tells where
  /// its last packets go.
  std::vector<tcp_event> take_events();

  packet_batch take_packets();

  /// Flows of which the stack has state, including those that are closing.
  std::size_t flow_count() const;

  /// Packets dropped because the output queue was full.
  std::uint64_t dropped_packets() const;

private:
  std::unique_ptr<detail::tcp_stack_state> state_;
};

} // namespace toucanmill

#endif
