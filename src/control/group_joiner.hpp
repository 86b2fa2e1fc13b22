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

/// Asks the leader to make this instance a member, and whether it still is one
/// when it hears of no leader. Lives on the RPC thread.
class group_joiner : private kj::TaskSet::ErrorHandler
{
public:
  using standing_callback = std::function<void(replica_standing)>;

  /// others: RPC endpoints of further instances, at least one.
  group_joiner(kj::AsyncIoContext& io, std::vector<endpoint> others,
               join_request self, standing_callback on_standing);

  /// Members of the group to ask besides the seeds.
  void add_members(const std::vector<endpoint>& members);

  /// False stops asking until it is true again.
  void set_needed(bool needed);

  /// Asks the leader to let this instance go; calls back when it answered or
  /// did not in time.
  void leave(std::function<void()> done);

private:
  kj::Promise<void> ask_forever();
  kj::Promise<void> ask();
  kj::Promise<void> ask_to_leave(int attempts);
  void taskFailed(kj::Exception&& failure) override;

  kj::Timer& timer_;
  control_channel channel_;
  std::vector<endpoint> seeds_;
  join_request self_;
  standing_callback on_standing_;
  bool needed_ = false;
  kj::TaskSet tasks_;
};

} // namespace toucanmill::detail

#endif
