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

/// Why a balancer dropped a well-formed datagram. Each has its own counter.
enum class forward_drop : std::uint8_t
{
  no_service,      ///< no service has the destination address and port
  no_upstream,     ///< the flow's bucket has no holder
  already_stamped, ///< comes from a balancer or agent, not from a fabric edge
  fabric_message,  ///< announcement or withdrawal sent to a balancer
};

/// Number of values of forward_drop.
inline constexpr std::size_t forward_drop_count = 4;

/// Lower-case name used as the value of a metric label.
const char* to_string(forward_drop reason);

/// Send the header and then the inner packet to the agent.
struct send_to_agent
{
  endpoint agent;
  gue_header header; ///< carries the route stamp
  byte_view inner;   ///< points into the datagram
};

using forward_action = std::variant<send_to_agent, packet_fault, forward_drop>;

/// Datagrams by what became of them.
struct forward_counters
{
  std::uint64_t forwarded = 0;
  std::array<std::uint64_t, packet_fault_count> faults{};
  std::array<std::uint64_t, forward_drop_count> drops{};
};

/// Decides for each datagram from a fabric edge which agent gets it
/// (docs/design.md, balancer). Keeps no state that a decision depends on except
/// the table.
class forward_core
{
public:
  /// Takes a newer table. Returns false for an older one or one of the same
  /// version, which is ignored.
  bool set_table(std::shared_ptr<const routing_table> table);

  const routing_table& table() const
  {
    return *table_;
  }

  /// Replies to the packet go to the sender. The stamp has the version of the
  /// service, so that agents can compare it with their own table, which holds
  /// only that service.
  forward_action on_datagram(byte_view datagram, const endpoint& sender);

  const forward_counters& counters() const
  {
    return counters_;
  }

  /// Estimate of the flows with a packet since the last call.
  std::uint32_t take_active_flows()
  {
    return flows_.take();
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
