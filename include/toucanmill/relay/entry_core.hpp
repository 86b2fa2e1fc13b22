#ifndef TOUCANMILL_RELAY_ENTRY_CORE_HPP
#define TOUCANMILL_RELAY_ENTRY_CORE_HPP

#include <array>
#include <bitset>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <variant>
#include <vector>

#include <toucanmill/base/time.hpp>
#include <toucanmill/packet/flow_packet.hpp>
#include <toucanmill/relay/agent_monitor.hpp>
#include <toucanmill/relay/flow_memory.hpp>
#include <toucanmill/relay/probe_budget.hpp>
#include <toucanmill/relay/relay_table.hpp>
#include <toucanmill/relay/stage_walk.hpp>

namespace toucanmill
{

/// Send the packet, preceded by the header, to one agent.
struct visit_agent
{
  endpoint agent;
  relay_header header;
};

/// Send a copy of the packet to each of several agents, with its own header.
struct visit_all
{
  std::vector<visit_agent> visits;
};

/// Why a balancer reset a flow.
enum class reset_reason : std::uint8_t
{
  no_route,     ///< no declared route has the destination address
  refused,      ///< no upstream admits a new flow
  unknown_flow, ///< no upstream of the route's services holds the flow
  evacuated,    ///< all upstreams for new flows are in evacuated data centres
};

inline constexpr std::size_t reset_reason_count = 4;

const char* to_string(reset_reason reason);

/// Send the caller a reset of the flow.
struct reset_caller
{
  flow_key flow;
  std::uint32_t sequence = 0;
  reset_reason reason = reset_reason::no_route;
  /// Of reset_reason::unknown_flow: all agents that may hold the flow by the
  /// table; each of them denied it.
  std::size_t denied_by = 0;
};

/// Hold the packet until a quorum confirms the table, then decide again: this
/// balancer has no table yet, or the flow may have been opened by a newer one.
struct await_table
{
};

/// Hold the packet until the search for its flow ends: the balancer has already
/// sent another packet of the flow to the agents that may hold it.
struct await_search
{
};

/// Why a balancer dropped a packet without an answer.
enum class entry_drop : std::uint8_t
{
  malformed,     ///< not a valid packet
  no_route,      ///< no route, and the table is not known to be current
  no_upstream,   ///< no agent to send the packet to
  unconfirmed,   ///< flow not found, but not certain enough for a reset
  newer_table,   ///< table outdated or unconfirmed; the caller retransmits
  not_a_caller,  ///< a bounced packet, which never comes from a caller
  unknown_reset, ///< the caller's reset of a flow that is not remembered
  probe_missed,  ///< one of several copies found nothing, others are under way
  stale_answer,  ///< a miss of an earlier attempt to find the flow
};

inline constexpr std::size_t entry_drop_count = 9;

const char* to_string(entry_drop reason);

using entry_action = std::variant<visit_agent, visit_all, reset_caller,
                                  entry_drop, await_table, await_search>;

struct entry_options
{
  endpoint self; ///< agents send found and missed messages here
  /// A table confirmed longer ago than this does not justify a reset.
  duration confirmation_limit = std::chrono::seconds(2);
  /// Maximum number of agents that one opening packet may visit.
  std::size_t max_opening_stops = 8;
  placement_policy placement;
  /// An agent to which an opening packet was lost is tried last for this long.
  duration avoid_duration = std::chrono::seconds(1);
  /// The state of a search expires after this time without an answer. A further
  /// packet of the flow within it is another attempt. It probes all stops of
  /// the unanswered stages in parallel, since a dead agent may have lost the
  /// previous packet, and visits the next stages.
  duration search_timeout = std::chrono::seconds(2);
  /// Minimum time between an attempt or its latest answer and the next attempt;
  /// a packet that follows sooner waits. Doubles with each attempt. A stage of
  /// sixteen agents takes 20 to 50 ms.
  duration retry_interval = std::chrono::milliseconds(100);
  /// Probes between two ticks (one second), regained evenly; above this an
  /// attempt passes by the stages without an answer and visits the next one. A
  /// probe is a question of 94 octets, so they take less than a tenth of a 2
  /// Mbit/s link.
  std::size_t max_probes_per_tick = 200;
  /// Minimum time between two packets of one search to an agent that cannot
  /// tell without the packet. Each may reach a wrong upstream, and the answer
  /// to the first one comes up to 700 ms later when the balancer's link is
  /// full.
  duration packet_interval = std::chrono::seconds(1);
  agent_monitor::options monitor;
  flow_memory::options memory;
};

/// What became of a search for the agent that holds a flow.
enum class search_progress : std::uint8_t
{
  ended,   ///< the flow was found or reset, or the search expired
  waiting, ///< an answer may still come
  repeats, ///< questions seem lost and are repeated within this attempt
  overdue, ///< a stop of the latest attempt seems to have lost the packet
};

struct entry_counters
{
  std::uint64_t visits = 0;
  /// New flows, without copies of opening packets, whose first stop is in the
  /// balancer's data centre, and the others.
  std::uint64_t near_flows = 0;
  std::uint64_t far_flows = 0;
  std::uint64_t reported_copies = 0; ///< opening packets sent to their holder
  std::uint64_t searches = 0; ///< packets of established flows not remembered
  std::uint64_t search_retries = 0; ///< attempts after one without an answer
  std::uint64_t verifications = 0;  ///< remembered agents asked about a flow
  std::uint64_t probe_searches = 0; ///< attempts that sent probes
  std::uint64_t found = 0;
  std::uint64_t missed = 0;
  std::uint64_t awaited = 0; ///< packets held until the table is confirmed
  std::uint64_t joined = 0;  ///< packets held until a search under way ends
  std::array<std::uint64_t, reset_reason_count> resets{};
  std::array<std::uint64_t, entry_drop_count> drops{};
};

/// Decides which agent gets each packet of a caller. A packet of a flow that is
/// not remembered starts a search: it visits, stage by stage, the agents that
/// may hold the flow; further packets of the flow wait meanwhile.
class entry_core
{
public:
  explicit entry_core(entry_options options);

