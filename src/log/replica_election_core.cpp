#include "replica_core.hpp"

#include "replica_quorum_core.hpp"

namespace toucanmill::log_detail
{

namespace
{

/// Pre-vote rounds with the shortest timeout, for a replica that has not heard
/// from a leader since it started.
constexpr unsigned early_pre_campaigns = 8;

} // namespace

// A replica that has not heard from a leader since it started uses a shorter
// timeout: the pre-vote shows whether the others have a leader, and after a
// power loss of the whole group the full timeout would only delay recovery.
void replica_core::reset_election_deadline()
{
  const bool leader_seen = leader_last_contact_ != time_point{};
  const unsigned divisor = leader_seen                            ? 1
                           : pre_campaigns_ < early_pre_campaigns ? 16
                                                                  : 4;
  const auto timeout = settings_.election_timeout / divisor;
  const auto jitter_range = static_cast<std::uint64_t>(timeout.count()) + 1;
  election_deadline_ =
      now_ + timeout +
      duration(static_cast<duration::rep>(random_value_ % jitter_range));
}

bool replica_core::has_live_leader() const
{
  if (role_ == replica_role::leader)
    return true;
  return leader_ && now_ - leader_last_contact_ < settings_.election_timeout;
}

// Whether the log is pristine: never compacted and with no entries but no-ops.
bool replica_core::is_pristine() const
{
  if (log_.base().index != 0)
    return false;
  for (auto index = log_.last().index; index > 0; --index)
    if (log_.at(index).kind != entry_kind::no_op)
      return false;
  return true;
}

// A replica that started with an empty data folder may have lost its votes and
// acknowledgements. Until it has caught up it takes part only in elections of a
// new group, where no log has a command that could be lost.
bool replica_core::may_campaign() const
{
  return storage_usable_ && may_lead() && (hard_.may_vote || is_pristine());
}

// A replica may still lead until the entry that removes it is committed: it may
// be the only one whose log is complete enough to win an election.
bool replica_core::may_lead() const
{
  if (is_voter(settings_.self))
    return true;
  if (groups_.back().first <= commit_ || groups_.size() < 2)
    return false;
  for (const auto& member : groups_[groups_.size() - 2].second.members)
    if (member.id == settings_.self)
      return member.voter;
  return false;
}

bool replica_core::may_vote_for(const replica_message& request) const
{
  if (request.position < log_.last())
    return false;
  return hard_.may_vote || request.pristine;
}

void replica_core::pre_campaign()
{
  ++pre_campaigns_;
  reset_election_deadline();
  if (!may_campaign())
  {
    // A learner that was removed gets no more messages; it must not redirect
    // callers to an outdated leader.
    leader_.reset();
    return;
  }
  role_ = replica_role::pre_candidate;
  leader_.reset();
  votes_ = {settings_.self};
  if (quorum() == 1 && is_voter(settings_.self))
    return campaign(false);
  for (const auto& member : group().members)
  {
    if (member.id == settings_.self || !member.voter)
      continue;
    auto request = make_message(message_kind::pre_vote_request, member.id);
    request.term = hard_.term + 1;
    request.position = log_.last();
    send_now(std::move(request));
  }
}

void replica_core::campaign(bool forced)
{
  reset_election_deadline();
  ++hard_.term;
  hard_.voted_for = settings_.self;
  role_ = replica_role::candidate;
  leader_.reset();
  votes_.clear();
  for (const auto& member : group().members)
  {
    if (!member.voter)
      continue;
    // The replica's own vote is sent as a reply to itself, so that it counts
    // only once it is durable.
    const bool own = member.id == settings_.self;
    auto message = make_message(
        own ? message_kind::vote_reply : message_kind::vote_request, member.id);
    message.position = log_.last();
    message.granted = own || forced;
    send_after_persist(std::move(message));
  }
}

void replica_core::become_follower(std::uint64_t term)
{
  if (term > hard_.term)
  {
    hard_.term = term;
    hard_.voted_for = {};
  }
  role_ = replica_role::follower;
  leader_.reset();
  votes_.clear();
  peers_.clear();
  transfer_target_.reset();
  fail_reads();
  reset_election_deadline();
}

void replica_core::become_leader()
{
  role_ = replica_role::leader;
  leader_ = address_of(settings_.self, {settings_.self, {}, true});
  votes_.clear();
  peers_.clear();
  sync_progress();
  term_start_ = log_.last().index + 1;
  append_entry({{hard_.term, term_start_}, entry_kind::no_op, {}});
  send_heartbeats();
}

void replica_core::count_vote(const replica_message& message,
                              replica_role expected)
{
  if (!message.granted)
  {
    if (message.term > hard_.term)
      become_follower(message.term);
    return;
  }
  const bool pre = expected == replica_role::pre_candidate;
  if (role_ != expected || message.term != hard_.term + (pre ? 1 : 0))
    return;
  votes_.insert(message.from.id);
  const bool won = quorum_of(
      [this](replica_id id)
      {
        return votes_.count(id) != 0;
      });
  if (!won)
    return;
  if (pre)
    campaign(false);
  else
    become_leader();
}

void replica_core::on_pre_vote_request(const replica_message& message)
{
  const bool granted =
      message.term > hard_.term && !has_live_leader() && may_vote_for(message);
  auto reply = make_message(message_kind::pre_vote_reply, message.from.id);
  reply.term = granted ? message.term : hard_.term;
  reply.granted = granted;
  actions_.messages.push_back(
      {address_of(message.from.id, message.from), std::move(reply)});
}

void replica_core::on_vote_request(const replica_message& message)
{
  const bool vote_available =
      hard_.voted_for == replica_id{} || hard_.voted_for == message.from.id;
  auto reply = make_message(message_kind::vote_reply, message.from.id);
  reply.granted = vote_available && !leader_ && may_vote_for(message);
  if (reply.granted)
  {
    hard_.voted_for = message.from.id;
    reset_election_deadline();
  }
  awaiting_sequence_.push_back(
      {address_of(message.from.id, message.from), std::move(reply)});
}

void replica_core::on_timeout_now()
{
  if (role_ == replica_role::follower && may_campaign())
    campaign(true);
}

void replica_core::leader_tick()
{
  if (now_ < heartbeat_due_)
    return;
  const bool quorum_in_contact = quorum_of(
      [this](replica_id id)
      {
        return id == settings_.self ||
               now_ - peers_.at(id).last_contact < settings_.election_timeout;
      });
  if (!quorum_in_contact)
    return become_follower(hard_.term);
  if (transfer_target_ && now_ >= transfer_deadline_)
    transfer_target_.reset();
  send_heartbeats();
  retransmit();
}

void replica_core::enable_voting_if_caught_up()
{
  if (catch_up_target_ != 0 && durable_index_ >= catch_up_target_)
    hard_.may_vote = true;
}

} // namespace toucanmill::log_detail
