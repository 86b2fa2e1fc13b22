#include "replica_core.hpp"

#include "replica_quorum_core.hpp"

namespace toucanmill::log_detail
{

result<void> replica_core::read(std::uint64_t id)
{
  if (role_ != replica_role::leader)
    return error{error_code::not_leader, "this instance does not lead"};
  reads_.push_back({id, 0, 0});
  return outcome::success();
}

// A new leader knows which entries are committed only after one of its own.
void replica_core::start_reads()
{
  if (reads_.empty() || reads_.back().round != 0 || !own_term_committed())
    return;
  ++round_;
  for (auto& read : reads_)
  {
    if (read.round != 0)
      continue;
    read.index = commit_;
    read.round = round_;
  }
  send_heartbeats();
}

void replica_core::finish_reads()
{
  while (!reads_.empty())
  {
    const auto read = reads_.front();
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
    reads_.pop_front();
  }
}

void replica_core::fail_reads()
{
  for (const auto& read : reads_)
    actions_.reads.push_back({read.id, false});
  reads_.clear();
}

} // namespace toucanmill::log_detail
