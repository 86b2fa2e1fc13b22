#ifndef TOUCANMILL_CONTROL_GROUP_CORE_HPP
#define TOUCANMILL_CONTROL_GROUP_CORE_HPP

#include <optional>
#include <vector>

#include <toucanmill/base/time.hpp>
#include <toucanmill/log/types.hpp>

namespace toucanmill
{

/// What a control instance is in its group.
enum class replica_standing : std::uint8_t
{
  waiting, ///< no member yet; asks again
  learner, ///< receives the log, does not vote
  voter,
  removed, ///< must clear its data folder and join under a new id
};

/// A request to join, as the leader sees it: where the asking instance stands,
/// and the next group on its way to a voter, if there is a step to make.
struct join_step
{
  replica_standing standing = replica_standing::waiting;
  std::optional<std::vector<replica_address>> next;
};

/// The group changes by one instance at a time: an earlier id at the same
/// address leaves first, since its disk is gone; then the instance becomes a
/// learner, then a voter.
/// `removed` lists ids that the group will not take again.
join_step plan_join(const std::vector<replica_address>& group,
                    const std::vector<replica_id>& removed,
                    const replica_address& joining);

} // namespace toucanmill

#endif