  /// Installs a newer table; returns false and ignores any other.
  bool set_table(std::shared_ptr<const relay_table> table);

  /// A quorum confirmed at `at` or later that the table is current.
  void set_confirmed(time_point at);

  entry_action on_packet(const std::optional<flow_packet>& packet,
                         time_point now);

  /// `agent` returned `packet`, which no stop of the visit could use. Without
  /// `may_search`, a search that would start now has to wait (await_search).
  entry_action on_missed(const relay_header& header, const endpoint& agent,
                         const std::optional<flow_packet>& packet,
                         time_point now, bool may_search = true);

  /// `agent` reported that it holds the flow.
  void on_found(const relay_header& header, const endpoint& agent,
                const flow_key& flow, time_point now);

  /// Whether the packet starts a search or belongs to one.
  bool would_search(const flow_packet& packet, time_point now) const;

  /// Progress of the search for the flow.
  search_progress progress(const flow_key& flow, time_point now) const;

  /// Evicts idle flows and old probes; call once a second.
  void on_tick(time_point now);

  const relay_table& table() const
  {
    return *table_;
  }

  /// True when an agent reported a newer configuration than the table has.
  bool wants_table() const
  {
    return newest_seen_ > table_->configuration_version();
  }

  /// Time since a quorum confirmed the table; -1 if none has yet.
  duration confirmed_ago(time_point now) const
  {
    return confirmed_at_ ? now - *confirmed_at_ : duration{-1};
  }

