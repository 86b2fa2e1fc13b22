#ifndef TOUCANMILL_SRC_CONTROL_GROUP_JOINER_HPP
#define TOUCANMILL_SRC_CONTROL_GROUP_JOINER_HPP

#include <functional>
#include <vector>

#include <kj/async-io.h>

#include <toucanmill/control/control_channel.hpp>
#include <toucanmill/control/group_core.hpp>
#include <toucanmill/log/types.hpp>

namespace toucanmill::detail
{

/// Sends join requests to the leader while enabled: to become a member, and to
/// find out whether this instance still is one when it hears from no leader.
/// Must be used on the RPC thread.
class group_joiner : private kj::TaskSet::ErrorHandler
{
public:
  using standing_callback = std::function<void(replica_standing)>;

  /// `seeds`: RPC endpoints, without this instance; must not be empty.
  group_joiner(kj::AsyncIoContext& io, std::vector<endpoint> seeds,
               join_request self, standing_callback on_standing);

  /// Adds group members to contact besides the seeds and, if enabled, sends a
  /// join request to the first one at once.
  void add_members(const std::vector<endpoint>& members);

  /// Replaces the seeds; `seeds` may be empty.
  void use_seeds(std::vector<endpoint> seeds);

  /// Enables or disables the periodic join requests.
  void set_enabled(bool enabled);

  /// Asks the leader to remove this instance from the group. Calls `done` after
  /// the answer, the last attempt or a timeout.
  void leave(std::function<void()> done);

private:
  void update_instances();
  kj::Promise<void> request_join_periodically();
  kj::Promise<void> request_join();
  kj::Promise<void> request_leave(int attempts_left);
  void taskFailed(kj::Exception&& failure) override;

  kj::Timer& timer_;
  control_channel channel_;
  std::vector<endpoint> seeds_;
  std::vector<endpoint> members_; ///< of the last invitation
  join_request self_;
  standing_callback on_standing_;
  bool enabled_ = false;
  kj::TaskSet tasks_;
};

} // namespace toucanmill::detail

#endif
