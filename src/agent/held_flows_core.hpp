#ifndef TOUCANMILL_AGENT_HELD_FLOWS_CORE_HPP
#define TOUCANMILL_AGENT_HELD_FLOWS_CORE_HPP

#include <cstddef>
#include <cstdint>
#include <set>
#include <unordered_map>
#include <vector>

#include <toucanmill/agent/dispatch_core.hpp>

namespace toucanmill::detail
{

struct held_flow
{
  service_id service;
  std::uint16_t bucket = 0;
  endpoint return_to;
};

/// Flows that the TCP stack of an agent knows, and the buckets they are in.
class held_flows
{
public:
  /// Null when the flow is not held.
  held_flow* find(const flow_key& flow);
  const held_flow* find(const flow_key& flow) const;

  void add(const flow_key& flow, const held_flow& value);
  void remove(const flow_key& flow);

  /// Flows of earlier services no longer count as holdings.
  void set_service(service_id service);

  std::size_t size() const;
  std::vector<std::uint16_t> buckets() const;
  std::vector<holdings_change> take_changes();

private:
  bool holds(std::uint16_t bucket) const;
  void count(const held_flow& value);

  service_id service_;
  std::unordered_map<flow_key, held_flow> flows_;
  std::vector<std::uint32_t> counts_; ///< flows in each bucket
  std::set<std::uint16_t> touched_;   ///< counts that left or reached zero
  std::set<std::uint16_t> reported_;  ///< held at the last take_changes()
};

} // namespace toucanmill::detail

#endif
