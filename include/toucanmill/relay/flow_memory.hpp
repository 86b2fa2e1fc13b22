#ifndef TOUCANMILL_RELAY_FLOW_MEMORY_HPP
#define TOUCANMILL_RELAY_FLOW_MEMORY_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include <toucanmill/base/time.hpp>
#include <toucanmill/packet/flow_packet.hpp>
#include <toucanmill/relay/relay_message.hpp>

namespace toucanmill
{

/// The agent that a balancer remembers for a flow.
struct remembered_agent
{
  endpoint agent;
  service_key service = 0;
  /// The agent said that it holds or admitted the flow; otherwise the balancer
  /// assumes it of the first stop.
  bool reported = false;
};

/// What to do with a packet of a remembered flow.
enum class recall_advice : std::uint8_t
{
  send,   ///< the agent is expected to deliver the packet
  verify, ///< the caller repeats itself: ask the agent whether it has the flow
  search, ///< the agent did not answer that question
};

/// The flows whose agent a balancer knows. Replies do not pass the balancer, so
/// only a caller that repeats its data shows that an agent has fallen silent.
/// The memory only saves hops and may be lost at any time.
class flow_memory
{
public:
  struct options
  {
    /// A flow without packets for this long is evicted.
    duration idle_limit = std::chrono::seconds(70);
    std::size_t max_flows = 65536;
    /// Data repeated after this time was not answered. Callers retransmit after
    /// 200 ms at the earliest; copies made by the network arrive sooner.
    duration repetition_time = std::chrono::milliseconds(150);
    /// Least time that an agent has for its answer.
    duration answer_timeout = std::chrono::milliseconds(100);
  };

  explicit flow_memory(options chosen) : options_(chosen) {}

  /// None when the flow is not remembered. Notes that the flow is in use.
  std::optional<remembered_agent> find(const flow_key& flow, time_point now);

  bool contains(const flow_key& flow) const
  {
    return flows_.count(flow) != 0;
  }

  /// Whether the caller has sent data since the flow was remembered, so that it
  /// is open.
  bool has_data(const flow_key& flow) const;

  /// Notes the data of a remembered flow's packet. Returns `verify` and
  /// `search` once for each unanswered question. `answer_timeout`: time
  /// after which answers count as missing at present; longer on a full link.
  recall_advice advise(const flow_key& flow, const flow_packet& packet,
                       time_point now, duration answer_timeout = duration{0});

  /// Whether advise() would return `search` for the packet of a remembered
  /// flow.
  bool is_lost(const flow_key& flow, const flow_packet& packet, time_point now,
               duration answer_timeout) const;

  /// Remembers or replaces the agent of a flow; also the agent's answer to
  /// `verify`. Does nothing for a further flow when the memory is full.
  void put(const flow_key& flow, const remembered_agent& value, time_point now);

  void erase(const flow_key& flow);

  /// Forgets the flow if it is remembered at this agent.
  void erase(const flow_key& flow, const endpoint& agent);

  /// Evicts idle flows.
  void on_tick(time_point now);

  std::size_t size() const
  {
    return flows_.size();
  }

private:
  struct state
  {
    remembered_agent location;
    time_point used;
    std::optional<std::uint32_t> data_end; ///< newest position of the caller
    time_point data_sent;                  ///< when it first arrived
    std::optional<time_point> verification_sent; ///< not answered yet
  };

  static bool has_new_data(const state& flow, const flow_packet& packet);
  bool repeats(const state& flow, const flow_packet& packet,
               time_point now) const;
  static void note_data(state& flow, const flow_packet& packet, time_point now);
  bool is_unanswered(const state& flow, time_point now,
                     duration answer_timeout) const;

  options options_;
  std::unordered_map<flow_key, state> flows_;
};

} // namespace toucanmill

#endif
