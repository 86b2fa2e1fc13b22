// Searches of entry_core for the agents of flows that it does not remember.

#include <toucanmill/relay/entry_core.hpp>

#include <algorithm>

#include <toucanmill/table/flow_hash.hpp>

namespace toucanmill
{

namespace
{

/// Limits the time between two attempts to eight times the first one.
constexpr std::uint32_t max_retry_doublings = 3;

bool have_same_stops(const std::vector<search_stage>& left,
                     const std::vector<search_stage>& right)
{
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](const search_stage& one, const search_stage& other)
                    {
                      return one.stops == other.stops;
                    });
}

} // namespace

entry_action entry_core::search(const flow_packet& packet, const route& from,
                                time_point now)
{
  if (const auto reset = reset_denied(packet, from, now))
    return *reset;
  auto& state = searched_[packet.from_caller()];
  const bool replanned = update_plan(packet, from, state, now);
  if (is_not_found(state, now))
    return reset_if_current(packet, reset_reason::unknown_flow, now, now);
  const bool is_searching = !state.not_found && !state.found &&
                            state.attempts > 0 &&
                            now - state.last <= options_.search_timeout;
  if (is_searching && !replanned && has_lost(state, now))
    if (auto out = repeat_lost(state, now); !out.visits.empty())
    {
      state.last = now;
      return out;
    }
  if (is_searching && (now - state.last < retry_delay(state) ||
                       (!replanned && has_outstanding(state, now))))
    return replanned ? restart_walk(packet, state, now)
                     : entry_action{await_search{}};
  if (!is_searching)
  {
    state = {};
    state.began = now;
    state.acknowledged = packet.acknowledged;
  }
  ++counters_.searches;
  counters_.search_retries += is_searching ? 1 : 0;
  state.started = state.last = now;
  ++state.attempts;
  const auto unanswered = state.walk.abandon_round();
  if (is_searching && !unanswered.empty())
  {
    if (probes_.left(now) > 0)
      return are_answers_late(state, unanswered, now)
                 ? search_late(state, unanswered, now)
                 : search_with_probes(state, unanswered, now);
    if (const auto next = visit_next_unvisited(state, unanswered, now))
      return *next;
  }
  make_plan(packet, from, state, now);
  return visit_next_stages(packet, state, now);
}

void entry_core::make_plan(const flow_packet& packet, const route& from,
                           search_state& state, time_point now)
{
  auto& plan = state.plan;
  // 0 means that an agent did not return the number.
  last_plan_ = last_plan_ + 1 == plan_number_count ? 1 : last_plan_ + 1;
  plan.number = last_plan_;
  plan.made = now;
  plan.visited_at.clear();
  state.asked_alone.clear();
  plan.table = table_;
  state.plan_numbers.set(plan.number);
  plan.unresponsive = monitor_.unresponsive(now);
  plan.stages = open_stages(packet, from, state, now);
  state.walk = stage_walk(plan.stages);
  state.inconclusive = false;
  if (!plan.stages.empty())
    for (std::size_t i = 0; i < plan.stages[0].stops.size; ++i)
      state.sent_packet[plan.stages[0].stops.agents[i]] = now;
}

/// The stages by the present table; agents that have denied the flow come last,
/// and so do those on the way of an earlier packet while there are others.
/// A denial counts for as long as the state of a search, since the caller may
/// use the address and port of an ended flow again.
std::vector<search_stage> entry_core::open_stages(const flow_packet& packet,
                                                  const route& from,
                                                  const search_state& state,
                                                  time_point now) const
{
  agent_set denied;
  for (const auto& [agent, at] : state.denials)
    denied.insert(agent);
  auto visited = denied;
  for (const auto* const times : {&state.sent_packet, &state.visited_undecided})
    for (const auto& [agent, at] : *times)
      if (now - at <= options_.search_timeout)
        visited.insert(agent);
  const auto stages_with_last = [&](const agent_set& last)
  {
    return search_stages(*table_, from, flow_hash(packet.from_caller()),
                         state.plan.unresponsive, options_.placement, last);
  };
  auto stages = stages_with_last(visited);
  // A live agent that may have got the packet comes before a dead one.
  const bool others_are_live = !stages.empty() &&
                               stages[0].health == holder_health::live &&
                               visited.count(stages[0].stops.agents[0]) == 0;
  return others_are_live ? stages : stages_with_last(denied);
}

void entry_core::record_denials(const relay_header& header,
                                const flow_key& flow, time_point now)
{
  const auto found = searched_.find(flow);
  if (found == searched_.end() || header.inconclusive)
    return;
  auto& state = found->second;
  if (!state.plan_numbers.test(header.plan))
    return;
  for (std::size_t i = 0; i < header.stops.size; ++i)
    state.asked_alone.erase(header.stops.agents[i]);
  for (std::size_t i = 0; i < header.stops.size; ++i)
    if ((header.undecided >> i & 1U) == 0)
      state.denials[header.stops.agents[i]] = now;
}

