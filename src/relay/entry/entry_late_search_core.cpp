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

bool contains(const visit_stops& stops, const endpoint& agent)
{
  const auto* const end = stops.agents.data() + stops.size;
  return std::find(stops.agents.data(), end, agent) != end;
}

bool is_recent(const std::map<endpoint, time_point>& times,
               const endpoint& agent, duration limit, time_point now)
{
  const auto found = times.find(agent);
  return found != times.end() && now - found->second <= limit;
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

/// When the first of the stages was visited.
time_point entry_core::first_visit(const search_state& state,
                                   const std::vector<std::size_t>& stages,
                                   time_point now)
{
  for (const auto stage : stages)
    if (const auto& at = state.plan.visited_at[stage])
      now = std::min(now, *at);
  return now;
}

/// Whether the stages have no answer because none has come yet, or because
/// answers take longer on average.
bool entry_core::are_answers_late(const search_state& state,
                                  const std::vector<std::size_t>& unanswered,
                                  time_point now) const
{
  const auto since = first_visit(state, unanswered, now);
  return !monitor_.has_answered_since(since) ||
         now - since <= monitor_.loss_timeout();
}

void entry_core::measure_answer(const relay_header& header,
                                const search_state& state, time_point now)
{
  const auto& [number, made, table, unresponsive, stages, visited_at] =
      state.plan;
  if (header.plan == number && header.stage < visited_at.size() &&
      visited_at[header.stage])
    monitor_.on_question_answered(*visited_at[header.stage], now);
}

/// With late answers all other stages are asked at once: one after the other,
/// the last is asked after the flow must have reached its agent. Most
/// probes stay for questions that prove to be lost.
entry_action entry_core::search_late(search_state& state,
                                     const std::vector<std::size_t>& unanswered,
                                     time_point now)
{
  visit_all out;
  const bool is_silent =
      !monitor_.has_answered_since(first_visit(state, unanswered, now));
  for (const auto stage : unanswered)
  {
    if (is_silent && probes_.left(now) > options_.max_probes_per_tick * 3 / 4)
    {
      probe_stage(state, stage, now, out);
    }
    state.walk.skip(stage);
  }
  state.inconclusive = true;
  for (const auto next : state.walk.start_all())
  {
    probes_.use(1, now);
    out.visits.push_back(make_visit(state, next, now));
  }
  if (out.visits.empty())
    return await_search{};
  if (out.visits.size() == 1 && !out.visits.front().header.probe)
    return out.visits.front();
  return out;
}

duration entry_core::repeat_delay() const
{
  return std::max(monitor_.loss_timeout(),
                  min_lost_intervals * options_.retry_interval);
}

/// Adds questions for the skipped stages whose answers are missing.
void entry_core::ask_again(search_state& state, time_point now)
{
  const auto silent = monitor_.silent(now);
  const auto stages = state.plan.visited_at.size();
  for (std::size_t stage = 0; stage < stages; ++stage)
    if (is_lost(state, stage, now))
    {
      state.plan.visited_at[stage].reset();
      split_stage(state, stage, silent);
    }
}

/// Whether a question of that time stays without an answer while answers to
/// others come, or for longer than any answer takes.
bool entry_core::is_lost(time_point asked, time_point now) const
{
  return now - asked > (monitor_.has_answered_since(asked)
                            ? repeat_delay()
                            : options_.monitor.max_answer_timeout);
}

/// The same for an agent that is asked alone. Answers to earlier questions of
/// the search count too: once all others have answered, only agents that are
/// down are asked, and none of them answers until it is up.
bool entry_core::is_lost_alone(const search_state& state, time_point asked,
                               time_point now) const
{
  return is_lost(asked, now) || (monitor_.has_answered_since(state.began) &&
                                 now - asked > repeat_delay());
}

bool entry_core::is_lost(const search_state& state, std::size_t stage,
                         time_point now) const
{
  const auto& at = state.plan.visited_at[stage];
  if (!at)
    return false;
  if (answers_are_slow())
    return state.walk.is_skipped(stage) && is_lost(*at, now);
  const bool is_asked = state.walk.is_skipped(stage) ||
                        (state.attempts > 1 && state.walk.is_under_way(stage));
  return is_asked && is_lost_alone(state, *at, now);
}

/// On other links the next attempt need not wait: a new plan leaves out the
/// agents that left probes unanswered.
bool entry_core::answers_are_slow() const
{
  return monitor_.loss_timeout() > options_.retry_interval;
}

bool entry_core::has_lost(const search_state& state, time_point now) const
{
  if (now - state.began > options_.search_timeout)
    return false;
  for (std::size_t stage = 0; stage < state.plan.visited_at.size(); ++stage)
    if (is_lost(state, stage, now))
      return true;
  return std::any_of(state.asked_alone.begin(), state.asked_alone.end(),
                     [&](const auto& asked)
                     {
                       return is_lost_alone(state, asked.second, now);
                     });
}

/// Whether answers to packets that visit undecided agents are under way. A new
/// plan before they come would send the agents another packet.
bool entry_core::has_packets_under_way(const search_state& state,
                                       time_point now) const
{
  const auto& visited = state.visited_undecided;
  return answers_are_slow() &&
         std::any_of(visited.begin(), visited.end(),
                     [&](const auto& visit)
                     {
                       return state.denials.count(visit.first) == 0 &&
                              now - visit.second <= monitor_.loss_timeout();
                     });
}

/// Whether all stages were visited and questions without an answer remain,
/// which are repeated one by one.
bool entry_core::has_outstanding(const search_state& state,
                                 time_point now) const
{
  if (has_packets_under_way(state, now))
    return true;
  if (now - state.began > options_.search_timeout || !state.walk.finished() ||
      (!answers_are_slow() && monitor_.has_answered_since(state.plan.made)))
    return false;
  const auto may_come = [&](time_point asked)
  {
    return probes_.left(now) > 0 || now - asked <= monitor_.loss_timeout();
  };
  for (std::size_t stage = 0; stage < state.plan.visited_at.size(); ++stage)
    if (const auto& at = state.plan.visited_at[stage];
        state.walk.is_skipped(stage) && at && may_come(*at))
      return true;
  return answers_are_slow() &&
         std::any_of(state.asked_alone.begin(), state.asked_alone.end(),
                     [&](const auto& asked)
                     {
                       return may_come(asked.second);
                     });
}

/// Questions in the place of those that seem lost.
visit_all entry_core::repeat_lost(search_state& state, time_point now)
{
  visit_all out;
  if (now - state.began > options_.search_timeout)
    return out;
  repeat_alone(state, now, out);
  const auto stages = state.plan.visited_at.size();
  for (std::size_t stage = 0; stage < stages; ++stage)
    if (is_lost(state, stage, now))
      repeat_stage(state, stage, now, out);
  if (answers_are_slow() || out.visits.empty())
    return out;
  // The agents after those that are down need not wait for them.
  state.inconclusive = true;
  for (const auto stage : state.walk.start_round())
    out.visits.push_back(make_visit(state, stage, now));
  return out;
}

/// Each agent is asked alone, or a few together if that takes too many probes.
void entry_core::repeat_stage(search_state& state, std::size_t stage,
                              time_point now, visit_all& out)
{
  const auto lost = state.plan.stages[stage];
  if (probes_.left(now) <
      std::min<std::size_t>(lost.stops.size, lost_stage_parts))
    return;
  state.plan.visited_at[stage].reset();
  state.walk.skip(stage);
  if (probes_.left(now) >= lost.stops.size)
    return ask_alone(state, lost, now, out);
  const auto first = state.plan.stages.size();
  split_stage(state, stage, monitor_.silent(now));
  for (auto part = first; part < state.plan.stages.size(); ++part)
  {
    probes_.use(1, now);
    out.visits.push_back(make_visit(state, part, now));
    state.walk.skip(part);
  }
}

void entry_core::ask_alone(search_state& state, const search_stage& stage,
                           time_point now, visit_all& out)
{
  const bool by_packet =
      stage.stops.size <= lost_stage_parts && comes_too_late(state, now);
  for (std::size_t i = 0; i < stage.stops.size; ++i)
  {
    const auto& agent = stage.stops.agents[i];
    if (state.denials.count(agent) == 0 &&
        state.asked_alone.try_emplace(agent, now).second)
      visit_alone(state, agent, by_packet, now, out);
  }
}

/// Agents that stay silent may have been down.
void entry_core::repeat_alone(search_state& state, time_point now,
                              visit_all& out)
{
  const bool by_packet = comes_too_late(state, now);
  for (auto& [agent, at] : state.asked_alone)
    if (is_lost_alone(state, at, now) && probes_.left(now) > 0)
    {
      at = now;
      visit_alone(state, agent, by_packet, now, out);
    }
}

/// Whether the answer to a question would come after the time in which the
/// flow must reach its agent.
bool entry_core::comes_too_late(const search_state& state, time_point now) const
{
  return now + monitor_.loss_timeout() >= state.began + options_.search_timeout;
}

void entry_core::visit_alone(search_state& state, const endpoint& agent,
                             bool by_packet, time_point now, visit_all& out)
{
  const auto& stages = state.plan.stages;
  const auto of_agent = std::find_if(stages.begin(), stages.end(),
                                     [&agent](const search_stage& stage)
                                     {
                                       return contains(stage.stops, agent);
                                     });
  if (of_agent == stages.end())
    return;
  search_stage alone{of_agent->service, {}};
  alone.stops.add(agent);
  add_probes(alone, state.plan.number, now, out);
  if (!by_packet ||
      is_recent(state.visited_undecided, agent, options_.packet_interval, now))
    return;
  out.visits.back().header.locates = false;
  state.visited_undecided[agent] = now;
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
  const auto repeated = repeat_lost(state, now);
  out.visits.insert(out.visits.end(), repeated.visits.begin(),
                    repeated.visits.end());
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
  visit_stops stops;
  for (std::size_t i = 0; i < header.stops.size; ++i)
  {
    const auto& agent = header.stops.agents[i];
    const bool waits =
        is_recent(state.denials, agent, options_.search_timeout, now) ||
        is_recent(state.visited_undecided, agent, options_.packet_interval,
                  now);
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
