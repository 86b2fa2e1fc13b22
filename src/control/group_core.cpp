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

} // namespace toucanmill
