// The list of open flows with which a process of relay_core follows another.

#include <toucanmill/relay/relay_core.hpp>

#include <iterator>

namespace toucanmill
{

flow_list relay_core::list_flows() const
{
  flow_list list;
  const bool listed_are_certain = listed_of_ == upstream_start{};
  if (upstream_.ended() || !upstream_.is_start_certain() || !listed_are_certain)
    return list;
  list.of = upstream_.start();
  const auto accepted_until = upstream_.accepted_until();
  for (const auto& [flow, state] : flows_)
    if (state.open && !state.ended && state.seen_since <= accepted_until)
      list.flows.push_back({flow, state.acknowledged});
  return list;
}

void relay_core::restore_flows(const flow_list& kept, time_point now,
                               relay_sink& sink)
{
  listed_of_ = kept.of;
  for (const auto& [flow, acknowledged] : kept.flows)
  {
    if (returned_.contains(flow))
      continue;
    const auto [found, added] = flows_.try_emplace(flow);
    if (!added)
      continue;
    auto& state = found->second;
    state.listed = state.answered = state.open = true;
    state.acknowledged = acknowledged;
    state.seen_since = state.used = now;
  }
  reset_listed(now, sink);
  if (knows_all_flows(now))
    forget_listed(now);
}

void relay_core::forget_listed(time_point now)
{
  for (auto it = flows_.begin(); it != flows_.end();)
  {
    if (it->second.listed)
      release(it->first, it->second, now);
    it = it->second.listed ? flows_.erase(it) : std::next(it);
  }
}

/// The listed flows ended if the upstream has started since. An announcement of
/// an earlier start may come late, and proves nothing.
void relay_core::reset_listed(time_point now, relay_sink& sink)
{
  const auto present = upstream_.start();
  if (listed_of_ == upstream_start{} || present == upstream_start{})
    return;
  const bool same = present == listed_of_;
  const bool both_born = present.born_ms != 0 && listed_of_.born_ms != 0;
  // A single announcement without a birth may be of another writer.
  const bool may_be_foreign = listed_of_.born_ms != 0 && present.born_ms == 0 &&
                              !upstream_.is_start_repeated();
  const bool is_newer = both_born
                            ? present.born_ms > listed_of_.born_ms
                            : upstream_.is_start_certain() && !may_be_foreign;
  if (!same && !is_newer)
    return;
  listed_of_ = {};
  if (same)
    return;
  for (auto it = flows_.begin(); it != flows_.end();)
    it = it->second.listed ? reset_flow(it, now, sink) : std::next(it);
}

} // namespace toucanmill
