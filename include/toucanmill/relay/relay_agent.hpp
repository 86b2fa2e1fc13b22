#ifndef TOUCANMILL_RELAY_RELAY_AGENT_HPP
#define TOUCANMILL_RELAY_RELAY_AGENT_HPP

#include <cstdint>
#include <functional>
#include <memory>

#include <toucanmill/base/outcome.hpp>
#include <toucanmill/relay/relay_core.hpp>

namespace toucanmill
{

struct relay_agent_options
{
  relay_options relay;
  endpoint data;                 ///< UDP, for balancers and other agents
  endpoint outbound;             ///< UDP, where the upstream sends its packets
  std::uint16_t caller_port = 0; ///< UDP port at which callers get packets
  std::shared_ptr<const packet_codec> codec;
  /// Called on the packet thread when another process showed a newer
  /// configuration. Must not block.
  std::function<void()> on_newer_configuration;

  /// Called on the packet thread with what the log should show. Must not
  /// block.
  std::function<void(const relay_note&)> on_note;

  /// Called on the packet thread. Must not block.
  std::function<void(relay_timing, duration)> on_timed;
};

/// Runs a relay_core on a thread of its own, with its two sockets.
class relay_agent
{
public:
  using verdict_callback = std::function<void(announcement_verdict)>;

  /// Error io_failure when a socket can't be bound.
  static result<std::unique_ptr<relay_agent>>
  start(relay_agent_options options);
  virtual ~relay_agent() = default;

  virtual void set_configuration(configuration declared) = 0;

  /// Calls back on the packet thread; not at all when the agent is stopping or
  /// too many calls wait.
  virtual bool announce(upstream_announcement value, verdict_callback done) = 0;
  virtual bool leave(std::string instance, verdict_callback done) = 0;

  /// Takes no new flows from now on.
  virtual void begin_stop() = 0;

  /// Control knows this life of the node.
  virtual void at_least_life(incarnation known) = 0;

  /// Waits for the packet thread.
  virtual relay_status status() = 0;
};

} // namespace toucanmill

#endif
