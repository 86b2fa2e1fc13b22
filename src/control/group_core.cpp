#include <toucanmill/control/group_core.hpp>

#include <algorithm>

namespace toucanmill
{

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

std::size_t count_voters(const std::vector<replica_address>& group)
{
  return static_cast<std::size_t>(
      std::count_if(group.begin(), group.end(),
                    [](const replica_address& member)
                    {
                      return member.voter;
                    }));
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

group_options make_group_options(std::size_t tolerated_losses)
{
  group_options options;
  options.least_voters =
      std::max(options.least_voters, 2 * tolerated_losses + 1);
  return options;
}

join_step plan_join(const replicated_log_status& status,
                    const join_request& joining, const group_options& options)
{
  const auto& self = joining.replica;
  if (std::find(status.removed.begin(), status.removed.end(), self.id) !=
      status.removed.end())
    return {replica_standing::removed, {}};
  auto next = status.group;
  if (const auto same_id = std::find_if(next.begin(), next.end(),
                                        [&](const replica_address& member)
                                        {
                                          return member.id == self.id;
                                        });
      same_id != next.end())
  {
    if (same_id->voter && !joining.stores &&
        count_live(status, options) > options.least_voters)
      return {replica_standing::waiting, without(next, self.id)};
    if (same_id->voter)
      return {replica_standing::voter, {}};
    if (!joining.stores || count_voters(next) >= options.most_voters)
      return {replica_standing::learner, {}};
    same_id->voter = true;
    return {replica_standing::learner, std::move(next)};
  }
  const auto same_place = std::find_if(next.begin(), next.end(),
                                       [&](const replica_address& member)
                                       {
                                         return member.rpc == self.rpc;
                                       });
  if (same_place != next.end())
    next.erase(same_place);
  else
    next.push_back({self.id, self.rpc, false});
  return {replica_standing::waiting, std::move(next)};
}

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
