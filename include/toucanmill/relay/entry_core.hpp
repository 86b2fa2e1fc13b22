#ifndef TOUCANMILL_RELAY_ENTRY_CORE_HPP
#define TOUCANMILL_RELAY_ENTRY_CORE_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>
#include <variant>
#include <vector>

#include <toucanmill/base/time.hpp>
#include <toucanmill/packet/flow_packet.hpp>
#include <toucanmill/relay/relay_table.hpp>

namespace toucanmill
{

/// Send the header and then the packet to the agent.
struct visit_agent
{
  endpoint agent;
  relay_header header;
};

/// Send the packet to several agents at once, each with its own header.
struct visit_all
{
  std::vector<visit_agent> visits;
};

/// Why a flow was reset by the system.
enum class reset_reason : std::uint8_t
{
  no_route,     ///< no declared route has the address
  refused,      ///< no upstream takes a new flow
  unknown_flow, ///< no upstream of the route's services holds the flow
};

inline constexpr std::size_t reset_reason_count = 3;

const char* to_string(reset_reason reason);

/// Tell the caller that the flow is over.
struct reset_caller
{
  flow_key flow;
  std::uint32_t sequence = 0;
  reset_reason reason = reset_reason::no_route;
};

/// Keep the packet until a quorum confirms the table, then decide again: a flow
/// may be younger than the table.
struct await_table
{
};

/// Why a balancer stayed silent on a packet.
enum class entry_drop : std::uint8_t
{
  malformed,     ///< not a packet
  no_route,      ///< no route, and the table is not known to be current
  no_upstream,   ///< the service has no holder
  unconfirmed,   ///< nobody holds the flow, but the table may be old
  newer_table,   ///< an agent has a newer configuration; the caller sends again
  not_a_caller,  ///< bounced: not for a balancer
  unknown_reset, ///< the caller's reset of a flow that is not remembered
  probe_missed,  ///< an agent does not hold a flow that all were asked for
};

inline constexpr std::size_t entry_drop_count = 8;

const char* to_string(entry_drop reason);

using entry_action =
    std::variant<visit_agent, visit_all, reset_caller, entry_drop, await_table>;

struct entry_options
{
  endpoint self; ///< where agents send found and missed
  /// Age of the last confirmation up to which a table may justify a reset.
  duration confirmation_limit = std::chrono::seconds(2);
  /// A flow without packets for this long is forgotten.
  duration memory_limit = std::chrono::seconds(70);
  std::size_t memory = 65536; ///< flows
  /// Agents that an opening packet asks at most.
  std::size_t opening_stops = 8;
  /// An agent that lost an opening packet is asked last for this long.
  duration doubt = std::chrono::seconds(1);
  /// Of the packets of a flow that was searched for within this time, and not
  /// found, each second one asks all stops of the visit that did not come back
  /// at once: a dead agent may have swallowed the one before.
  duration search_patience = std::chrono::seconds(2);
  /// Packets a second for such copies, between two ticks; beyond it a search
  /// starts again instead. Keeps them to a fifth of a link of 4 Mbit/s.
  std::size_t probes = 200;
};

struct entry_counters
{
  std::uint64_t visits = 0;
  std::uint64_t searches = 0; ///< established flows that were not remembered
  std::uint64_t wide_searches = 0; ///< of them, past a visit that was lost
  std::uint64_t found = 0;
  std::uint64_t missed = 0;
  std::uint64_t awaited = 0; ///< packets kept until the table is confirmed
  std::array<std::uint64_t, reset_reason_count> resets{};
  std::array<std::uint64_t, entry_drop_count> drops{};
};

/// Decides for each packet of a caller which agent gets it. What it remembers
/// of flows only saves hops: it can be lost at any time.
class entry_core
{
public:
  explicit entry_core(entry_options options);

  /// Takes a newer table; returns false for any other.
  bool set_table(std::shared_ptr<const relay_table> table);

  /// A quorum confirmed the table at this time or later.
  void set_confirmed(time_point at);

  entry_action on_packet(const std::optional<flow_packet>& packet,
                         time_point now);

  /// An agent returned the packet of a visit. `packet` is the returned packet.
  entry_action on_missed(const relay_header& header, const endpoint& agent,
                         const std::optional<flow_packet>& packet,
                         time_point now);

  /// An agent holds the flow.
  void on_found(const relay_header& header, const endpoint& agent,
                const flow_key& flow, time_point now);

  /// Forgets idle flows; call about once a second.
  void on_tick(time_point now);

  const relay_table& table() const
  {
    return *table_;
  }

  /// True when an agent showed a newer configuration than the table has.
  bool wants_table() const
  {
    return newest_seen_ > table_->configuration_version();
  }

  /// Time since a quorum confirmed the table; -1 before the first time.
  duration confirmed_ago(time_point now) const
  {
    return confirmed_at_ ? now - *confirmed_at_ : duration{-1};
  }

  std::size_t remembered_flows() const
  {
    return memory_.size();
  }

  const entry_counters& counters() const
  {
    return counters_;
  }

private:
  struct memory_entry
  {
    endpoint agent;
    service_key service = 0;
    time_point used;
  };

  /// By which table nobody holds a flow, or its route does not exist.
  struct verdict
  {
    table_version table;
    time_point at;
  };

  struct search_state
  {
    time_point last;
    std::uint32_t attempts = 0;
    std::uint8_t stage = 0; ///< the visit that has not come back
    std::optional<verdict> lost;
  };

  entry_action decide(const flow_packet& packet, time_point now);
  entry_action open(const flow_packet& packet, const route& from,
                    std::uint8_t stage, time_point now);
  entry_action search(const flow_packet& packet, const route& from,
                      time_point now);
  entry_action search_from(const flow_packet& packet, const route& from,
                           std::uint8_t stage, bool doubtful, time_point now);
  entry_action search_past(const flow_packet& packet, const route& from,
                           std::uint8_t stage);
  entry_action without_route(const flow_packet& packet, time_point now);
  entry_action exhausted(const flow_packet& packet, bool doubtful,
                         time_point now);
  bool is_lost(const search_state& state, time_point now) const;
  entry_action reset_if_current(const flow_packet& packet, reset_reason reason,
                                time_point since, time_point now);
  entry_action missed(const relay_header& header, const endpoint& agent,
                      const flow_packet& packet, time_point now);
  visit_stops by_doubt(const visit_stops& stops, time_point now) const;
  relay_header make_header(const relay_service& service,
                           std::uint64_t hash) const;
  bool confirmed(time_point now) const;
  entry_action count(entry_action action);

  entry_options options_;
  std::shared_ptr<const relay_table> table_ =
      std::make_shared<const relay_table>();
  std::optional<time_point> confirmed_at_;
  std::uint64_t newest_seen_ = 0;
  std::unordered_map<flow_key, memory_entry> memory_;
  std::unordered_map<flow_key, search_state> searched_;
  std::unordered_map<std::uint64_t, time_point> doubted_until_;
  std::size_t probes_sent_ = 0; ///< since the last tick
  entry_counters counters_;
};

} // namespace toucanmill

#endif
