#include "group_driver_test.hpp"

#include <algorithm>

namespace toucanmill::log_detail
{

namespace
{

/// The group must recover within this many steps without faults, 60 s.
constexpr int max_recovery_steps = 6000;

} // namespace

void group_driver::inject_random_faults()
{
  for (auto& [id, replica] : nodes_)
    if (replica.core)
      random_fault(replica);
  if (chance(0.01))
    random_partition();
  if (chance(long_partitions_ ? 0.002 : 0.01))
    blocked_.clear();
}

void group_driver::random_fault(node& replica)
{
  if (chance(0.003))
    return crash(replica);
  if (chance(0.001))
    replica.disk->operations_left = random_below(8);
  if (chance(0.002))
  {
    ++counts["clock jump"];
    const auto jump = std::chrono::milliseconds(random_below(4000));
    replica.clock_offset += chance(0.5) ? jump : -jump;
  }
  if (chance(0.002))
  {
    ++counts["transfer"];
    replica.core->transfer_leadership(context_of(replica));
  }
  if (chance(0.0005))
    wipe(replica);
}

// Blocks messages to one replica, from it, in both directions, or in both
// directions between it and some of the others.
void group_driver::random_partition()
{
  ++counts["partition"];
  auto victim = std::next(
      nodes_.begin(), static_cast<std::ptrdiff_t>(random_below(nodes_.size())));
  const auto kind = random_below(4);
  for (const auto& [other, replica] : nodes_)
  {
    if (kind == 3 && chance(0.7))
      continue;
    if (kind != 0)
      blocked_.emplace(victim->first, other);
    if (kind != 1)
      blocked_.emplace(other, victim->first);
  }
}

// Sends proposals and reads to every replica that considers itself leader.
void group_driver::submit_operations()
{
  for (auto& [id, replica] : nodes_)
  {
    if (!replica.core || replica.core->role() != replica_role::leader)
      continue;
    for (auto i = random_below(4); i > 0; --i)
      if (const auto position = replica.core->propose(
              "command " + std::to_string(next_command_++)))
        proposals_[{position.value().term, position.value().index}] = id;
    if (chance(0.3))
    {
      const auto read = next_read_++;
      reads_[read] = {id, acknowledged_};
      if (defects_.unconfirmed_reads)
        finish_read(replica, {read, true});
      else if (!replica.core->read(read, context_of(replica)))
        reads_.erase(read);
    }
    if (chance(0.05))
      repair_group(replica);
    process(replica);
  }
}

// Replaces a wiped voter: adds a learner at its endpoint, which then takes its
// place in one change. Returns false if a wiped replica is to be removed first.
bool group_driver::replace_wiped(node& leader_node)
{
  auto group = leader_node.core->group().members;
  const auto lost =
      std::find_if(group.begin(), group.end(),
                   [this](const replica_address& member)
                   {
                     return member.voter && nodes_.at(member.id).wiped;
                   });
  if (lost == group.end() || chance(0.3))
    return false;
  const auto successor =
      std::find_if(group.begin(), group.end(),
                   [lost](const replica_address& member)
                   {
                     return member.rpc == lost->rpc && member.id != lost->id;
                   });
  if (successor == group.end())
  {
    add_learner(leader_node, lost->rpc);
    return true;
  }
  if (nodes_.at(successor->id).wiped)
    return false;
  successor->voter = true;
  group.erase(lost);
  if (leader_node.core->change_group(group, context_of(leader_node)))
    ++counts["replace"];
  return true;
}

// Does one step of an operator's repair: replaces or removes a wiped replica,
// adds a new learner, or promotes it. Sometimes removes a healthy replica.
void group_driver::repair_group(node& leader_node)
{
  if (replace_wiped(leader_node))
    return;
  auto group = leader_node.core->group().members;
  const auto change = [&](const char* name)
  {
    if (leader_node.core->change_group(group, context_of(leader_node)))
      ++counts[name];
  };
  const auto wiped = std::find_if(group.begin(), group.end(),
                                  [this](const replica_address& member)
                                  {
                                    return nodes_.at(member.id).wiped;
                                  });
  if (wiped != group.end() || (faults_ && chance(0.02)))
  {
    group.erase(wiped != group.end() ? wiped : group.begin());
    return change("remove");
  }
  for (auto& member : group)
    if (!member.voter)
    {
      member.voter = true;
      return change("promote");
    }
  if (group.size() < size_)
    add_learner(leader_node,
                {ipv4_address{1}, static_cast<std::uint16_t>(next_id_)});
}

void group_driver::add_learner(node& leader_node, endpoint rpc)
{
  auto group = leader_node.core->group().members;
  const replica_id id{next_id_};
  const replica_address address{id, rpc, false};
  group.push_back(address);
  if (!leader_node.core->change_group(group, context_of(leader_node)))
    return;
  ++counts["add"];
  ++next_id_;
  auto& replica = nodes_[id];
  replica.address = address;
  start(replica);
}

// Whether the voters that keep their disks when this replica loses its own form
// a quorum of the group, with at least two of them.
bool group_driver::tolerates_loss(const std::vector<replica_address>& group,
                                  replica_id lost) const
{
  std::size_t voters = 0;
  std::size_t intact = 0;
  for (const auto& member : group)
  {
    voters += member.voter ? 1 : 0;
    const bool survives = member.id != lost && !nodes_.at(member.id).wiped;
    intact += member.voter && survives ? 1 : 0;
  }
  return intact >= 2 && intact >= voters / 2 + 1;
}

// Destroys the replica's disk, if the others can still form a quorum of every
// group configuration that is committed or proposed.
void group_driver::wipe(node& replica)
{
  for (const auto& [id, other] : nodes_)
  {
    if (id == replica.address.id || other.wiped)
      continue;
    if (!other.core || !other.core->hard().may_vote ||
        !tolerates_loss(other.core->group().members, replica.address.id))
      return;
  }
  ++counts["wipe"];
  crash(replica);
  replica.wiped = true;
}

// Removed replicas keep running, to check that they do not disrupt the group.
void group_driver::recover()
{
  faults_ = false;
  blocked_.clear();
  for (auto& [id, replica] : nodes_)
  {
    replica.restart_at = 0;
    replica.disk->operations_left = 1ULL << 60;
  }
  const auto deadline = step_ + max_recovery_steps;
  while (violations_.empty() && !converged())
  {
    if (step_ >= deadline)
      return add_violation("the group did not recover after the faults ended");
    if (auto* leader_node = leader(); leader_node != nullptr && chance(0.1))
    {
      repair_group(*leader_node);
      process(*leader_node);
    }
    step();
  }
}

// Whether the group has its full size with only voters, the leader has
// committed its whole log in its term, and every member has applied it.
bool group_driver::converged()
{
  const auto* leader_node = leader();
  if (leader_node == nullptr)
    return false;
  const auto& core = *leader_node->core;
  const auto last = core.log().last();
  if (last.term != core.hard().term || core.commit_index() != last.index)
    return false;
  if (last.index < acknowledged_)
    return false;
  const auto& members = core.group().members;
  return members.size() == size_ &&
         std::all_of(members.begin(), members.end(),
                     [&](const replica_address& member)
                     {
                       const auto& replica = nodes_.at(member.id);
                       return member.voter && replica.core &&
                              replica.applied == last.index;
                     });
}

} // namespace toucanmill::log_detail
