#include <toucanmill/relay/entry_core.hpp>

#include <algorithm>

#include <toucanmill/table/flow_hash.hpp>

namespace toucanmill
{

namespace
{

/// The stops from `first` on, then those before it.
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
  }
  return "unknown";
}

entry_core::entry_core(entry_options options) : options_(options) {}

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

relay_header entry_core::make_header(const relay_service& service,
                                     std::uint64_t hash) const
{
  relay_header header;
  header.service = service.key;
  header.bucket =
      static_cast<std::uint16_t>(bucket_of(hash, service.table.buckets.size()));
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
    return without_route(packet, now);
  if (packet.opens)
    return open(packet, *from, 0, now);
  const auto flow = packet.from_caller();
  if (const auto found = memory_.find(flow); found != memory_.end())
  {
    found->second.used = now;
    relay_header header;
    header.service = found->second.service;
    header.configuration = table_->configuration_version();
    header.balancer = options_.self;
    header.remembered = true;
    header.stops.add(found->second.agent);
    return visit_agent{found->second.agent, header};
  }
  if (packet.resets)
    return entry_drop::unknown_reset;
  return search(packet, *from, now);
}

// Where the service that the weights select is full, the next one of the route
// takes the flow: callers that are refused come back at once and would keep the
// full one overloaded.
entry_action entry_core::open(const flow_packet& packet, const route& from,
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
  auto stops = opening_stops(service, hash, options_.opening_stops);
  // The number of earlier copies says how many attempts were lost, so a copy
  // starts at another agent than they did.
  const std::size_t copies = packet.acknowledged % stops.size;
  if (copies > 0)
    doubted_until_[key_of(stops.agents[copies - 1])] = now + options_.doubt;
  stops = by_doubt(rotated(stops, copies), now);
  auto header = make_header(service, hash);
  header.stage = stage;
  header.stops = stops;
  // Another stop that admits the flow says so with found.
  if (memory_.size() < options_.memory)
    memory_[flow] = {stops.agents[0], service.key, now};
  return visit_agent{stops.agents[0], header};
}

visit_stops entry_core::by_doubt(const visit_stops& stops, time_point now) const
{
  const auto doubted = [&](const endpoint& agent)
  {
    const auto found = doubted_until_.find(key_of(agent));
    return found != doubted_until_.end() && now < found->second;
  };
  visit_stops out;
  for (std::size_t i = 0; i < stops.size; ++i)
    if (!doubted(stops.agents[i]))
      out.add(stops.agents[i]);
  for (std::size_t i = 0; i < stops.size; ++i)
    out.add(stops.agents[i]);
  return out;
}

entry_action entry_core::search(const flow_packet& packet, const route& from,
                                time_point now)
{
  auto& state = searched_[packet.from_caller()];
  if (is_lost(state, now))
    return reset_if_current(packet, reset_reason::unknown_flow, now, now);
  ++counters_.searches;
  const bool again = !state.lost && state.attempts > 0 &&
                     now - state.last <= options_.search_patience;
  if (!again)
    state = {};
  state.last = now;
  ++state.attempts;
  const bool past = state.attempts % 2 == 0 && probes_sent_ < options_.probes;
  return past ? search_past(packet, from, state.stage)
              : search_from(packet, from, 0, false, now);
}

entry_action entry_core::search_from(const flow_packet& packet,
                                     const route& from, std::uint8_t stage,
                                     bool doubtful, time_point now)
{
  const auto hash = flow_hash(packet.from_caller());
  const auto stages = search_stages(*table_, from, hash);
  if (stage >= stages.size())
    return exhausted(packet, doubtful || stages.size() == max_search_stages,
                     now);
  auto header = make_header(*stages[stage].service, hash);
  header.stops = stages[stage].stops;
  header.stage = stage;
  header.doubtful = doubtful;
  if (const auto found = searched_.find(packet.from_caller());
      found != searched_.end())
    found->second.stage = stage;
  return visit_agent{header.stops.agents[0], header};
}

// Copies to every holder would fill the link of a small balancer when the flows
// of a lost agent search: with 50 holders each is 20 KB.
entry_action entry_core::search_past(const flow_packet& packet,
                                     const route& from, std::uint8_t stage)
{
  ++counters_.wide_searches;
  const auto hash = flow_hash(packet.from_caller());
  const auto stages = search_stages(*table_, from, hash);
  if (stage >= stages.size())
    return entry_drop::no_upstream;
  visit_all out;
  auto header = make_header(*stages[stage].service, hash);
  header.probe = true;
  const auto& stops = stages[stage].stops;
  probes_sent_ += stops.size;
  for (std::size_t i = 0; i < stops.size; ++i)
  {
    header.stops = {};
    header.stops.add(stops.agents[i]);
    out.visits.push_back({stops.agents[i], header});
  }
  if (stage + 1U < stages.size())
  {
    auto rest = make_header(*stages[stage + 1U].service, hash);
    rest.stops = stages[stage + 1U].stops;
    rest.stage = static_cast<std::uint8_t>(stage + 1);
    rest.doubtful = true;
    searched_[packet.from_caller()].stage = rest.stage;
    out.visits.push_back({rest.stops.agents[0], rest});
  }
  return out;
}

