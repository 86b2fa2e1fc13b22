#include "replica_core.hpp"

#include "replica_quorum_core.hpp"

namespace toucanmill::log_detail
{

result<void> replica_core::read(std::uint64_t id, call_context context)
{
  set_time(context);
  if (role_ != replica_role::leader)
    return error{error_code::not_leader, "this instance is not the leader"};
  pending_reads_.push_back({id, 0, 0});
  return outcome::success();
}

/// Reads that wait for a round. Before the first commit of the leader's own
/// term none can start: its commit index may not cover every committed entry.
bool replica_core::has_unassigned_reads() const
{
  return !pending_reads_.empty() && pending_reads_.back().round == 0 &&
         own_term_committed();
}

std::optional<time_point> replica_core::next_round_time() const
{
  return has_unassigned_reads() ? std::make_optional(next_round_time_)
                                : std::nullopt;
}

void replica_core::start_reads()
{
  // The only voter confirms its reads without messages, so they need not wait.
  if (!has_unassigned_reads() || (quorum() > 1 && now_ < next_round_time_))
    return;
  next_round_time_ = now_ + settings_.read_round_interval;
  ++round_;
  for (auto& read : pending_reads_)
  {
    if (read.round != 0)
      continue;
    read.index = commit_;
    read.round = round_;
  }
  send_round();
}

// Learners get no round: no quorum needs their replies, and one message for
// each round would fill the link of a small machine. Leaves the time of the
// next regular heartbeat as it is, because that one also reaches learners,
// resends lost requests and checks that a quorum is in contact.
void replica_core::send_round()
{
  for (auto& [id, peer] : peers_)
    if (peer.address.voter)
      send_heartbeat(peer);
}

void replica_core::finish_reads()
{
  while (!pending_reads_.empty())
  {
    const auto read = pending_reads_.front();
    if (read.round == 0 || read.index > applied_)
      return;
    const bool confirmed = quorum_of(
        [this, &read](replica_id id)
        {
          return id == settings_.self || peers_.at(id).round >= read.round;
        });
    if (!confirmed)
      return;
    actions_.reads.push_back({read.id, true});
    pending_reads_.pop_front();
  }
}

void replica_core::fail_reads()
{
  for (const auto& read : pending_reads_)
    actions_.reads.push_back({read.id, false});
  pending_reads_.clear();
}

} // namespace toucanmill::log_detail
