#include <toucanmill/control/group_core.hpp>

#include <algorithm>

namespace toucanmill
{

namespace
{

duration contact_age_of(const replicated_log_status& status, replica_id id)
{
  for (const auto& [member, age] : status.contact_ages)
    if (member == id)
      return age;
  return duration{0};
}

std::size_t count_live_voters(const replicated_log_status& status,
                              const group_options& options)
{
  std::size_t live = 0;
  for (const auto& member : status.group)
    if (member.voter &&
        contact_age_of(status, member.id) < options.voter_silence_timeout)
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
  options.min_voters = std::max(options.min_voters, 2 * tolerated_losses + 1);
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
    if (same_id->voter && !joining.persists_log &&
        count_live_voters(status, options) > options.min_voters)
      return {replica_standing::waiting, without(next, self.id)};
    if (same_id->voter)
      return {replica_standing::voter, {}};
    if (!joining.persists_log || count_voters(next) >= options.max_voters)
      return {replica_standing::learner, {}};
    same_id->voter = true;
    return {replica_standing::learner, std::move(next)};
  }
  const auto same_endpoint = std::find_if(next.begin(), next.end(),
                                          [&](const replica_address& member)
                                          {
                                            return member.rpc == self.rpc;
                                          });
  if (same_endpoint != next.end())
    next.erase(same_endpoint);
  else
    next.push_back({self.id, self.rpc, false});
  return {replica_standing::waiting, std::move(next)};
}

std::optional<std::vector<replica_address>>
plan_removal(const replicated_log_status& status, const group_options& options)
{
  const auto live = count_live_voters(status, options);
  for (const auto& member : status.group)
  {
    const auto contact_age = contact_age_of(status, member.id);
    const bool leaves = member.voter
                            ? contact_age >= options.voter_silence_timeout &&
                                  live >= options.min_voters
                            : contact_age >= options.learner_silence_timeout;
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
  // The leaving voter is still counted as live.
  if (!member || count_live_voters(status, options) <= options.min_voters)
    return std::nullopt;
  return without(status.group, leaving);
}

} // namespace toucanmill
