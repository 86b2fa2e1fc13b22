#ifndef TOUCANMILL_BALANCER_FORWARD_CORE_HPP
#define TOUCANMILL_BALANCER_FORWARD_CORE_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <variant>

#include <toucanmill/balancer/flow_estimator.hpp>
#include <toucanmill/packet/gue.hpp>
#include <toucanmill/table/routing_table.hpp>

namespace toucanmill
{

/// Why a balancer dropped a well-formed datagram; each reason is counted.
enum class forward_drop : std::uint8_t
{
  no_service,      ///< no service has the destination address and port
  no_upstream,     ///< the flow's bucket has no holder
  already_stamped, ///< has a route stamp: sent by a balancer or agent
  fabric_message,  ///< announcement or withdrawal sent to a balancer
};

/// Number of values of forward_drop.
inline constexpr std::size_t forward_drop_count = 4;

/// Name of the reason as a metric label value.
const char* to_string(forward_drop reason);

/// Action: send the header followed by the inner packet to the agent.
struct send_to_agent
{
  endpoint agent;
  gue_header header; ///< carries the route stamp
  byte_view inner;   ///< points into the datagram
};

using forward_action = std::variant<send_to_agent, packet_fault, forward_drop>;

/// Number of datagrams by outcome.
struct forward_counters
{
  std::uint64_t forwarded = 0;
  std::array<std::uint64_t, packet_fault_count> faults{};
  std::array<std::uint64_t, forward_drop_count> drops{};
};

/// Selects the agent for each datagram from a fabric edge (docs/design.md,
/// balancer). The table is the only state that a decision depends on.
class forward_core
{
public:
  /// Installs the table. Returns false, and ignores it, when its version is not
  /// newer than the current one.
  bool set_table(std::shared_ptr<const routing_table> table);

  const routing_table& table() const
  {
    return *table_;
  }

  /// Selects the agent for one datagram and counts the outcome. The route stamp
  /// names the sender as the destination of replies. It carries the version of
  /// the service, not of the table: an agent's own table holds only that
  /// service, and the agent compares the two versions.
  forward_action on_datagram(byte_view datagram, const endpoint& sender);

  const forward_counters& counters() const
  {
    return counters_;
  }

  /// Estimates the flows routed since the last call and resets the estimate.
  std::uint32_t take_active_flows()
  {
    return flows_.take_estimate();
  }

private:
  forward_action decide(byte_view datagram, const endpoint& sender);
  forward_action route(const tcp_packet& packet, const endpoint& sender);
  void count(const forward_action& action);

  std::shared_ptr<const routing_table> table_ =
      std::make_shared<const routing_table>();
  forward_counters counters_;
  flow_estimator flows_;
};

} // namespace toucanmill

#endif
