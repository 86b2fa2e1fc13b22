// The routes that lead to the agent's service, and what their callers expect.

#include <toucanmill/relay/relay_core.hpp>

#include <algorithm>

namespace toucanmill
{

namespace
{

/// Part of the time limit that serves as objective where none is declared.
constexpr int limit_parts_for_objective = 5;

} // namespace

void relay_core::set_configuration(const configuration& declared)
{
  if (declared.version <= configuration_)
    return;
  configuration_ = declared.version;
  newest_seen_ = std::max(newest_seen_, configuration_);
  routes_.clear();
  for (const auto& item : declared.routes)
    if (opens_flows(item.targets))
      routes_[key_of(item.address)] =
          terms_of(item.objectives, item.timeout_ms);
}

void relay_core::change_routes(const route_changes& changes)
{
  if (changes.version <= configuration_)
    return;
  configuration_ = changes.version;
  newest_seen_ = std::max(newest_seen_, configuration_);
  if (changes.whole)
    routes_.clear();
  for (const auto& address : changes.removed)
    routes_.erase(key_of(address));
  for (const auto& group : changes.changed)
    for (const auto& address : group.addresses)
      if (opens_flows(group.targets))
        routes_[key_of(address)] = terms_of(group.objectives, group.timeout_ms);
      else
        routes_.erase(key_of(address));
}

bool relay_core::opens_flows(const std::vector<route_target>& targets) const
{
  return std::any_of(targets.begin(), targets.end(),
                     [&](const route_target& target)
                     {
                       return target.weight > 0 &&
                              target.service == options_.upstream.service;
                     });
}

bool relay_core::route_allows(const endpoint& address) const
{
  return routes_.count(key_of(address)) != 0;
}

waiting_terms relay_core::terms_of(const route_objectives& objectives,
                                   std::uint32_t timeout_ms) const
{
  waiting_terms terms;
  terms.time_limit = timeout_ms > 0 ? std::chrono::milliseconds(timeout_ms)
                                    : options_.default_time_limit;
  terms.objective = objectives.latency_ms > 0
                        ? std::chrono::milliseconds(objectives.latency_ms)
                        : terms.time_limit / limit_parts_for_objective;
  terms.priority = objectives.priority;
  return terms;
}

waiting_terms relay_core::terms_of(const endpoint& address) const
{
  const auto found = routes_.find(key_of(address));
  return found != routes_.end() ? found->second : terms_of({}, 0);
}

} // namespace toucanmill
