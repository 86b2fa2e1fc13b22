#ifndef TOUCANMILL_SRC_AGENT_DISPATCH_HELD_FLOWS_CORE_HPP
#define TOUCANMILL_SRC_AGENT_DISPATCH_HELD_FLOWS_CORE_HPP

#include <cstddef>
#include <cstdint>
#include <set>
#include <unordered_map>
#include <vector>

#include <toucanmill/agent/dispatch_core.hpp>

namespace toucanmill::detail
{

/// A flow of which the TCP stack has state.
struct held_flow
{
  service_id service;
  std::uint16_t bucket = 0;
  endpoint return_to;
};

/// Flows of which the agent's TCP stack has state, counted by bucket.
class held_flows
{
public:
  /// Returns null if the flow is not held.
  held_flow* find(const flow_key& flow);
  const held_flow* find(const flow_key& flow) const;

  void add(const flow_key& flow, const held_flow& value);
  void remove(const flow_key& flow);

  /// Only flows of the current service count as holdings.
  void set_service(service_id service);

  std::size_t size() const;
  std::vector<std::uint16_t> buckets() const;
  std::vector<holdings_change> take_changes();

private:
  bool holds(std::uint16_t bucket) const;
  void count_flow(const held_flow& value);

  service_id service_;
  std::unordered_map<flow_key, held_flow> flows_;
  std::vector<std::uint32_t> flow_counts_; ///< flows of the service by bucket
  std::set<std::uint16_t> changed_;        ///< count left or reached zero
  std::set<std::uint16_t> reported_; ///< held as of the last take_changes()
};

} // namespace toucanmill::detail

#endif
