#ifndef TOUCANMILL_RELAY_ENTRY_BALANCER_HPP
#define TOUCANMILL_RELAY_ENTRY_BALANCER_HPP

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <toucanmill/base/outcome.hpp>
#include <toucanmill/relay/entry_core.hpp>

namespace toucanmill
{

/// A decision about one packet and the state it was based on, for the log.
struct entry_decision
{
  entry_action action;
  flow_key flow;
  bool opens = false; ///< the packet opens the flow
  std::string request_id;
  std::optional<endpoint> returned_by; ///< agent that returned the packet
  miss_reason returned_for = miss_reason::unknown_flow;
  table_version table;
  std::uint64_t configuration = 0;
  duration confirmed_ago{-1}; ///< since a quorum confirmed the table; -1: never
};

struct entry_balancer_options
{
  entry_options entry;           ///< agents send to `self`, a UDP endpoint
  endpoint callers;              ///< UDP, receives the packets of callers
  std::uint16_t caller_port = 0; ///< UDP port at which callers receive packets
  std::shared_ptr<const packet_codec> codec;
  /// Called on the packet thread when a message of an agent carried a newer
  /// configuration version, or packets wait for the table to be confirmed. Must
  /// not block.
  std::function<void()> on_table_wanted;

  /// Called on the packet thread with each decision except the routine ones:
  /// packets sent to an agent for a remembered or new flow, and unknown resets.
  /// Must not block.
  std::function<void(const entry_decision&)> on_decision;
};

struct entry_status
{
  entry_counters counters;
  table_version version;
  std::uint64_t configuration = 0;
  std::size_t remembered_flows = 0;
  std::size_t unresponsive_agents = 0;
  std::uint64_t packets = 0; ///< received from callers
  /// Packets that could not wait for the end of a search, for want of room.
  std::uint64_t waiting_dropped = 0;
};

/// Runs an entry_core on its own thread with two UDP sockets, one for callers
/// and one for agents.
class entry_balancer
{
public:
  /// Error io_failure when a socket can't be bound.
  static result<std::unique_ptr<entry_balancer>>
  start(entry_balancer_options options);
  virtual ~entry_balancer() = default;

  virtual void set_table(std::shared_ptr<const relay_table> table) = 0;
  /// A quorum confirmed at `at` or later that the table is current.
  virtual void set_confirmed(time_point at) = 0;

  /// Blocks until the packet thread answers.
  virtual entry_status status() = 0;
};

} // namespace toucanmill

#endif
