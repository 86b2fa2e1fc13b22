#ifndef TOUCANMILL_RELAY_ENTRY_BALANCER_HPP
#define TOUCANMILL_RELAY_ENTRY_BALANCER_HPP

#include <functional>
#include <memory>

#include <toucanmill/base/outcome.hpp>
#include <toucanmill/relay/entry_core.hpp>

namespace toucanmill
{

struct entry_balancer_options
{
  entry_options entry;           ///< `self` is the endpoint of the agents
  endpoint callers;              ///< UDP, packets of callers
  std::uint16_t caller_port = 0; ///< UDP port at which callers get packets
  std::shared_ptr<const packet_codec> codec;
  /// Called on the packet thread when an agent showed a newer configuration.
  /// Must not block.
  std::function<void()> on_newer_configuration;
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
  virtual void set_confirmed() = 0;

  /// Waits for the packet thread.
  virtual entry_status status() = 0;
};

} // namespace toucanmill

#endif
