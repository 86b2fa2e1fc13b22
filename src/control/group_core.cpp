#include <toucanmill/control/group_core.hpp>

#include <algorithm>

namespace toucanmill
{

join_step plan_join(const std::vector<replica_address>& group,
                    const std::vector<replica_id>& removed,
                    const replica_address& joining)
{
  if (std::find(removed.begin(), removed.end(), joining.id) != removed.end())
    return {replica_standing::removed, {}};
  auto next = group;
  const auto same_id = std::find_if(next.begin(), next.end(),
                                    [&](const replica_address& member)
                                    {
                                      return member.id == joining.id;
                                    });
  if (same_id != next.end() && same_id->voter)
    return {replica_standing::voter, {}};
  if (same_id != next.end())
  {
    same_id->voter = true;
    return {replica_standing::learner, std::move(next)};
  }
  const auto same_place = std::find_if(next.begin(), next.end(),
                                       [&](const replica_address& member)
                                       {
                                         return member.rpc == joining.rpc;
                                       });
  if (same_place != next.end())
    next.erase(same_place);
  else
    next.push_back({joining.id, joining.rpc, false});
  return {replica_standing::waiting, std::move(next)};
}

namespace
{

duration silence_of(const replicated_log_status& status, replica_id id)
{
  for (const auto& [member, silent] : status.silences)
    if (member == id)
      return silent;
  return duration{0};
}

std::size_t count_live(const replicated_log_status& status,
                       const group_options& options)
{
  std::size_t live = 0;
  for (const auto& member : status.group)
    if (member.voter && silence_of(status, member.id) < options.silence_limit)
      ++live;
  return live;
}

std::vector<replica_address> without(const std::vector<replica_address>& group,
                                     replica_id id)
{
  auto next = group;
  next.erase(std::remove_if(next.begin(), next.end(),
                            [&](const replica_address& member)
                            {
                              return member.id == id;
                            }),
             next.end());
  return next;
}

} // namespace

std::optional<std::vector<replica_address>>
plan_removal(const replicated_log_status& status, const group_options& options)
{
  const auto live = count_live(status, options);
  for (const auto& member : status.group)
  {
    const auto silent = silence_of(status, member.id);
    const bool leaves = member.voter ? silent >= options.silence_limit &&
                                           live >= options.least_voters
                                     : silent >= options.learner_limit;
    if (leaves)
      return without(status.group, member.id);
  }
  return std::nullopt;
}

std::optional<std::vector<replica_address>>
plan_leave(const replicated_log_status& status, replica_id leaving,
           const group_options& options)
{
  const bool member = std::any_of(status.group.begin(), status.group.end(),
                                  [&](const replica_address& item)
                                  {
                                    return item.id == leaving && item.voter;
                                  });
  // The one that leaves is still live.
  if (!member || count_live(status, options) <= options.least_voters)
    return std::nullopt;
  return without(status.group, leaving);
}

} // namespace toucanmill
