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

/// A decision about a packet, with what it was based on.
struct entry_note
{
  entry_action action;
  flow_key flow;
  bool opens = false;
  std::string request_id;
  std::optional<endpoint> returned_by; ///< the agent that could not use it
  miss_reason returned_for = miss_reason::unknown_flow;
  table_version table;
  std::uint64_t configuration = 0;
  duration confirmed_ago{-1}; ///< age of the table's confirmation; -1: none
};

struct entry_balancer_options
{
  entry_options entry;           ///< `self` is the endpoint of the agents
  endpoint callers;              ///< UDP, packets of callers
  std::uint16_t caller_port = 0; ///< UDP port at which callers get packets
  std::shared_ptr<const packet_codec> codec;
  /// Called on the packet thread when an agent showed a newer configuration, or
  /// packets wait for the table to be confirmed. Must not block.
  std::function<void()> on_table_wanted;

  /// Called on the packet thread with each decision but the routine ones: a
  /// visit of a remembered or a new flow. Must not block.
  std::function<void(const entry_note&)> on_note;
};

struct entry_status
{
  entry_counters counters;
  table_version version;
  std::uint64_t configuration = 0;
  std::size_t remembered_flows = 0;
  std::uint64_t packets = 0; ///< of callers
};

/// Runs an entry_core on a thread of its own, with its two sockets.
class entry_balancer
{
public:
  /// Error io_failure when a socket can't be bound.
  static result<std::unique_ptr<entry_balancer>>
  start(entry_balancer_options options);
  virtual ~entry_balancer() = default;

  virtual void set_table(std::shared_ptr<const relay_table> table) = 0;
  /// A quorum confirmed the table at this time or later.
  virtual void set_confirmed(time_point at) = 0;

  /// Waits for the packet thread.
  virtual entry_status status() = 0;
};

} // namespace toucanmill

#endif
