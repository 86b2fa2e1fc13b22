#ifndef TOUCANMILL_CONTROL_GROUP_CORE_HPP
#define TOUCANMILL_CONTROL_GROUP_CORE_HPP

#include <optional>
#include <vector>

#include <toucanmill/base/time.hpp>
#include <toucanmill/log/replicated_log.hpp>
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

/// An instance that wants to be a member.
struct join_request
{
  replica_address replica;
  bool stores = true; ///< keeps the log on a disk
};

struct group_options
{
  /// Voters below which a group never shrinks: with two, the loss of one disk
  /// would end it.
  std::size_t least_voters = 3;
  /// Voters beyond which instances stay learners: each one more is one more
  /// acknowledgement that a quorum waits for.
  std::size_t most_voters = 9;
  /// A silent voter is removed after this time. It is shorter than the time
  /// that a new instance has to catch up, since the next one may be replaced
  /// then. A voter that comes back joins again by itself.
  duration silence_limit = std::chrono::seconds(2);
  /// A silent learner, which holds up nothing, is removed after this time.
  duration learner_limit = std::chrono::seconds(15);
};

/// Options of a group that keeps its quorum, and each acknowledged entry, when
/// this many instances are lost at the same time.
group_options make_group_options(std::size_t tolerated_losses);

/// The group changes by one instance at a time: an earlier id at the same
/// address leaves first, since its disk is gone; then the instance becomes a
/// learner, then a voter. One without a disk stays a learner; if it formed the
/// first group, it leaves as soon as enough others vote.
join_step plan_join(const replicated_log_status& status,
                    const join_request& joining,
                    const group_options& options = {});

/// The group without one silent member, if one should leave.
std::optional<std::vector<replica_address>>
plan_removal(const replicated_log_status& status,
             const group_options& options = {});

/// The group without a voter that stops, if enough live voters stay.
std::optional<std::vector<replica_address>>
plan_leave(const replicated_log_status& status, replica_id leaving,
           const group_options& options = {});

} // namespace toucanmill

#endif
