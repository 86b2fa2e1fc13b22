// What a search of entry_core does when answers are late or missing, and with
// agents that cannot tell without the packet whether they hold the flow.

#include <toucanmill/relay/entry_core.hpp>

#include <algorithm>
#include <bitset>

namespace toucanmill
{

namespace
{

/// Messages in the place of one that was lost.
constexpr std::size_t lost_stage_parts = 4;

/// A message counts as lost after this many retry intervals at least. On a full
/// link answers take several of them, and a balancer that has not measured any
/// answer yet would repeat questions that are under way.
constexpr int min_lost_intervals = 4;

visit_stops without(const visit_stops& stops, const agent_set& agents)
{
  visit_stops rest;
  for (std::size_t i = 0; i < stops.size; ++i)
    if (agents.count(stops.agents[i]) == 0)
      rest.add(stops.agents[i]);
  return rest;
}

} // namespace

/// The search goes on with the next stage that has not been visited: starting
/// anew would send the packet to the same wrong agents with each attempt. None
/// if all have been visited.
std::optional<visit_agent>
entry_core::visit_next_unvisited(search_state& state,
                                 const std::vector<std::size_t>& unanswered,
                                 time_point now)
{
  for (const auto stage : unanswered)
    state.walk.skip(stage);
  ask_again(state, now);
  const auto silent = monitor_.silent(now);
  for (std::size_t stage = 0; stage < state.plan.stages.size(); ++stage)
    if (state.walk.is_open(stage))
      remove_silent(state, stage, silent);
  const auto next = state.walk.start_one();
  if (next.empty())
    return std::nullopt;
  state.inconclusive = true;
  return make_visit(state, next.front(), now);
}

/// Adds questions for the skipped stages whose answers are missing.
void entry_core::ask_again(search_state& state, time_point now)
{
  const auto silent = monitor_.silent(now);
  const auto wait = std::max(monitor_.answer_timeout(),
                             min_lost_intervals * options_.retry_interval);
  auto& visited_at = state.plan.visited_at;
  for (std::size_t stage = 0; stage < visited_at.size(); ++stage)
    if (state.walk.is_skipped(stage) && visited_at[stage] &&
        now - *visited_at[stage] > wait)
    {
      visited_at[stage].reset();
      split_stage(state, stage, silent);
    }
}

/// An agent that is down loses the message to all agents after it and the
/// answer of those before it, so each question goes to a quarter of the stage,
/// and to a silent agent alone.
void entry_core::split_stage(search_state& state, std::size_t stage,
                             const agent_set& silent)
{
  auto& stages = state.plan.stages;
  const auto lost = stages[stage];
  const std::size_t size =
      (lost.stops.size + lost_stage_parts - 1) / lost_stage_parts;
  bool is_full = true;
  for (std::size_t i = 0; i < lost.stops.size; ++i)
  {
    const auto& agent = lost.stops.agents[i];
    const bool is_silent = silent.count(agent) != 0;
    if (is_full || is_silent)
    {
      if (stages.size() == max_search_stages)
        return;
      state.walk.add(lost.health);
      stages.push_back({lost.service, {}, lost.health, false});
    }
    stages.back().stops.add(agent);
    is_full = is_silent || stages.back().stops.size == size;
  }
}

/// The agents that became silent since the plan was made are visited by
/// the next one only.
void entry_core::remove_silent(search_state& state, std::size_t stage,
                               const agent_set& silent)
{
  auto& planned = state.plan.stages[stage];
  if (planned.health != holder_health::live)
    return;
  planned.stops = without(planned.stops, silent);
  if (planned.stops.size == 0)
    state.walk.skip(stage);
}

/// An answer after stages were skipped, perhaps to one of them. The next round
/// does not wait for those under way: their answers come late or never, and
/// with rounds one after the other the walk takes longer than the flow may stay
/// without its agent.
entry_action entry_core::continue_late(const relay_header& header,
                                       const flow_packet& packet,
                                       search_state& state, time_point now)
{
  visit_all out;
  if (const auto visit = visit_undecided(header, packet.from_caller(), now))
    out.visits.push_back(*visit);
  state.walk.skip_round();
  ask_again(state, now);
  for (const auto stage : state.walk.start_round())
    out.visits.push_back(make_visit(state, stage, now));
  if (out.visits.empty())
    return entry_drop::stale_answer;
  return out.visits.size() == 1 ? entry_action{out.visits.front()}
                                : entry_action{out};
}

/// The stops of the answer that could not tell without the packet and are to
/// get it now.
visit_stops entry_core::take_undecided(const relay_header& header,
                                       search_state& state,
                                       time_point now) const
{
  const auto is_recent =
      [now](const auto& times, const endpoint& agent, duration limit)
  {
    const auto found = times.find(agent);
    return found != times.end() && now - found->second <= limit;
  };
  visit_stops stops;
  for (std::size_t i = 0; i < header.stops.size; ++i)
  {
    const auto& agent = header.stops.agents[i];
    const bool waits =
        is_recent(state.denials, agent, options_.search_timeout) ||
        is_recent(state.visited_undecided, agent, options_.packet_interval);
    if ((header.undecided >> i & 1U) == 0 || waits)
      continue;
    state.visited_undecided[agent] = now;
    stops.add(agent);
  }
  return stops;
}

/// The packet visits the agents that could not tell without it, beside the walk
/// through the stages: their answer came to a probe, or after the next attempt
/// had begun.
std::optional<visit_agent>
entry_core::visit_undecided(const relay_header& header, const flow_key& flow,
                            time_point now)
{
  const auto found = searched_.find(flow);
  if (header.undecided == 0 || found == searched_.end())
    return std::nullopt;
  auto& state = found->second;
  if (state.found || !state.plan_numbers.test(header.plan))
    return std::nullopt;
  const auto stops = take_undecided(header, state, now);
  if (stops.size == 0)
    return std::nullopt;
  auto visit = header;
  visit.kind = relay_kind::visit;
  visit.stop = 0;
  visit.stops = stops;
  visit.probe = true;
  visit.locates = false;
  visit.undecided = 0;
  return visit_agent{stops.agents[0], visit};
}

/// The packet visits the agents that could not tell without it.
void entry_core::add_undecided_stage(const relay_header& header,
                                     search_state& state, time_point now)
{
  if (header.undecided == 0)
    return;
  auto& stages = state.plan.stages;
  // An agent that is left out does not deny the flow to this walk.
  const auto undecided = std::bitset<visit_stops::capacity>(header.undecided);
  const auto stops = stages.size() < max_search_stages
                         ? take_undecided(header, state, now)
                         : visit_stops{};
  state.inconclusive |= stops.size != undecided.count();
  if (stops.size == 0)
    return;
  search_stage added = stages[header.stage];
  added.by_packet = true;
  added.stops = stops;
  state.walk.add(added.health);
  stages.push_back(added);
}

} // namespace toucanmill
