#ifndef TOUCANMILL_CONTROL_GROUP_CORE_HPP
#define TOUCANMILL_CONTROL_GROUP_CORE_HPP

#include <optional>
#include <vector>

#include <toucanmill/base/time.hpp>
#include <toucanmill/log/replicated_log.hpp>
#include <toucanmill/log/types.hpp>

namespace toucanmill
{

/// Role of a control instance in its group.
enum class replica_standing : std::uint8_t
{
  waiting, ///< not a member yet; must repeat its join request
  learner, ///< receives the log but does not vote
  voter,
  removed, ///< must clear its data folder and join with a new id
};

/// The leader's decision on a join request: the current standing of the
/// requesting instance and, if a change is needed, the next group
/// configuration.
struct join_step
{
  replica_standing standing = replica_standing::waiting;
  std::optional<std::vector<replica_address>> next;
};

/// Request of an instance to become a member.
struct join_request
{
  replica_address replica;
  bool persists_log = true; ///< keeps its log on disk
};

struct group_options
{
  /// The group never shrinks below this number of voters. With two, the loss of
  /// one disk would permanently lose the quorum.
  std::size_t min_voters = 3;
  /// Further instances stay learners, because additional voters enlarge the
  /// quorum whose acknowledgements each commit waits for.
  std::size_t max_voters = 9;
  /// An unresponsive voter is removed after this time. It is shorter than the
  /// time a new instance has to catch up, since the next instance may be
  /// replaced then. A voter that returns rejoins automatically.
  duration voter_silence_timeout = std::chrono::seconds(2);
  /// An unresponsive learner is removed after this time; longer than for voters
  /// because learners do not delay commits.
  duration learner_silence_timeout = std::chrono::seconds(15);
  /// Time in which the next instance with a disk is expected to ask to join.
  duration disk_join_time = std::chrono::seconds(2);
  /// Time in which they are expected to be voters.
  duration disk_vote_time = std::chrono::seconds(10);
};

/// Whether the leader has not heard from the member for this time.
bool is_silent(const replicated_log_status& status, replica_id member,
               duration silence);

/// Options for a group that keeps its quorum and all acknowledged entries when
/// up to `tolerated_losses` instances fail at the same time.
group_options make_group_options(std::size_t tolerated_losses);

/// Plans the next step of a join. The instance becomes a learner, then a voter.
/// An earlier id at its endpoint, whose disk is lost, is removed first only if
/// enough live voters remain. Otherwise the instance takes its place as a voter
/// in one change: with both as voters, the loss of any disk, or of the new one
/// again, would be final. If another voter is silent as well, it becomes a
/// voter beside the lost id, which plan_removal() removes then. An instance
/// without a disk stays a learner; if it was a voter of the initial group, it
/// is removed once there are enough other voters.
join_step plan_join(const replicated_log_status& status,
                    const join_request& joining,
                    const group_options& options = {});

/// Returns the group without one member that is unresponsive, or whose endpoint
/// has passed to a voter, if one should be removed.
std::optional<std::vector<replica_address>>
plan_removal(const replicated_log_status& status,
             const group_options& options = {});

/// Whether the leader must not acknowledge a change yet, since voters that lose
/// their log when their process ends are about to be replaced by instances with
/// a disk. `led`: how long this instance has led; `unchanged`: how long the
/// group was the same meanwhile. A group that has fewer instances with a disk
/// than it needs acknowledges once it stays the same for a short time.
bool awaits_disks(const replicated_log_status& status, duration led,
                  duration unchanged, const group_options& options = {});

/// Returns the group without the stopping voter, if enough live voters remain.
std::optional<std::vector<replica_address>>
plan_leave(const replicated_log_status& status, replica_id leaving,
           const group_options& options = {});

} // namespace toucanmill

#endif