entry_action entry_core::without_route(const flow_packet& packet,
                                       time_point now)
{
  if (!confirmed(now) || table_->configuration_version() == 0)
    return entry_drop::no_route;
  memory_.erase(packet.from_caller());
  if (packet.opens)
    return reset_caller{packet.from_caller(), 0, reset_reason::no_route};
  return reset_if_current(packet, reset_reason::no_route, now, now);
}

bool entry_core::is_lost(const search_state& state, time_point now) const
{
  return state.lost && state.lost->table == table_->version() &&
         now - state.lost->at <= options_.search_patience;
}

// Another balancer may have opened the flow by a table that this one does not
// have yet, on an upstream or a route that is new. A confirmation that was
// asked for after the packet arrived excludes that.
entry_action entry_core::reset_if_current(const flow_packet& packet,
                                          reset_reason reason, time_point since,
                                          time_point now)
{
  const auto flow = packet.from_caller();
  auto& state = searched_[flow];
  state.last = now;
  if (is_lost(state, now))
    since = state.lost->at;
  if (confirmed(now) && *confirmed_at_ >= since)
  {
    searched_.erase(flow);
    return reset_caller{flow, packet.acknowledged, reason};
  }
  state.lost = verdict{table_->version(), since};
  ++counters_.awaited;
  return await_table{};
}

entry_action entry_core::exhausted(const flow_packet& packet, bool doubtful,
                                   time_point now)
{
  if (doubtful || !confirmed(now))
    return entry_drop::unconfirmed;
  const auto found = searched_.find(packet.from_caller());
  return reset_if_current(packet, reset_reason::unknown_flow,
                          found != searched_.end() ? found->second.last : now,
                          now);
}

entry_action entry_core::on_missed(const relay_header& header,
                                   const endpoint& agent,
                                   const std::optional<flow_packet>& packet,
                                   time_point now)
{
  ++counters_.missed;
  newest_seen_ = std::max(newest_seen_, header.configuration);
  if (!packet)
    return count(entry_drop::malformed);
  return count(missed(header, agent, *packet, now));
}

entry_action entry_core::missed(const relay_header& header,
                                const endpoint& agent,
                                const flow_packet& packet, time_point now)
{
  if (header.probe)
    return entry_drop::probe_missed;
  const auto flow = packet.from_caller();
  const auto* from = table_->find_route(packet.destination);
  if (from == nullptr)
    return without_route(packet, now);
  if (packet.opens)
  {
    if (header.reason != miss_reason::refused || !confirmed(now) ||
        header.table != table_->version().index)
      return entry_drop::newer_table;
    return open(packet, *from, static_cast<std::uint8_t>(header.stage + 1),
                now);
  }
  // The stages of another table have another order: nothing that was asked
  // counts, and a reset would not be certain.
  if (!header.remembered && header.table != table_->version().index)
    return search_from(packet, *from, 0, true, now);
  if (!header.remembered)
    return search_from(packet, *from,
                       static_cast<std::uint8_t>(header.stage + 1),
                       header.doubtful, now);
  if (const auto found = memory_.find(flow);
      found != memory_.end() && found->second.agent == agent)
    memory_.erase(found);
  if (packet.resets)
    return entry_drop::unknown_reset;
  return search(packet, *from, now);
}

void entry_core::on_found(const relay_header& header, const endpoint& agent,
                          const flow_key& flow, time_point now)
{
  ++counters_.found;
  newest_seen_ = std::max(newest_seen_, header.configuration);
  doubted_until_.erase(key_of(agent));
  searched_.erase(flow);
  if (memory_.size() >= options_.memory && memory_.count(flow) == 0)
    return;
  memory_[flow] = {agent, header.service, now};
}

void entry_core::on_tick(time_point now)
{
  probes_sent_ = 0;
  for (auto it = memory_.begin(); it != memory_.end();)
    it = now - it->second.used > options_.memory_limit ? memory_.erase(it)
                                                       : std::next(it);
  for (auto it = searched_.begin(); it != searched_.end();)
    it = now - it->second.last > options_.search_patience ? searched_.erase(it)
                                                          : std::next(it);
  for (auto it = doubted_until_.begin(); it != doubted_until_.end();)
    it = it->second <= now ? doubted_until_.erase(it) : std::next(it);
}

entry_action entry_core::count(entry_action action)
{
  if (std::holds_alternative<visit_agent>(action))
    ++counters_.visits;
  else if (const auto* all = std::get_if<visit_all>(&action))
    counters_.visits += all->visits.size();
  else if (const auto* reset = std::get_if<reset_caller>(&action))
    ++counters_.resets[static_cast<std::size_t>(reset->reason)];
  else if (const auto* drop = std::get_if<entry_drop>(&action))
    ++counters_.drops[static_cast<std::size_t>(*drop)];
  return action;
}

} // namespace toucanmill
