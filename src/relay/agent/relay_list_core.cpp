// The list of open flows with which a process of relay_core follows another.

#include <toucanmill/relay/relay_core.hpp>

#include <algorithm>
#include <iterator>

namespace toucanmill
{

flow_list relay_core::list_flows(time_point now) const
{
  flow_list list;
  const bool listed_are_certain = listed_of_ == upstream_start{};
  if (upstream_.ended() || !upstream_.is_start_certain() || !listed_are_certain)
    return list;
  list.of = upstream_.start();
  const bool is_last = knows_last_flows(now);
  if (is_last)
    list.last_announcement = upstream_.latest_announcement();
  const auto accepted_until = upstream_.accepted_until();
  for (const auto& [flow, state] : flows_)
  {
    const bool is_open = state.open && state.seen_since <= accepted_until;
    if (!state.ended && (is_last || is_open))
      list.flows.push_back({flow, state.acknowledged});
  }
  return list;
}

/// Whether the agent knows all flows that its upstream may hold, also those
/// that are not open yet, and admits no more. A flow that it saw first after
/// the latest announcement may be of another start.
bool relay_core::knows_last_flows(time_point now) const
{
  const auto accepted_until = upstream_.accepted_until();
  return stopping_ && knows_all_flows(now) &&
         std::all_of(flows_.begin(), flows_.end(),
                     [accepted_until](const auto& item)
                     {
                       return item.second.seen_since <= accepted_until;
                     });
}

/// An agent admits no flow before it has got an announcement. So if none comes
/// between the latest one that an earlier process got and the first one that
/// this process got, no process has admitted a flow since the list was made,
/// whatever processes there were and whichever of the lists this one is.
void relay_core::inherit_flows()
{
  if (inheritable_ && first_announced_ && *inheritable_ == *first_announced_)
    inherits_all_flows_ = true;
}

void relay_core::restore_flows(const flow_list& kept, time_point now,
                               relay_sink& sink)
{
  const bool knew_all_flows = knows_all_flows(now);
  listed_of_ = kept.of;
  if (kept.last_announcement != 0)
    inheritable_ = {kept.of, kept.last_announcement + 1};
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
  if (knew_all_flows)
    forget_listed(now);
  inherit_flows();
}

/// Whether the next announcement will very likely tell that the upstream does
/// not hold the flow: its packet would most likely reach a wrong upstream.
bool relay_core::is_undecided_for_now(const flow_key& flow,
                                      time_point now) const
{
  return inheritable_ && !first_announced_ && flows_.count(flow) == 0 &&
         now - options_.started <=
             2 * options_.upstream.announcement_interval();
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
