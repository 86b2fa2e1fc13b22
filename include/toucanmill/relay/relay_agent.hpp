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
  endpoint outbound;             ///< UDP, receives the upstream's packets
  std::uint16_t caller_port = 0; ///< UDP port at which callers receive packets
  std::shared_ptr<const packet_codec> codec;
  /// Called on the packet thread when a message of another process carried a
  /// newer configuration version. Must not block.
  std::function<void()> on_newer_configuration;

  /// Called on the packet thread with each decision to be logged. Must not
  /// block.
  std::function<void(const relay_decision&)> on_decision;

  /// Called on the packet thread with each measured latency. Must not block.
  std::function<void(relay_timing, duration)> on_latency;
};

/// Runs a relay_core on its own thread with two UDP sockets, one for balancers
/// and other agents and one for the upstream.
class relay_agent
{
public:
  using verdict_callback = std::function<void(announcement_verdict)>;

  /// Error io_failure when a socket can't be bound.
  static result<std::unique_ptr<relay_agent>>
  start(relay_agent_options options);
  virtual ~relay_agent() = default;

  virtual void set_configuration(configuration declared) = 0;

  /// Number of buckets of the service, a power of two.
  virtual void set_bucket_count(std::size_t count) = 0;

  /// `changes` must be relative to the present configuration or an earlier one.
  virtual void change_routes(route_changes changes) = 0;

  /// Whether the agent's data centre is evacuated.
  virtual void set_evacuated(bool evacuated) = 0;

  /// New flows in 1,000 s that a cold upstream gets; 0: no limit.
  virtual void set_warm_up_rate(std::uint32_t flows) = 0;

  /// Calls `done` on the packet thread, unless the agent stops first. Returns
  /// false if it is stopping or too many calls are queued.
  virtual bool announce(upstream_announcement value, verdict_callback done) = 0;
  virtual bool leave(std::string instance, verdict_callback done) = 0;

  /// Stops admitting new flows.
  virtual void begin_stop() = 0;

  /// `known` is the latest life of this node that control knows.
  virtual void on_known_life(incarnation known) = 0;

  /// Takes over the list of an earlier process.
  virtual void restore_flows(flow_list kept) = 0;

  /// Blocks until the packet thread answers.
  virtual relay_status status() = 0;

  /// The open flows of the upstream; blocks likewise.
  virtual flow_list list_flows() = 0;
};

} // namespace toucanmill

#endif
