#ifndef TOUCANMILL_AGENT_DISPATCH_CORE_HPP
#define TOUCANMILL_AGENT_DISPATCH_CORE_HPP

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include <toucanmill/base/flow.hpp>
#include <toucanmill/base/time.hpp>
#include <toucanmill/packet/route_stamp.hpp>
#include <toucanmill/packet/tcp_packet.hpp>
#include <toucanmill/table/service_table.hpp>

namespace toucanmill
{

/// Reason why the agent dropped a packet. Each has its own counter.
enum class dispatch_drop : std::uint8_t
{
  wrong_service,       ///< stamped for another service
  wrong_address,       ///< destination is not an address of the service
  no_table,            ///< neither a table nor the stamp provides a chain
  hop_limit,           ///< forwarded too often
  table_not_confirmed, ///< unknown flow, and the own table may be stale
  connection_limit,    ///< SYN at max_connections
  leaving,             ///< SYN at a leaving agent that still owns the bucket
  unexpected_reset,    ///< RST of an unknown flow
};

/// Number of values of dispatch_drop.
inline constexpr std::size_t dispatch_drop_count = 8;

const char* to_string(dispatch_drop reason);

/// Deliver the packet to the TCP stack.
struct deliver_packet
{
  bool new_flow = false;
};

/// Send the packet with this stamp to another agent.
struct forward_packet
{
  endpoint to;
  route_stamp stamp;
};

/// Answer the packet with a TCP reset.
struct reset_flow
{
};

struct drop_packet
{
  dispatch_drop reason;
};

using dispatch_action =
    std::variant<deliver_packet, forward_packet, reset_flow, drop_packet>;

struct dispatch_options
{
  endpoint self; ///< UDP endpoint of this agent
  std::size_t max_connections = 2000;

  /// Maximum age of the last confirmation of the own table for sending resets.
  duration confirmation_age = std::chrono::seconds(2);

  /// Disabled only in tests that show the failure it prevents.
  bool probe_earlier_holders = true;
};

/// A bucket in which the agent now holds flows, or no longer does.
struct holdings_change
{
  std::uint16_t bucket;
  bool holds;

  bool operator==(const holdings_change& other) const
  {
    return bucket == other.bucket && holds == other.holds;
  }
};

/// Decision core for packets that reach an agent: deliver, forward, reset or
/// drop (docs/design.md, section 4.2).
class dispatch_core
{
public:
  explicit dispatch_core(dispatch_options options);
  ~dispatch_core();

  /// Applies a table of the agent's own service. Older versions are ignored.
  void on_table(const service_table& table);

  /// Control confirmed at this time that the own table is current.
  void on_confirmed(time_point now);

  /// A leaving agent accepts no new flows.
  void set_leaving(bool leaving = true);

  dispatch_action on_packet(const tcp_packet& packet, const route_stamp& stamp,
                            time_point now);

  /// The TCP stack has removed this flow.
  void on_flow_closed(const flow_key& flow);

  /// Fabric edge from which the latest packet of the flow came; replies are
  /// sent there.
  std::optional<endpoint> return_endpoint(const flow_key& flow) const;

  /// Version of the own table, with which holdings are reported.
  table_version version() const;

  std::size_t flow_count() const;

  /// Buckets in which this agent holds flows, ascending.
  std::vector<std::uint16_t> held_buckets() const;

  /// Returns the changes of held_buckets() since the last call.
  std::vector<holdings_change> take_holdings_changes();

private:
  struct state;
  std::unique_ptr<state> state_;
};

} // namespace toucanmill

#endif
