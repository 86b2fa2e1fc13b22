#ifndef TOUCANMILL_SRC_AGENT_RUNTIME_AGENT_COUNTERS_HPP
#define TOUCANMILL_SRC_AGENT_RUNTIME_AGENT_COUNTERS_HPP

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

#include <toucanmill/agent/agent.hpp>

namespace toucanmill::detail
{

/// Counters and gauges of an agent. Written by the agent's thread, read by any.
struct agent_counters
{
  using counter = std::atomic<std::uint64_t>;

  std::array<counter, dispatch_drop_count> drops{};
  std::array<counter, packet_fault_count> faults{};
  std::array<counter, request_event_count> requests{};
  counter unstamped{0};
  counter delivered{0};
  counter passed_on{0};
  counter resets{0};
  counter new_flows{0};
  counter replies{0};
  counter unroutable{0};
  counter unsent{0};
  counter silent_flows{0};
  counter reset_by_caller{0};
  counter interrupted{0};

  // Gauges.
  counter open_flows{0};
  counter busy_sessions{0};
  counter slots_in_use{0};
  counter queue_length{0};

  agent_counts snapshot() const;
};

} // namespace toucanmill::detail

#endif
