#include "replica_core.hpp"

#include <algorithm>

#include "codec.hpp"
#include <toucanmill/base/invariant.hpp>

namespace toucanmill::log_detail
{

namespace
{

/// Larger commands would delay heartbeats while they are sent and synced.
constexpr std::size_t max_command_bytes = std::size_t{8} * 1024 * 1024;

bool is_vote(message_kind kind)
{
  return kind == message_kind::vote_request ||
         kind == message_kind::pre_vote_request;
}

bool is_from_leader(message_kind kind)
{
  return kind == message_kind::append_request ||
         kind == message_kind::heartbeat ||
         kind == message_kind::snapshot_chunk;
}

} // namespace

replica_core::replica_core(replica_settings settings, stored_state stored,
                           call_context context)
    : settings_(settings), hard_(stored.hard),
      snapshot_(std::move(stored.snapshot)), requested_hard_(hard_)
{
  set_time(context);
  log_.reset(snapshot_.position);
  commit_ = applied_ = snapshot_.position.index;
  groups_.emplace_back(snapshot_.position.index, snapshot_.group);
  for (auto& entry : stored.entries)
    append_entry(std::move(entry));
  unpersisted_from_ = 0;
  durable_index_ = log_.last().index;
  reset_election_deadline();
  // The only voter can start its election at once: no other leader can exist.
  if (is_voter(settings_.self) && quorum() == 1)
    election_deadline_ = now_;
}

void replica_core::set_time(call_context context)
{
  now_ = std::max(now_, context.now);
  random_value_ = context.random_value;
}

void replica_core::tick(call_context context)
{
  set_time(context);
  if (role_ == replica_role::leader)
    leader_tick();
  else if (now_ >= election_deadline_)
    pre_campaign();
}

void replica_core::receive(const replica_message& message, call_context context)
{
  set_time(context);
  if (message.to == settings_.self && message.from.id != settings_.self)
    dispatch(message);
}

void replica_core::dispatch(const replica_message& message)
{
  if (message.kind == message_kind::pre_vote_request)
    return on_pre_vote_request(message);
  if (message.kind == message_kind::pre_vote_reply)
    return count_vote(message, replica_role::pre_candidate);
  if (message.kind == message_kind::vote_request && !message.granted &&
      has_live_leader())
    return;
  if (message.term < hard_.term)
    return reject_stale(message);
  if (message.term > hard_.term)
    become_follower(message.term);
  switch (message.kind)
  {
  case message_kind::vote_request:
    return on_vote_request(message);
  case message_kind::vote_reply:
    return count_vote(message, replica_role::candidate);
  case message_kind::append_request:
    return on_append_request(message);
  case message_kind::append_reply:
    return on_append_reply(message);
  case message_kind::heartbeat:
    return on_heartbeat(message);
  case message_kind::heartbeat_reply:
    return on_heartbeat_reply(message);
  case message_kind::snapshot_chunk:
    return on_snapshot_chunk(message);
  case message_kind::snapshot_reply:
    return on_snapshot_reply(message);
  case message_kind::timeout_now:
    return on_timeout_now();
  default:
    return;
  }
}

// Tells the sender of a message with an old term about the current term, so
// that a stale leader steps down.
void replica_core::reject_stale(const replica_message& message)
{
  if (is_from_leader(message.kind) || is_vote(message.kind))
  {
    auto reply =
        make_message(is_vote(message.kind) ? message_kind::vote_reply
                                           : message_kind::append_reply,
                     message.from.id);
    auto to = address_of(message.from.id, message.from);
    awaiting_sequence_.push_back({to, std::move(reply)});
  }
}

replica_message replica_core::make_message(message_kind kind,
                                           replica_id to) const
{
  replica_message message;
  message.kind = kind;
  message.from = address_of(settings_.self, {settings_.self, {}, false});
  message.to = to;
  message.term = hard_.term;
  message.may_vote = hard_.may_vote;
  message.pristine = is_pristine();
  message.in_memory = settings_.in_memory;
  message.formats = settings_.formats;
  return message;
}

replica_address replica_core::address_of(replica_id id,
                                         const replica_address& hint) const
{
  for (const auto& member : group().members)
    if (member.id == id)
      return member;
  return hint;
}

void replica_core::send_now(replica_message message)
{
  const auto to = address_of(message.to, {message.to, {}, false});
  actions_.messages.push_back({to, std::move(message)});
}

// Sends the message once all changes made so far are durable.
void replica_core::send_after_persist(replica_message message)
{
  auto to = address_of(message.to, {message.to, {}, false});
  if (leader_ && leader_->id == message.to)
    to = *leader_;
  awaiting_sequence_.push_back({to, std::move(message)});
}

void replica_core::mark_unpersisted(std::uint64_t from)
{
  unpersisted_from_ =
      unpersisted_from_ == 0 ? from : std::min(unpersisted_from_, from);
}

void replica_core::append_entry(log_entry entry)
{
  mark_unpersisted(entry.position.index);
  if (entry.kind == entry_kind::membership)
  {
    auto group = decode_group(entry.payload);
    TOUCANMILL_INVARIANT(group.has_value(), "membership entry is malformed");
    groups_.emplace_back(entry.position.index, std::move(group.value()));
  }
  log_.append(std::move(entry));
}

void replica_core::truncate_from(std::uint64_t index)
{
  TOUCANMILL_INVARIANT(index > commit_,
                       "truncation would remove a committed entry");
  log_.truncate_from(index);
  while (groups_.size() > 1 && groups_.back().first >= index)
    groups_.pop_back();
  durable_index_ = std::min(durable_index_, index - 1);
  for (auto& [sequence, last] : persists_in_flight_)
    last = std::min(last, index - 1);
  mark_unpersisted(index);
}

result<table_version> replica_core::propose(std::string command)
{
  if (role_ != replica_role::leader)
    return error{error_code::not_leader, "this instance is not the leader"};
  if (!accepts_commands() || transfer_target_)
    return error{
        error_code::unavailable,
        "the leader is not ready for commands or is transferring leadership"};
  if (command.size() > max_command_bytes)
    return error{error_code::limit_reached,
                 "command of " + std::to_string(command.size()) +
                     " bytes exceeds the limit of " +
                     std::to_string(max_command_bytes)};
  const auto uncommitted = log_.octets_after(commit_);
  if (uncommitted != 0 &&
      uncommitted + command.size() > settings_.max_uncommitted_octets)
    return error{error_code::limit_reached,
                 "commands of " + std::to_string(uncommitted) +
                     " bytes are not committed yet; the limit is " +
                     std::to_string(settings_.max_uncommitted_octets)};
  const table_version position{hard_.term, log_.last().index + 1};
  append_entry({position, entry_kind::command, std::move(command)});
  return position;
}

void replica_core::persisted(std::uint64_t sequence, call_context context)
{
  set_time(context);
  durable_sequence_ = std::max(durable_sequence_, sequence);
  while (!persists_in_flight_.empty() &&
         persists_in_flight_.front().first <= sequence)
  {
    durable_index_ = persists_in_flight_.front().second;
    persists_in_flight_.pop_front();
  }
  enable_voting_if_caught_up();
  if (role_ == replica_role::leader)
    advance_commit();
  while (!awaiting_persist_.empty() &&
         awaiting_persist_.front().first <= sequence)
  {
    auto item = std::move(awaiting_persist_.front().second);
    awaiting_persist_.pop_front();
    if (item.message.to == settings_.self)
      dispatch(item.message);
    else
      actions_.messages.push_back(std::move(item));
  }
}

void replica_core::compact(const snapshot_meta& snapshot)
{
  TOUCANMILL_INVARIANT(snapshot.position.index <= applied_,
                       "snapshot of entries that were not applied");
  if (snapshot.position.index <= snapshot_.position.index)
    return;
  snapshot_ = snapshot;
  log_.compact_to(first_retained(snapshot.position.index) - 1);
  while (groups_.size() > 1 && groups_[1].first <= log_.base().index)
    groups_.erase(groups_.begin());
}

// Index of the first entry to keep, at most one after the snapshot.
std::uint64_t replica_core::first_retained(std::uint64_t snapshot_index) const
{
  auto first = snapshot_index + 1;
  std::uint64_t octets = 0;
  while (first - 1 > log_.base().index &&
         snapshot_index + 1 - first < settings_.retained_entries)
  {
    octets += log_.at(first - 1).payload.size();
    if (octets > settings_.retained_octets)
      break;
    --first;
  }
  return first;
}

const group_record& replica_core::group_at(std::uint64_t index) const
{
  auto found = groups_.begin();
  for (auto it = groups_.begin(); it != groups_.end(); ++it)
    if (it->first <= index)
      found = it;
  return found->second;
}

replica_actions replica_core::take_actions()
{
  if (role_ == replica_role::leader)
  {
    start_reads();
    send_pending();
    send_timeout_now();
  }
  collect_applied(actions_);
  finish_reads();
  collect_persist(actions_);
  return std::exchange(actions_, {});
}

// Applies an entry only once it is durable on this replica, so that a snapshot
// never covers an entry that a crash could remove.
void replica_core::collect_applied(replica_actions& actions)
{
  const auto end = std::min(commit_, durable_index_);
  while (applied_ < end)
    actions.apply.push_back(log_.at(++applied_));
}

void replica_core::collect_persist(replica_actions& actions)
{
  if (snapshot_to_persist_ || hard_ != requested_hard_ ||
      unpersisted_from_ != 0)
  {
    auto& request = actions.persist;
    request.sequence = ++sequence_;
    request.snapshot = std::exchange(snapshot_to_persist_, std::nullopt);
    if (hard_ != requested_hard_)
    {
      if (hard_.may_vote && !requested_hard_.may_vote)
        may_vote_sequence_ = sequence_;
      request.hard = requested_hard_ = hard_;
    }
    if (unpersisted_from_ != 0)
      for (auto i = unpersisted_from_; i <= log_.last().index; ++i)
        request.entries.push_back(log_.at(i));
    unpersisted_from_ = 0;
    persists_in_flight_.emplace_back(sequence_, log_.last().index);
  }
  for (auto& item : awaiting_sequence_)
    if (sequence_ > durable_sequence_)
      awaiting_persist_.emplace_back(sequence_, std::move(item));
    else
      actions.messages.push_back(std::move(item));
  awaiting_sequence_.clear();
}

} // namespace toucanmill::log_detail