/// The number of agents that may hold the flow; 0 without a route.
std::size_t entry_core::possible_holders(const flow_packet& packet) const
{
  const auto* const from = table_->find_route(packet.destination);
  if (from == nullptr)
    return 0;
  std::size_t count = 0;
  const auto hash = flow_hash(packet.from_caller());
  for (const auto* service : possible_services(*table_, *from, hash))
    count += service->table.holders.size();
  return count;
}

/// Whether every holder that the present table lists has denied the flow since
/// its packet came, whatever attempts, plans and earlier tables it was asked
/// by.
bool entry_core::is_denied_by_all(const search_state& state,
                                  const flow_packet& packet,
                                  const route& from) const
{
  const auto& denials = state.denials;
  const auto has_denied = [&denials](const holder& value)
  {
    return denials.count(value.agent) != 0;
  };
  const auto hash = flow_hash(packet.from_caller());
  for (const auto* service : possible_services(*table_, from, hash))
    if (const auto& holders = service->table.holders;
        holders.size() > denials.size() ||
        !std::all_of(holders.begin(), holders.end(), has_denied))
      return false;
  return true;
}

/// A search that was repeated proves that the flow is gone once the last holder
/// has denied it. None if one has not, or if the packets of the search may be
/// of two flows of the same address and port.
std::optional<entry_action> entry_core::reset_denied(const flow_packet& packet,
                                                     const route& from,
                                                     time_point now)
{
  const auto found = searched_.find(packet.from_caller());
  if (found == searched_.end())
    return std::nullopt;
  auto& state = found->second;
  state.one_position &= packet.acknowledged == state.acknowledged;
  if (state.attempts == 0 || state.found || !state.one_position ||
      now - state.last > options_.search_timeout || !confirmed(now) ||
      !is_denied_by_all(state, packet, from))
    return std::nullopt;
  return reset_if_current(packet, reset_reason::unknown_flow, state.began, now);
}

// A new table keeps the plan if it changes nothing for this flow; otherwise a
// busy cluster would restart searches for as long as tables change.
bool entry_core::update_plan(const flow_packet& packet, const route& from,
                             search_state& state, time_point now)
{
  auto& plan = state.plan;
  if (plan.table == nullptr || plan.table == table_)
    return false;
  const auto hash = flow_hash(packet.from_caller());
  const auto* before = plan.table->find_route(packet.destination);
  const bool equal =
      before != nullptr &&
      have_same_stops(search_stages(*plan.table, *before, hash,
                                    plan.unresponsive, options_.placement),
                      search_stages(*table_, from, hash, plan.unresponsive,
                                    options_.placement));
  if (!equal)
  {
    make_plan(packet, from, state, now);
    return true;
  }
  for (auto& stage : plan.stages)
    stage.service = table_->find_service(stage.service->table.name);
  plan.table = table_;
  if (state.not_found)
    state.not_found->table = table_->version();
  return false;
}

// The result of a search by two tables cannot justify a reset. Agents that
// denied the flow under an earlier table are asked last: with many upstreams a
// walk takes longer than the time between two tables while processes are
// restarted in series.
entry_action entry_core::restart_walk(const flow_packet& packet,
                                      search_state& state, time_point now)
{
  state.inconclusive = true;
  state.last = now;
  return visit_next_stages(packet, state, now);
}

visit_agent entry_core::make_visit(search_state& state, std::size_t stage,
                                   time_point now) const
{
  state.plan.visited_at.resize(state.plan.stages.size());
  state.plan.visited_at[stage] = now;
  const auto& [service, stops, health, by_packet] = state.plan.stages[stage];
  auto header = make_header(*service);
  header.stops = stops;
  header.locates = !by_packet;
  header.stage = static_cast<std::uint8_t>(stage);
  header.plan = state.plan.number;
  return {stops.agents[0], header};
}

entry_action entry_core::visit_next_stages(const flow_packet& packet,
                                           search_state& state, time_point now)
{
  visit_all round;
  for (const auto stage : state.walk.start_round())
    round.visits.push_back(make_visit(state, stage, now));
  if (round.visits.size() == 1)
    return round.visits.front();
  if (!round.visits.empty())
    return round;
  if (!state.walk.finished())
    return entry_drop::probe_missed;
  const bool some_left_out = state.plan.stages.size() == max_search_stages;
  return on_search_exhausted(packet, state.inconclusive || some_left_out, now);
}

// Probes only the stages without an answer: with 50 holders, copies of a packet
// to all of them are 20 KB and would saturate the link of a small balancer when
// the flows of a failed agent are searched for.
entry_action
entry_core::search_with_probes(search_state& state,
                               const std::vector<std::size_t>& unanswered,
                               time_point now)
{
  ++counters_.probe_searches;
  visit_all out;
  for (const auto stage : unanswered)
    if (probes_.left(now) > 0)
    {
      probe_stage(state, stage, now, out);
      state.walk.skip(stage);
    }
  // A probed agent that does not answer may hold the flow.
  state.inconclusive = true;
  for (const auto next : state.walk.start_round())
  {
    probes_.use(1, now);
    out.visits.push_back(make_visit(state, next, now));
  }
  return out;
}

