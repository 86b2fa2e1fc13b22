#include "replica_core.hpp"

#include <algorithm>
#include <string>

#include "codec.hpp"
#include "replica_quorum_core.hpp"

namespace toucanmill::log_detail
{

namespace
{

/// A learner may lag this many entries behind the commit index when it is
/// promoted, because steady traffic would otherwise prevent a promotion.
constexpr std::uint64_t max_promotion_lag = 64;

using members = std::vector<replica_address>;

const replica_address* find(const members& group, replica_id id)
{
  for (const auto& member : group)
    if (member.id == id)
      return &member;
  return nullptr;
}

error invalid(const std::string& message)
{
  return error{error_code::invalid_argument, message};
}

result<void> check_ids(const members& group)
{
  bool has_voter = false;
  for (std::size_t i = 0; i < group.size(); ++i)
  {
    if (group[i].id == replica_id{})
      return invalid("replica id 0 is reserved");
    for (std::size_t j = 0; j < i; ++j)
      if (group[i].id == group[j].id)
        return invalid("replica " + to_string(group[i].id) +
                       " is listed twice");
    has_voter = has_voter || group[i].voter;
  }
  if (!has_voter)
    return invalid("the group must keep at least one voter");
  return outcome::success();
}

std::size_t count_differences(const members& before, const members& after)
{
  std::size_t count = 0;
  for (const auto& member : before)
    if (const auto* kept = find(after, member.id);
        kept == nullptr || !(*kept == member))
      ++count;
  for (const auto& member : after)
    if (find(before, member.id) == nullptr)
      ++count;
  return count;
}

/// A learner that becomes a voter in place of the voter that used its endpoint.
struct replacement
{
  replica_id lost;
  replica_id successor;
};

/// The replacement that is the whole difference between the groups, if it is.
std::optional<replacement> find_replacement(const members& before,
                                            const members& after)
{
  if (count_differences(before, after) != 2)
    return std::nullopt;
  for (const auto& lost : before)
    for (const auto& member : after)
      if (const auto* successor = find(before, member.id);
          lost.voter && find(after, lost.id) == nullptr && member.voter &&
          successor != nullptr && !successor->voter && lost.rpc.port != 0 &&
          lost.rpc == successor->rpc)
        return replacement{lost.id, successor->id};
  return std::nullopt;
}

} // namespace

bool replica_core::is_voter(replica_id id) const
{
  const auto* member = find(group().members, id);
  return member != nullptr && member->voter;
}

std::size_t replica_core::quorum() const
{
  const auto& all = group().members;
  const auto voters = std::count_if(all.begin(), all.end(),
                                    [](const replica_address& member)
                                    {
                                      return member.voter;
                                    });
  return static_cast<std::size_t>(voters) / 2 + 1;
}

bool replica_core::own_term_committed() const
{
  return role_ == replica_role::leader && commit_ >= term_start_;
}

bool replica_core::accepts_commands() const
{
  return own_term_committed() && quorum_of(
                                     [this](replica_id id)
                                     {
                                       return id == settings_.self
                                                  ? may_vote_durably()
                                                  : peers_.at(id).may_vote;
                                     });
}

void replica_core::sync_progress()
{
  for (auto it = peers_.begin(); it != peers_.end();)
    it = find(group().members, it->first) == nullptr ? peers_.erase(it)
                                                     : std::next(it);
  for (const auto& member : group().members)
  {
    if (member.id == settings_.self)
      continue;
    auto [it, added] = peers_.try_emplace(member.id);
    it->second.address = member;
    if (added)
    {
      it->second.next = log_.last().index + 1;
      it->second.last_contact = now_;
      it->second.last_activity = now_;
    }
  }
}

result<void>
replica_core::check_change(const std::vector<replica_address>& group) const
{
  BOOST_OUTCOME_TRY(check_ids(group));
  const auto& before = this->group();
  if (const auto replaced = find_replacement(before.members, group))
  {
    BOOST_OUTCOME_TRY(check_replacement(replaced->lost, replaced->successor));
  }
  else if (const auto count = count_differences(before.members, group);
           count != 1)
    return invalid("a change must add, change, remove or replace exactly one "
                   "replica, not " +
                   std::to_string(count));
  for (const auto& member : group)
  {
    const auto* old = find(before.members, member.id);
    if (old != nullptr && old->voter == member.voter)
      continue;
    const auto name = "replica " + to_string(member.id);
    if (old == nullptr && member.voter)
      return invalid(name + " must be added as a learner first");
    if (old == nullptr && std::count(before.removed.begin(),
                                     before.removed.end(), member.id) != 0)
      return invalid(name + " was removed and must join again under a new id");
    if (old == nullptr || !member.voter)
      continue;
    if (old->rpc != member.rpc)
      return invalid(name +
                     " cannot be promoted and change its address at once");
    const auto& peer = peers_.at(member.id);
    if (!peer.may_vote || peer.match + max_promotion_lag < commit_ ||
        now_ - peer.last_contact >= settings_.election_timeout)
      return error{error_code::unavailable,
                   name + " is not ready to be promoted: has index " +
                       std::to_string(peer.match) + " of " +
                       std::to_string(commit_)};
  }
  if (!has_voting_quorum(group))
    return error{error_code::unavailable,
                 "the new group has no quorum of voters that have caught up"};
  return outcome::success();
}

// Quorums before and after a replacement need not overlap, unlike those of a
// change of one replica. They can't be in force side by side all the same: the
// lost replica's process has ended, and each other voter has confirmed this
// leader since, so that no candidate of a later term has, or can get, the lost
// replica's vote.
result<void> replica_core::check_replacement(replica_id lost,
                                             replica_id successor) const
{
  if (lost == settings_.self)
    return invalid("a leader cannot replace itself");
  const auto& next = peers_.at(successor);
  if (next.first_round == 0 ||
      peers_.at(lost).last_contact > next.first_contact)
    return error{error_code::unavailable, "replica " + to_string(lost) +
                                              " may still run beside " +
                                              to_string(successor)};
  for (const auto& member : group().members)
    if (member.voter && member.id != lost && member.id != settings_.self &&
        peers_.at(member.id).round < next.first_round)
      return error{error_code::unavailable,
                   "replica " + to_string(member.id) +
                       " has not confirmed the leader since replica " +
                       to_string(successor) + " appeared"};
  return outcome::success();
}

bool replica_core::may_vote_durably() const
{
  return requested_hard_.may_vote && durable_sequence_ >= may_vote_sequence_;
}

bool replica_core::has_voting_quorum(
    const std::vector<replica_address>& group) const
{
  std::size_t voters = 0;
  std::size_t eligible = 0;
  for (const auto& member : group)
  {
    if (!member.voter)
      continue;
    ++voters;
    if (const auto peer = peers_.find(member.id); peer != peers_.end())
      eligible += peer->second.may_vote ? 1 : 0;
    else
      eligible += member.id == settings_.self && may_vote_durably() ? 1 : 0;
  }
  return eligible >= voters / 2 + 1;
}

result<table_version>
replica_core::change_group(const std::vector<replica_address>& group,
                           call_context context)
{
  set_time(context);
  if (role_ != replica_role::leader)
    return error{error_code::not_leader, "this instance is not the leader"};
  // Two concurrent changes, or one before an entry of the current term is
  // committed, could lead to quorums that do not overlap.
  if (commit_ < groups_.back().first || !accepts_commands() || transfer_target_)
    return error{error_code::unavailable,
                 "another group change or leadership transfer is in progress, "
                 "or the leader is not ready"};
  BOOST_OUTCOME_TRY(check_change(group));
  group_record record{group, this->group().removed};
  for (const auto& member : this->group().members)
    if (find(group, member.id) == nullptr)
      record.removed.push_back(member.id);
  const table_version position{hard_.term, log_.last().index + 1};
  append_entry({position, entry_kind::membership, encode(record)});
  sync_progress();
  return position;
}

std::vector<replica_contact_age>
replica_core::contact_ages(time_point now) const
{
  std::vector<replica_contact_age> found;
  if (role_ == replica_role::leader)
    for (const auto& [id, peer] : peers_)
      found.push_back({id, std::max(now - peer.last_contact, duration{0})});
  return found;
}

std::vector<replica_formats> replica_core::formats() const
{
  std::vector<replica_formats> found{{settings_.self, settings_.formats}};
  if (role_ == replica_role::leader)
    for (const auto& [id, peer] : peers_)
      if (peer.formats)
        found.push_back({id, *peer.formats});
  return found;
}

std::vector<replica_id> replica_core::members_in_memory() const
{
  std::vector<replica_id> found;
  if (settings_.in_memory)
    found.push_back(settings_.self);
  for (const auto& [id, peer] : peers_)
    if (peer.in_memory)
      found.push_back(id);
  return found;
}

void replica_core::step_down_if_removed()
{
  if (commit_ < groups_.back().first || is_voter(settings_.self))
    return;
  send_heartbeats();
  become_follower(hard_.term);
}

void replica_core::transfer_leadership(call_context context)
{
  set_time(context);
  if (role_ != replica_role::leader || transfer_target_)
    return;
  const progress* best = nullptr;
  for (const auto& [id, peer] : peers_)
    if (peer.address.voter &&
        now_ - peer.last_contact < settings_.election_timeout &&
        (best == nullptr || peer.match > best->match))
      best = &peer;
  if (best == nullptr)
    return;
  transfer_target_ = best->address.id;
  transfer_deadline_ = now_ + settings_.election_timeout;
  timeout_now_sent_ = false;
}

void replica_core::send_timeout_now()
{
  if (!transfer_target_ || timeout_now_sent_)
    return;
  const auto found = peers_.find(*transfer_target_);
  if (found == peers_.end() || found->second.match != log_.last().index)
    return;
  timeout_now_sent_ = true;
  send_now(make_message(message_kind::timeout_now, *transfer_target_));
}

} // namespace toucanmill::log_detail