  /// Agents that left a probe unanswered and are visited last.
  std::size_t unresponsive_agents(time_point now) const
  {
    return monitor_.unresponsive(now).size();
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
  /// The table by which no agent holds the flow or no route leads to it, and
  /// the time from which a confirmation of that table justifies a reset.
  struct not_found_result
  {
    table_version table;
    time_point at;
  };

  /// Values of relay_header::plan.
  static constexpr std::size_t plan_number_count = 256;

  /// The stages that the attempts of a search visit.
  struct search_plan
  {
    std::uint8_t number = 0; ///< a miss by another plan proves nothing
    time_point made;         ///< when its first stage was visited
    std::shared_ptr<const relay_table> table;
    agent_set unresponsive; ///< visited after the live agents
    std::vector<search_stage> stages;
    /// By stage; none if not visited, or asked again since.
    std::vector<std::optional<time_point>> visited_at;
  };

  struct search_state
  {
    time_point began;   ///< when its first packet arrived
    time_point started; ///< of the latest attempt
    time_point last;    ///< latest attempt, answer or result
    /// Of its first packet. All denials are about the flow with this position,
    /// and a reset there cannot hit a later one of the same address and port.
    std::uint32_t acknowledged = 0;
    bool one_position = true; ///< all its packets acknowledge the same
    std::uint32_t attempts = 0;
    search_plan plan;
    std::bitset<plan_number_count> plan_numbers; ///< of all its plans
    /// Agents that answered that they do not hold the flow, and when. An open
    /// flow does not move to another upstream, so they are asked last.
    std::map<endpoint, time_point> denials;
    /// Agents that got the packet since they could not tell, and when.
    std::map<endpoint, time_point> visited_undecided;
    /// Agents that were asked alone since an answer was missing, and when,
    /// until they answer.
    std::map<endpoint, time_point> asked_alone;
    /// Agents on the way of the packet through the first stage of a plan.
    std::map<endpoint, time_point> sent_packet;
    stage_walk walk;           ///< through the stages of the plan
    bool inconclusive = false; ///< misses do not prove that the flow is gone
    bool found = false;        ///< an agent reported that it holds the flow
    std::optional<not_found_result> not_found;
  };

  entry_action decide(const flow_packet& packet, time_point now);
  std::optional<visit_agent> visit_remembered(const flow_packet& packet,
                                              time_point now);
  entry_action place(const flow_packet& packet, const route& from,
                     time_point now);
  std::optional<visit_agent> visit_reported(const flow_packet& packet,
                                            const route& from, time_point now);
  const holder* live_holder(const remembered_agent& known, const route& from,
                            std::uint64_t hash, time_point now) const;
  entry_action open_flow(const flow_packet& packet, const route& from,
                         std::uint8_t stage, time_point now);
  void count_new_flow(const relay_service& service, const endpoint& first);
  entry_action search(const flow_packet& packet, const route& from,
                      time_point now);
  void make_plan(const flow_packet& packet, const route& from,
                 search_state& state, time_point now);

  /// Returns true if the present table has other stages for this flow: the plan
  /// is a new one then.
  bool update_plan(const flow_packet& packet, const route& from,
                   search_state& state, time_point now);
  std::vector<search_stage> open_stages(const flow_packet& packet,
                                        const route& from,
                                        const search_state& state,
                                        time_point now) const;
  void record_denials(const relay_header& header, const flow_key& flow,
                      time_point now);
  std::size_t possible_holders(const flow_packet& packet) const;
  bool is_denied_by_all(const search_state& state, const flow_packet& packet,
                        const route& from) const;
  std::optional<entry_action> reset_denied(const flow_packet& packet,
                                           const route& from, time_point now);
  entry_action restart_walk(const flow_packet& packet, search_state& state,
                            time_point now);
  visit_agent make_visit(search_state& state, std::size_t stage,
                         time_point now) const;
  entry_action visit_next_stages(const flow_packet& packet, search_state& state,
                                 time_point now);
  entry_action search_with_probes(search_state& state,
                                  const std::vector<std::size_t>& unanswered,
                                  time_point now);
  std::optional<visit_agent>
  visit_next_unvisited(search_state& state,
                       const std::vector<std::size_t>& unanswered,
                       time_point now);
  void measure_answer(const relay_header& header, const search_state& state,
                      time_point now);
  entry_action search_late(search_state& state,
                           const std::vector<std::size_t>& unanswered,
                           time_point now);
  static time_point first_visit(const search_state& state,
                                const std::vector<std::size_t>& stages,
                                time_point now);
  bool are_answers_late(const search_state& state,
                        const std::vector<std::size_t>& unanswered,
                        time_point now) const;
  duration repeat_delay() const;
  bool is_lost(time_point asked, time_point now) const;
  bool is_lost_alone(const search_state& state, time_point asked,
                     time_point now) const;
  bool is_lost(const search_state& state, std::size_t stage,
               time_point now) const;
  bool answers_are_slow() const;
  bool has_lost(const search_state& state, time_point now) const;
  bool has_packets_under_way(const search_state& state, time_point now) const;
  bool has_outstanding(const search_state& state, time_point now) const;
  visit_all repeat_lost(search_state& state, time_point now);
  void repeat_stage(search_state& state, std::size_t stage, time_point now,
                    visit_all& out);
  void ask_alone(search_state& state, const search_stage& stage, time_point now,
                 visit_all& out);
  bool comes_too_late(const search_state& state, time_point now) const;
  void visit_alone(search_state& state, const endpoint& agent, bool by_packet,
                   time_point now, visit_all& out);
  void repeat_alone(search_state& state, time_point now, visit_all& out);
  void ask_again(search_state& state, time_point now);
  static void split_stage(search_state& state, std::size_t stage,
                          const agent_set& silent);
  static void remove_silent(search_state& state, std::size_t stage,
                            const agent_set& silent);
  entry_action continue_late(const relay_header& header,
                             const flow_packet& packet, search_state& state,
                             time_point now);
  void probe_stage(search_state& state, std::size_t stage, time_point now,
                   visit_all& out);
  void add_probes(const search_stage& stage, std::uint8_t plan, time_point now,
                  visit_all& out);
  entry_action continue_search(const relay_header& header,
                               const flow_packet& packet, const route& from,
                               time_point now);
  visit_stops take_undecided(const relay_header& header, search_state& state,
                             time_point now) const;
  void add_undecided_stage(const relay_header& header, search_state& state,
                           time_point now);
  std::optional<visit_agent> visit_undecided(const relay_header& header,
                                             const flow_key& flow,
                                             time_point now);
  entry_action on_missing_route(const flow_packet& packet, time_point now);
  entry_action on_search_exhausted(const flow_packet& packet, bool inconclusive,
                                   time_point now);
  bool is_not_found(const search_state& state, time_point now) const;
  entry_action reset_if_current(const flow_packet& packet, reset_reason reason,
                                time_point since, time_point now);
  entry_action decide_missed(const relay_header& header, const endpoint& agent,
                             const flow_packet& packet, time_point now,
                             bool may_search);
  agent_set avoided_of(const visit_stops& stops, time_point now) const;
  relay_header make_header(const relay_service& service) const;
  duration retry_delay(const search_state& state) const;
  bool confirmed(time_point now) const;
  entry_action count(entry_action action);

  entry_options options_;
  std::shared_ptr<const relay_table> table_ =
      std::make_shared<const relay_table>();
  std::optional<time_point> confirmed_at_;
  std::uint64_t newest_seen_ = 0;
  flow_memory memory_;
  std::unordered_map<flow_key, search_state> searched_;
  std::unordered_map<std::uint64_t, time_point> avoided_until_;
  agent_monitor monitor_;
  probe_budget probes_;
  std::uint8_t last_plan_ = 0;
  entry_counters counters_;
};

} // namespace toucanmill

#endif
