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
                              const group_options& options,
                              replica_id excluded = {})
{
  std::size_t live = 0;
  for (const auto& member : status.group)
    if (member.voter && !(member.id == excluded) &&
        contact_age_of(status, member.id) < options.voter_silence_timeout)
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

/// Voters but those whose endpoint has passed to `replica`.
std::size_t count_other_voters(const std::vector<replica_address>& group,
                               const replica_address& replica)
{
  return static_cast<std::size_t>(
      std::count_if(group.begin(), group.end(),
                    [&](const replica_address& member)
                    {
                      return member.voter && member.rpc != replica.rpc;
                    }));
}

/// The learner, or else the voter, that used the endpoint before.
const replica_address*
find_predecessor(const std::vector<replica_address>& group,
                 const replica_address& replica)
{
  const replica_address* found = nullptr;
  for (const auto& member : group)
    if (member.rpc == replica.rpc && !(member.id == replica.id) &&
        (found == nullptr || found->voter))
      found = &member;
  return found;
}

/// The voter that used the endpoint before, if the replica can take its place
/// in one change, which all other voters must have confirmed.
std::optional<replica_id>
find_replaceable_voter(const replicated_log_status& status,
                       const replica_address& replica,
                       const group_options& options)
{
  const auto* const lost = find_predecessor(status.group, replica);
  if (lost == nullptr || !lost->voter ||
      count_live_voters(status, options, lost->id) !=
          count_other_voters(status.group, replica))
    return std::nullopt;
  return lost->id;
}

/// Whether another voter has taken over the member's endpoint.
bool is_replaced(const replicated_log_status& status,
                 const replica_address& member)
{
  return std::any_of(status.group.begin(), status.group.end(),
                     [&](const replica_address& other)
                     {
                       return other.voter && other.rpc == member.rpc &&
                              contact_age_of(status, other.id) <
                                  contact_age_of(status, member.id);
                     });
}

} // namespace

bool is_silent(const replicated_log_status& status, replica_id member,
               duration silence)
{
  return contact_age_of(status, member) >= silence;
}

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
    if (!joining.persists_log ||
        count_other_voters(next, self) >= options.max_voters)
      return {replica_standing::learner, {}};
    same_id->voter = true;
    if (const auto lost = find_replaceable_voter(status, self, options))
      next = without(next, *lost);
    return {replica_standing::learner, std::move(next)};
  }
  const auto* const predecessor = find_predecessor(next, self);
  const bool may_go = predecessor != nullptr &&
                      (!predecessor->voter ||
                       count_live_voters(status, options, predecessor->id) >=
                           options.min_voters);
  if (may_go)
    next = without(next, predecessor->id);
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
    const bool silent = member.voter
                            ? contact_age >= options.voter_silence_timeout &&
                                  live >= options.min_voters
                            : contact_age >= options.learner_silence_timeout;
    if (silent || is_replaced(status, member))
      return without(status.group, member.id);
  }
  return std::nullopt;
}

bool awaits_disks(const replicated_log_status& status, duration led,
                  duration unchanged, const group_options& options)
{
  const auto in_memory = [&status](const replica_address& member)
  {
    return std::count(status.in_memory.begin(), status.in_memory.end(),
                      member.id) != 0;
  };
  std::size_t voters = 0;
  bool forgetful_voter = false;
  bool learner_with_disk = false;
  for (const auto& member : status.group)
  {
    voters += member.voter ? 1 : 0;
    forgetful_voter |= member.voter && in_memory(member);
    learner_with_disk |= !member.voter && !in_memory(member);
  }
  if (!forgetful_voter || led >= options.disk_vote_time)
    return false;
  return unchanged < options.disk_join_time || learner_with_disk ||
         voters > options.min_voters;
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