void entry_core::probe_stage(search_state& state, std::size_t stage,
                             time_point now, visit_all& out)
{
  const auto& probed = state.plan.stages[stage];
  add_probes(probed, state.plan.number, now, out);
  state.plan.visited_at[stage].reset();
  for (std::size_t i = 0; i < probed.stops.size; ++i)
    state.asked_alone.try_emplace(probed.stops.agents[i], now);
}

void entry_core::add_probes(const search_stage& stage, std::uint8_t plan,
                            time_point now, visit_all& out)
{
  const auto& stops = stage.stops;
  probes_.use(stops.size, now);
  auto header = make_header(*stage.service);
  header.probe = true;
  header.plan = plan;
  header.locates = true;
  for (std::size_t i = 0; i < stops.size; ++i)
  {
    monitor_.on_probe(stops.agents[i], now);
    header.stops = {};
    header.stops.add(stops.agents[i]);
    out.visits.push_back({stops.agents[i], header});
  }
}

entry_action entry_core::continue_search(const relay_header& header,
                                         const flow_packet& packet,
                                         const route& from, time_point now)
{
  const auto found = searched_.find(packet.from_caller());
  if (found == searched_.end())
    return entry_drop::stale_answer;
  auto& state = found->second;
  const auto on_late_answer = [&]
  {
    const auto visit = visit_undecided(header, packet.from_caller(), now);
    return visit ? entry_action{*visit}
                 : entry_action{entry_drop::stale_answer};
  };
  if (state.found && (state.inconclusive || header.inconclusive))
    return entry_drop::stale_answer;
  const auto& plan = state.plan;
  const bool is_of_this_plan =
      (header.plan == plan.number || header.plan == 0) &&
      header.stage < plan.stages.size() &&
      plan.stages[header.stage].stops == header.stops;
  if (!is_of_this_plan)
    return on_late_answer();
  if (update_plan(packet, from, state, now))
    return restart_walk(packet, state, now);
  measure_answer(header, state, now);
  const bool was_late = state.walk.has_skipped();
  if (!state.walk.on_missed(header.stage))
    return on_late_answer();
  state.last = now;
  state.inconclusive |= was_late || header.inconclusive || header.plan == 0;
  if (was_late)
    return continue_late(header, packet, state, now);
  add_undecided_stage(header, state, now);
  return visit_next_stages(packet, state, now);
}

bool entry_core::is_not_found(const search_state& state, time_point now) const
{
  return state.not_found && state.not_found->table == table_->version() &&
         now - state.not_found->at <= options_.search_timeout;
}

// Another balancer may have opened the flow by a newer table, on a new upstream
// or route. A confirmation requested after the packet arrived rules that out.
entry_action entry_core::reset_if_current(const flow_packet& packet,
                                          reset_reason reason, time_point since,
                                          time_point now)
{
  const auto flow = packet.from_caller();
  auto& state = searched_[flow];
  state.last = now;
  if (is_not_found(state, now))
    since = state.not_found->at;
  if (confirmed(now) && *confirmed_at_ >= since)
  {
    searched_.erase(flow);
    return reset_caller{flow, packet.acknowledged, reason,
                        possible_holders(packet)};
  }
  state.not_found = not_found_result{table_->version(), since};
  ++counters_.awaited;
  return await_table{};
}

entry_action entry_core::on_search_exhausted(const flow_packet& packet,
                                             bool inconclusive, time_point now)
{
  const auto found = searched_.find(packet.from_caller());
  if (inconclusive || !confirmed(now) ||
      (found != searched_.end() && found->second.found))
    return entry_drop::unconfirmed;
  return reset_if_current(
      packet, reset_reason::unknown_flow,
      found != searched_.end() ? found->second.started : now, now);
}

bool entry_core::would_search(const flow_packet& packet, time_point now) const
{
  const auto flow = packet.from_caller();
  return !packet.opens && !packet.resets && !packet.bounced &&
         (!memory_.contains(flow) ||
          memory_.is_lost(flow, packet, now, monitor_.answer_timeout())) &&
         table_->find_route(packet.destination) != nullptr;
}

/// Doubles with each attempt: late answers mean that a link is full.
duration entry_core::retry_delay(const search_state& state) const
{
  const auto doublings = std::min<std::uint32_t>(
      std::max(state.attempts, 1U) - 1, max_retry_doublings);
  return options_.retry_interval * (1U << doublings);
}

search_progress entry_core::progress(const flow_key& flow, time_point now) const
{
  const auto found = searched_.find(flow);
  if (found == searched_.end() || found->second.not_found ||
      found->second.found || now - found->second.last > options_.search_timeout)
    return search_progress::ended;
  const auto& state = found->second;
  if (probes_.left(now) > 0 && has_lost(state, now))
    return search_progress::repeats;
  return now - state.last < retry_delay(state) || has_outstanding(state, now)
             ? search_progress::waiting
             : search_progress::overdue;
}

} // namespace toucanmill
