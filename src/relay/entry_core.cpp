#include <toucanmill/relay/entry_core.hpp>

#include <algorithm>

#include <toucanmill/table/flow_hash.hpp>

namespace toucanmill
{

namespace
{

constexpr std::uint8_t max_plan_number = 255;

/// Questions without a packet that count as one probe with it, by their size.
constexpr std::size_t questions_per_probe = 4;

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

/// Rotates the stops so that the one at index `first` comes first.
visit_stops rotated(const visit_stops& stops, std::size_t first)
{
  visit_stops out;
  for (std::size_t i = 0; i < stops.size; ++i)
    out.add(stops.agents[(first + i) % stops.size]);
  return out;
}

} // namespace

const char* to_string(reset_reason reason)
{
  switch (reason)
  {
  case reset_reason::no_route:
    return "no_route";
  case reset_reason::refused:
    return "refused";
  case reset_reason::unknown_flow:
    return "unknown_flow";
  }
  return "unknown";
}

const char* to_string(entry_drop reason)
{
  switch (reason)
  {
  case entry_drop::malformed:
    return "malformed";
  case entry_drop::no_route:
    return "no_route";
  case entry_drop::no_upstream:
    return "no_upstream";
  case entry_drop::unconfirmed:
    return "unconfirmed";
  case entry_drop::newer_table:
    return "newer_table";
  case entry_drop::not_a_caller:
    return "not_a_caller";
  case entry_drop::unknown_reset:
    return "unknown_reset";
  case entry_drop::probe_missed:
    return "probe_missed";
  case entry_drop::stale_answer:
    return "stale_answer";
  }
  return "unknown";
}

entry_core::entry_core(entry_options options)
    : options_(options), memory_(options.memory), monitor_(options.monitor)
{
}

bool entry_core::set_table(std::shared_ptr<const relay_table> table)
{
  if (table->version() <= table_->version())
    return false;
  table_ = std::move(table);
  return true;
}

void entry_core::set_confirmed(time_point at)
{
  confirmed_at_ = std::max(confirmed_at_.value_or(at), at);
}

bool entry_core::confirmed(time_point now) const
{
  return confirmed_at_ && now - *confirmed_at_ <= options_.confirmation_limit &&
         !wants_table();
}

relay_header entry_core::make_header(const relay_service& service) const
{
  relay_header header;
  header.service = service.key;
  header.configuration = table_->configuration_version();
  header.table = table_->version().index;
  header.balancer = options_.self;
  return header;
}

entry_action entry_core::on_packet(const std::optional<flow_packet>& packet,
                                   time_point now)
{
  if (!packet)
    return count(entry_drop::malformed);
  return count(decide(*packet, now));
}

entry_action entry_core::decide(const flow_packet& packet, time_point now)
{
  if (packet.bounced)
    return entry_drop::not_a_caller;
  const auto* from = table_->find_route(packet.destination);
  if (from == nullptr)
    return on_missing_route(packet, now);
  if (packet.opens)
    return open_flow(packet, *from, 0, now);
  if (const auto visit = visit_remembered(packet, now))
    return *visit;
  if (packet.resets)
    return entry_drop::unknown_reset;
  return search(packet, *from, now);
}

std::optional<visit_agent>
entry_core::visit_remembered(const flow_packet& packet, time_point now)
{
  const auto flow = packet.from_caller();
  const auto known = memory_.find(flow, now);
  if (!known)
    return std::nullopt;
  const auto advice = memory_.advise(flow, packet, now);
  if (advice == recall_advice::search)
  {
    memory_.erase(flow);
    return std::nullopt;
  }
  relay_header header;
  header.service = known->service;
  header.configuration = table_->configuration_version();
  header.balancer = options_.self;
  header.remembered = true;
  header.stops.add(known->agent);
  if (advice == recall_advice::verify)
  {
    ++counters_.verifications;
    header.probe = true;
    monitor_.on_probe(known->agent, now);
  }
  return visit_agent{known->agent, header};
}

// When the service that the weights select is full, the flow goes to the next
// service of the route: refused callers retry at once and would keep the full
// one overloaded.
entry_action entry_core::open_flow(const flow_packet& packet, const route& from,
                                   std::uint8_t stage, time_point now)
{
  const auto flow = packet.from_caller();
  searched_.erase(flow);
  const auto hash = flow_hash(flow);
  const auto services = opening_services(*table_, from, hash);
  if (stage >= services.size())
    return confirmed(now)
               ? entry_action{reset_caller{flow, 0, reset_reason::refused}}
               : entry_action{entry_drop::no_upstream};
  const auto& service = *services[stage];
  auto stops = opening_stops(service, hash, options_.max_opening_stops);
  // An opening packet carries the number of its earlier copies. They were lost,
  // so a retransmission starts at another agent.
  const std::size_t retransmissions = packet.acknowledged % stops.size;
  if (retransmissions > 0)
    avoided_until_[key_of(stops.agents[retransmissions - 1])] =
        now + options_.avoid_duration;
  stops = avoided_last(rotated(stops, retransmissions), now);
  auto header = make_header(service);
  header.stage = stage;
  header.stops = stops;
  // If another stop admits the flow, its found message corrects this entry.
  memory_.put(flow, {stops.agents[0], service.key}, now);
  return visit_agent{stops.agents[0], header};
}

visit_stops entry_core::avoided_last(const visit_stops& stops,
                                     time_point now) const
{
  const auto avoided = [&](const endpoint& agent)
  {
    const auto found = avoided_until_.find(key_of(agent));
    return found != avoided_until_.end() && now < found->second;
  };
  visit_stops out;
  for (std::size_t i = 0; i < stops.size; ++i)
    if (!avoided(stops.agents[i]))
      out.add(stops.agents[i]);
  for (std::size_t i = 0; i < stops.size; ++i)
    out.add(stops.agents[i]);
  return out;
}

entry_action entry_core::search(const flow_packet& packet, const route& from,
                                time_point now)
{
  auto& state = searched_[packet.from_caller()];
  const bool replanned = update_plan(packet, from, state, now);
  if (is_not_found(state, now))
    return reset_if_current(packet, reset_reason::unknown_flow, now, now);
  const bool is_searching = !state.not_found && !state.found &&
                            state.attempts > 0 &&
                            now - state.last <= options_.search_timeout;
  if (is_searching && now - state.last < retry_delay(state))
    return replanned ? restart_walk(packet, state, now)
                     : entry_action{await_search{}};
  if (!is_searching)
    state = {};
  ++counters_.searches;
  counters_.search_retries += is_searching ? 1 : 0;
  state.started = state.last = now;
  ++state.attempts;
  const auto unanswered = state.walk.abandon_round();
  const bool use_probes = is_searching && !unanswered.empty() &&
                          probes_sent_ < options_.max_probes_per_tick;
  if (use_probes)
    return search_with_probes(state, unanswered, now);
  make_plan(packet, from, state, now);
  return visit_next_stages(packet, state, now);
}

void entry_core::make_plan(const flow_packet& packet, const route& from,
                           search_state& state, time_point now)
{
  auto& plan = state.plan;
  // 0 means that an agent did not return the number.
  last_plan_ = last_plan_ == max_plan_number ? 1 : last_plan_ + 1;
  plan.number = last_plan_;
  plan.table = table_;
  plan.unresponsive = monitor_.unresponsive(now);
  plan.stages = search_stages(*table_, from, flow_hash(packet.from_caller()),
                              plan.unresponsive);
  state.walk = stage_walk(plan.stages);
  state.inconclusive = false;
}

// A new table keeps the plan if it changes nothing for this flow; otherwise a
// busy cluster would restart searches for as long as tables change.
bool entry_core::update_plan(const flow_packet& packet, const route& from,
                             search_state& state, time_point now)
{
  auto& plan = state.plan;
  if (plan.table == nullptr || plan.table == table_)
    return false;
  auto stages = search_stages(*table_, from, flow_hash(packet.from_caller()),
                              plan.unresponsive);
  if (!have_same_stops(plan.stages, stages))
  {
    make_plan(packet, from, state, now);
    return true;
  }
  plan.table = table_;
  plan.stages = std::move(stages);
  if (state.not_found)
    state.not_found->table = table_->version();
  return false;
}

// The result of a search by two tables cannot justify a reset.
entry_action entry_core::restart_walk(const flow_packet& packet,
                                      search_state& state, time_point now)
{
  state.inconclusive = true;
  state.last = now;
  return visit_next_stages(packet, state, now);
}

visit_agent entry_core::make_visit(const search_state& state,
                                   std::size_t stage) const
{
  const auto& [service, stops, health, by_packet] = state.plan.stages[stage];
  auto header = make_header(*service);
  header.stops = stops;
  header.locates = !by_packet;
  header.stage = static_cast<std::uint8_t>(stage);
  header.plan = state.plan.number;
  header.inconclusive = state.inconclusive;
  return {stops.agents[0], header};
}

entry_action entry_core::visit_next_stages(const flow_packet& packet,
                                           search_state& state, time_point now)
{
  visit_all round;
  for (const auto stage : state.walk.start_round())
    round.visits.push_back(make_visit(state, stage));
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
    if (probes_sent_ < options_.max_probes_per_tick)
    {
      add_probes(state.plan.stages[stage], now, out);
      state.walk.skip(stage);
    }
  // A probed agent that does not answer may hold the flow.
  state.inconclusive = true;
  for (const auto next : state.walk.start_round())
  {
    ++probes_sent_;
    out.visits.push_back(make_visit(state, next));
  }
  return out;
}

void entry_core::add_probes(const search_stage& stage, time_point now,
                            visit_all& out)
{
  const auto& stops = stage.stops;
  probes_sent_ += stage.by_packet ? stops.size
                                  : (stops.size + questions_per_probe - 1) /
                                        questions_per_probe;
  auto header = make_header(*stage.service);
  header.probe = true;
  header.locates = !stage.by_packet;
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
  if (found == searched_.end() || (found->second.found && header.inconclusive))
    return entry_drop::stale_answer;
  auto& state = found->second;
  const auto& plan = state.plan;
  const bool is_of_this_plan =
      (header.plan == plan.number || header.plan == 0) &&
      header.stage < plan.stages.size() &&
      plan.stages[header.stage].stops == header.stops;
  if (!is_of_this_plan)
    return entry_drop::stale_answer;
  if (update_plan(packet, from, state, now))
    return restart_walk(packet, state, now);
  if (!state.walk.on_missed(header.stage))
    return entry_drop::stale_answer;
  state.last = now;
  state.inconclusive |= header.inconclusive || header.plan == 0;
  add_undecided_stage(header, state);
  return visit_next_stages(packet, state, now);
}

entry_action entry_core::probe_by_packet(const relay_header& header,
                                         const endpoint& agent) const
{
  auto probe = header;
  probe.kind = relay_kind::visit;
  probe.stop = 0;
  probe.stops = {};
  probe.stops.add(agent);
  probe.locates = false;
  probe.undecided = 0;
  return visit_agent{agent, probe};
}

/// The packet visits the agents that could not tell without it.
void entry_core::add_undecided_stage(const relay_header& header,
                                     search_state& state)
{
  auto& stages = state.plan.stages;
  if (header.undecided == 0 || stages.size() >= max_search_stages)
  {
    state.inconclusive |= header.undecided != 0;
    return;
  }
  search_stage added = stages[header.stage];
  added.by_packet = true;
  added.stops = {};
  for (std::size_t i = 0; i < header.stops.size; ++i)
    if ((header.undecided >> i & 1U) != 0)
      added.stops.add(header.stops.agents[i]);
  if (added.stops.size == 0)
    return;
  state.walk.add(added.health);
  stages.push_back(added);
}

entry_action entry_core::on_missing_route(const flow_packet& packet,
                                          time_point now)
{
  // A balancer that has just started soon has a table; the caller may not
  // retransmit for a second.
  if (table_->configuration_version() == 0)
    return await_table{};
  if (!confirmed(now))
    return entry_drop::no_route;
  memory_.erase(packet.from_caller());
  if (packet.opens)
    return reset_caller{packet.from_caller(), 0, reset_reason::no_route};
  return reset_if_current(packet, reset_reason::no_route, now, now);
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
    return reset_caller{flow, packet.acknowledged, reason};
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

entry_action entry_core::on_missed(const relay_header& header,
                                   const endpoint& agent,
                                   const std::optional<flow_packet>& packet,
                                   time_point now)
{
  ++counters_.missed;
  monitor_.on_message(agent);
  newest_seen_ = std::max(newest_seen_, header.configuration);
  if (!packet)
    return count(entry_drop::malformed);
  return count(decide_missed(header, agent, *packet, now));
}

entry_action entry_core::decide_missed(const relay_header& header,
                                       const endpoint& agent,
                                       const flow_packet& packet,
                                       time_point now)
{
  if (header.probe && !header.remembered)
    return header.undecided != 0 ? probe_by_packet(header, agent)
                                 : entry_action{entry_drop::probe_missed};
  const auto* from = table_->find_route(packet.destination);
  if (from == nullptr)
    return on_missing_route(packet, now);
  if (packet.opens)
  {
    if (header.reason != miss_reason::refused || !confirmed(now) ||
        header.table != table_->version().index)
      return entry_drop::newer_table;
    return open_flow(packet, *from, static_cast<std::uint8_t>(header.stage + 1),
                     now);
  }
  if (!header.remembered)
    return continue_search(header, packet, *from, now);
  memory_.erase(packet.from_caller(), agent);
  if (packet.resets)
    return entry_drop::unknown_reset;
  return search(packet, *from, now);
}

void entry_core::on_found(const relay_header& header, const endpoint& agent,
                          const flow_key& flow, time_point now)
{
  ++counters_.found;
  monitor_.on_message(agent);
  newest_seen_ = std::max(newest_seen_, header.configuration);
  avoided_until_.erase(key_of(agent));
  // The search may still go on: the report is wrong if the agent's upstream
  // then returns the packet.
  if (const auto search = searched_.find(flow); search != searched_.end())
  {
    search->second.found = true;
    search->second.not_found.reset();
  }
  memory_.put(flow, {agent, header.service}, now);
}

bool entry_core::would_search(const flow_packet& packet) const
{
  return !packet.opens && !packet.resets && !packet.bounced &&
         !memory_.contains(packet.from_caller()) &&
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
  return now - found->second.last < retry_delay(found->second)
             ? search_progress::waiting
             : search_progress::overdue;
}

void entry_core::on_tick(time_point now)
{
  probes_sent_ = 0;
  monitor_.on_tick(now);
  memory_.on_tick(now);
  for (auto it = searched_.begin(); it != searched_.end();)
    it = now - it->second.last > options_.search_timeout ? searched_.erase(it)
                                                         : std::next(it);
  for (auto it = avoided_until_.begin(); it != avoided_until_.end();)
    it = it->second <= now ? avoided_until_.erase(it) : std::next(it);
}

entry_action entry_core::count(entry_action action)
{
  if (std::holds_alternative<visit_agent>(action))
    ++counters_.visits;
  else if (const auto* all = std::get_if<visit_all>(&action))
    counters_.visits += all->visits.size();
  else if (const auto* reset = std::get_if<reset_caller>(&action))
    ++counters_.resets[static_cast<std::size_t>(reset->reason)];
  else if (std::holds_alternative<await_search>(action))
    ++counters_.joined;
  else if (const auto* drop = std::get_if<entry_drop>(&action))
    ++counters_.drops[static_cast<std::size_t>(*drop)];
  return action;
}

} // namespace toucanmill
