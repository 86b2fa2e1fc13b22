#include <toucanmill/relay/entry_core.hpp>

#include <algorithm>

#include <toucanmill/table/flow_hash.hpp>

namespace toucanmill
{

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
  case reset_reason::evacuated:
    return "evacuated";
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
    : options_(options), memory_(options.memory), monitor_(options.monitor),
      probes_(options.max_probes_per_tick)
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
    return place(packet, *from, now);
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
  const auto advice =
      memory_.advise(flow, packet, now, monitor_.answer_timeout());
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

// An opening packet carries the number of its earlier copies. The first one may
// use the address and port of an ended flow again.
entry_action entry_core::place(const flow_packet& packet, const route& from,
                               time_point now)
{
  if (packet.acknowledged == 0)
    memory_.erase(packet.from_caller());
  else if (const auto visit = visit_reported(packet, from, now))
    return *visit;
  return open_flow(packet, from, 0, now);
}

/// A visit to the agent that has reported the flow: another one would open it a
/// second time. None if there is no such agent, or it seems to be dead.
std::optional<visit_agent> entry_core::visit_reported(const flow_packet& packet,
                                                      const route& from,
                                                      time_point now)
{
  const auto flow = packet.from_caller();
  const auto known = memory_.find(flow, now);
  if (!known || !known->reported)
    return std::nullopt;
  const auto* target = live_holder(*known, from, flow_hash(flow), now);
  if (target == nullptr)
    return std::nullopt;
  searched_.erase(flow);
  ++counters_.reported_copies;
  relay_header header;
  header.service = known->service;
  header.configuration = table_->configuration_version();
  header.table = table_->version().index;
  header.balancer = options_.self;
  header.remembered = true;
  header.stops.add(known->agent);
  header.near_stops = options_.placement.prefers(target->data_centre) ? 1 : 0;
  return visit_agent{known->agent, header};
}

const holder* entry_core::live_holder(const remembered_agent& known,
                                      const route& from, std::uint64_t hash,
                                      time_point now) const
{
  if (monitor_.unresponsive(now).count(known.agent) != 0)
    return nullptr;
  for (const auto* service : possible_services(*table_, from, hash))
    if (service->key == known.service)
      for (const auto& candidate : service->table.holders)
        if (candidate.agent == known.agent)
          return candidate.suspect ? nullptr : &candidate;
  return nullptr;
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
  {
    const bool evacuated = services.empty() && is_evacuated(*table_, from);
    const auto reason =
        evacuated ? reset_reason::evacuated : reset_reason::refused;
    return confirmed(now) ? entry_action{reset_caller{flow, 0, reason}}
                          : entry_action{entry_drop::no_upstream};
  }
  const auto& service = *services[stage];
  const auto placed = opening_stops(service, hash, options_.max_opening_stops,
                                    options_.placement);
  // Earlier copies were lost, so a further one starts at another agent.
  const std::size_t copy = packet.acknowledged % placed.stops.size;
  if (copy > 0)
    avoided_until_[key_of(placed.stops.agents[copy - 1])] =
        now + options_.avoid_duration;
  const auto [stops, near_stops] =
      reordered(placed, copy, avoided_of(placed.stops, now));
  auto header = make_header(service);
  header.stage = stage;
  header.stops = stops;
  header.near_stops = near_stops;
  if (packet.acknowledged == 0 && stage == 0)
    count_new_flow(service, stops.agents[0]);
  // If another stop admits the flow, its found message corrects this entry.
  memory_.put(flow, {stops.agents[0], service.key}, now);
  return visit_agent{stops.agents[0], header};
}

void entry_core::count_new_flow(const relay_service& service,
                                const endpoint& first)
{
  const auto own = options_.placement.data_centre;
  const auto& holders = service.table.holders;
  const bool is_near =
      own != 0 && std::any_of(holders.begin(), holders.end(),
                              [&](const holder& value)
                              {
                                return value.agent == first &&
                                       value.data_centre == own;
                              });
  ++(is_near ? counters_.near_flows : counters_.far_flows);
}

agent_set entry_core::avoided_of(const visit_stops& stops, time_point now) const
{
  agent_set avoided;
  for (std::size_t i = 0; i < stops.size; ++i)
    if (const auto found = avoided_until_.find(key_of(stops.agents[i]));
        found != avoided_until_.end() && now < found->second)
      avoided.insert(stops.agents[i]);
  return avoided;
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

entry_action entry_core::on_missed(const relay_header& header,
                                   const endpoint& agent,
                                   const std::optional<flow_packet>& packet,
                                   time_point now, bool may_search)
{
  ++counters_.missed;
  monitor_.on_answer(agent, now);
  newest_seen_ = std::max(newest_seen_, header.configuration);
  // An answer without a packet may come after the packet was given up.
  if (!packet)
    return count(header.locates ? entry_drop::stale_answer
                                : entry_drop::malformed);
  return count(decide_missed(header, agent, *packet, now, may_search));
}

entry_action entry_core::decide_missed(const relay_header& header,
                                       const endpoint& agent,
                                       const flow_packet& packet,
                                       time_point now, bool may_search)
{
  const auto* from = table_->find_route(packet.destination);
  if (header.reason == miss_reason::unknown_flow && !packet.opens)
  {
    record_denials(header, packet.from_caller(), now);
    if (from != nullptr)
      if (const auto reset = reset_denied(packet, *from, now))
        return *reset;
  }
  if (header.probe && !header.remembered)
  {
    const auto visit = visit_undecided(header, packet.from_caller(), now);
    return visit ? entry_action{*visit}
                 : entry_action{entry_drop::probe_missed};
  }
  // Another agent admitted another copy, and the caller uses the flow.
  if (packet.opens && memory_.has_data(packet.from_caller()))
    return entry_drop::stale_answer;
  if (from == nullptr)
    return on_missing_route(packet, now);
  if (packet.opens && header.remembered)
  {
    // The agent that had reported the flow does not hold it any more.
    memory_.erase(packet.from_caller(), agent);
    return open_flow(packet, *from, 0, now);
  }
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
  return may_search ? search(packet, *from, now) : await_search{};
}

void entry_core::on_found(const relay_header& header, const endpoint& agent,
                          const flow_key& flow, time_point now)
{
  ++counters_.found;
  monitor_.on_answer(agent, now);
  newest_seen_ = std::max(newest_seen_, header.configuration);
  avoided_until_.erase(key_of(agent));
  // The search may still go on: the report is wrong if the agent's upstream
  // then returns the packet.
  if (const auto search = searched_.find(flow); search != searched_.end())
  {
    if (!header.probe)
      measure_answer(header, search->second, now);
    search->second.found = true;
    search->second.not_found.reset();
  }
  memory_.put(flow, {agent, header.service, true}, now);
}

void entry_core::on_tick(time_point now)
{
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
