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

/// Why the agent dropped or refused a packet. Each has its own counter.
enum class dispatch_drop : std::uint8_t
{
  wrong_service,       ///< stamped for another service
  wrong_address,       ///< destination is no address of the service
  no_table,            ///< neither table nor stamp tells the chain
  hop_limit,           ///< passed on too often
  table_not_confirmed, ///< unknown flow, but the own table may be stale
  connection_limit,    ///< SYN beyond the connections of the upstream
  leaving,             ///< SYN at a leaving agent that owns the bucket
  unexpected_reset,    ///< RST of an unknown flow
};

/// Number of values of dispatch_drop.
inline constexpr std::size_t dispatch_drop_count = 8;

const char* to_string(dispatch_drop reason);

struct deliver_packet ///< hand to the TCP stack
{
  bool new_flow = false;
};
struct pass_packet ///< send on with this stamp
{
  endpoint to;
  route_stamp stamp;
};
struct reset_flow ///< answer with a TCP reset
{
};
struct drop_packet
{
  dispatch_drop reason;
};

using dispatch_action =
    std::variant<deliver_packet, pass_packet, reset_flow, drop_packet>;

struct dispatch_options
{
  endpoint self; ///< UDP endpoint of this agent
  std::size_t max_connections = 2000;
  duration confirmation_age = std::chrono::seconds(2);
  bool probe_earlier_holders = true; ///< off only to show that it matters
};

/// Buckets that changed between "holds flows" and "holds none".
struct holdings_change
{
  std::uint16_t bucket;
  bool holds;

  bool operator==(const holdings_change& other) const
  {
    return bucket == other.bucket && holds == other.holds;
  }
};

/// Decides for each packet that reaches an agent: deliver, pass on, reset or
/// drop (docs/design.md, agent dispatch core).
class dispatch_core
{
public:
  explicit dispatch_core(dispatch_options options);
  ~dispatch_core();

  /// Takes a table of the agent's own service; older ones are ignored.
  void on_table(const service_table& table);

  /// Control confirmed at this time that the own table is current.
  void on_confirmed(time_point now);

  /// While leaving no new flow is accepted.
  void set_leaving(bool leaving = true);

  dispatch_action on_packet(const tcp_packet& packet, const route_stamp& stamp,
                            time_point now);

  /// The TCP stack has no state of this flow any more.
  void on_flow_closed(const flow_key& flow);

  /// Where replies of a flow go: the fabric edge of its latest packet.
  std::optional<endpoint> return_endpoint(const flow_key& flow) const;

  /// Version of the own table; tags the report of the holdings.
  table_version version() const;

  std::size_t flow_count() const;

  /// Buckets in which this agent holds flows now, in ascending order.
  std::vector<std::uint16_t> held_buckets() const;

  /// Changes since the last call.
  std::vector<holdings_change> take_holdings_changes();

private:
  struct state;
  std::unique_ptr<state> state_;
};

} // namespace toucanmill

#endif
