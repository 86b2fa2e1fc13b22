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

  /// Duration of TIME_WAIT. With lwIP's 120 s a drained agent would stay in the
  /// chains for two minutes after its last flow.
  duration time_wait = std::chrono::seconds(5);

  /// Maximum number of packets that wait for take_packets(). Further ones are
  /// dropped, as by a full transmit queue.
  std::size_t output_capacity = 16384;
};

/// One TCP connection. The stack owns a reference until the flow is closed;
/// after that every call is a no-op. Thread-safe.
class tcp_connection
{
public:
  explicit tcp_connection(std::shared_ptr<detail::connection_state> state);

  endpoint local() const;
  endpoint remote() const;

  /// Queues octets for the peer and returns how many were accepted. The event
  /// `tcp_writable` follows when more can be accepted.
  std::size_t send(std::string_view bytes);

  /// Sends a FIN after the queued octets.
  void finish();

  /// Sends a RST and discards the queued octets.
  void reset();

  /// True while octets passed to send() are not acknowledged.
  bool has_unacknowledged() const;

  /// Reopens the receive window by the number of octets processed.
  void consume(std::size_t octets);

private:
  friend class detail::tcp_stack_state;

  std::shared_ptr<detail::connection_state> state_;
};

using tcp_connection_ptr = std::shared_ptr<tcp_connection>;

/// The handshake is complete, for an accepted or an opened connection.
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
  timed_out,     ///< keepalives or retransmissions were not answered
  reset_locally, ///< reset() or destruction of the stack
};

/// The stack has removed the flow. Last event of a connection.
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

/// Packets stored in one contiguous buffer.
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

  /// Adds a packet of this size and returns its storage, for the caller to
  /// fill.
  std::uint8_t* append(const entry& addresses, std::size_t size);

private:
  std::vector<entry> entries_;
  std::vector<std::uint8_t> buffer_;
};

/// User-space TCP: takes IPv4 packets, produces events and IPv4 packets.
/// Accepts and opens connections with any local address. Wraps the raw API of
/// lwIP, whose state is global to the process.
///
/// lwIP's timers run on their own thread. Events and packets are queued, so
/// that user code never runs on that thread or under the core lock. The
/// exception is `notify`, which is called when the queue of events or of
/// packets becomes non-empty: from any thread and under the lock, so it must
/// only wake the owner.
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

  /// Processes a packet addressed to this host. Returns false if the packet
  /// opens a flow that the stack did not accept.
  bool inject(const tcp_packet& packet);

  /// Answers a packet of an unknown flow with a RST.
  void send_reset(const tcp_packet& packet);

  /// Returns the events since the last call. Take them before the packets, but
  /// handle them after the packets are sent: a `tcp_closed` may remove the flow
  /// that determines where its last packets are sent.
  std::vector<tcp_event> take_events();

  packet_batch take_packets();

  /// Number of flows, including closing ones.
  std::size_t flow_count() const;

  /// Packets dropped because the output queue was full.
  std::uint64_t dropped_packets() const;

private:
  std::unique_ptr<detail::tcp_stack_state> state_;
};

} // namespace toucanmill

#endif
