#include "replica_core.hpp"

#include <algorithm>
#include <functional>

#include "codec.hpp"

namespace toucanmill::log_detail
{

namespace
{

/// Upper bounds of the octets that encode() adds to the payloads: 176 for an
/// append request, and 47 for an entry, whose payload is padded to 8.
constexpr std::size_t request_overhead = 256;
constexpr std::size_t entry_overhead = 48;

/// Whether the entries follow the message's position without a gap, their terms
/// do not decrease or exceed the message's term, and the membership entries can
/// be decoded.
bool well_formed(const replica_message& message)
{
  auto previous = message.position;
  for (const auto& entry : message.entries)
  {
    if (entry.position.index != previous.index + 1 ||
        entry.position.term < previous.term ||
        entry.position.term > message.term)
      return false;
    if (entry.kind == entry_kind::membership &&
        !decode_group(entry.payload).has_value())
      return false;
    previous = entry.position;
  }
  return true;
}

} // namespace

void replica_core::send_pending()
{
  for (auto& [id, peer] : peers_)
  {
    if (!may_receive(peer))
      continue;
    if (peer.state != progress_state::snapshot &&
        peer.next <= log_.base().index)
    {
      peer.state = progress_state::snapshot;
      peer.snapshot_position = {};
      peer.waiting = false;
    }
    if (peer.state == progress_state::snapshot)
      send_snapshot(peer);
    else if (peer.state == progress_state::probe && !peer.waiting)
      send_entries(peer);
    while (peer.state == progress_state::replicate && may_pipeline(peer))
      send_entries(peer);
    // Rounds of reads also announce the commit index, but only to voters;
    // learners would have to wait for the next entry or regular heartbeat.
    if (!peer.address.voter &&
        std::min(commit_, peer.match) > peer.announced_commit)
      send_heartbeat(peer);
  }
}

// The reply to a probe shows what a replica reads that was not heard from yet.
bool replica_core::may_receive(progress& peer)
{
  if (is_replaced(peer))
    return false;
  if (required_format_ == first_format_version)
    return true;
  if (peer.formats)
    return peer.formats->reads(required_format_);
  if (peer.state == progress_state::probe && !peer.waiting)
  {
    peer.waiting = true;
    send_probe(peer);
  }
  return false;
}

// Whether another replica answers at the peer's endpoint. Entries for the lost
// one would delay those that its successor needs to catch up.
bool replica_core::is_replaced(const progress& peer) const
{
  const auto& rpc = peer.address.rpc;
  return rpc.port != 0 &&
         now_ - peer.last_contact >= settings_.election_timeout &&
         std::any_of(peers_.begin(), peers_.end(),
                     [&](const auto& item)
                     {
                       return item.second.address.rpc == rpc &&
                              item.second.last_contact > peer.last_contact;
                     });
}

// A second large request would be dropped by the transport and wait for its
// retransmission; it follows the acknowledgement of the first.
bool replica_core::may_pipeline(const progress& peer) const
{
  if (peer.next > log_.last().index ||
      peer.in_flight.size() >= settings_.max_messages_in_flight)
    return false;
  const bool large_in_flight =
      std::any_of(peer.in_flight.begin(), peer.in_flight.end(),
                  [](const sent_request& sent)
                  {
                    return sent.large;
                  });
  return !large_in_flight || !next_is_large(peer);
}

bool replica_core::next_is_large(const progress& peer) const
{
  auto bytes = request_overhead;
  for (auto index = peer.next; index <= log_.last().index; ++index)
  {
    bytes += entry_overhead + log_.at(index).payload.size();
    if (bytes >= settings_.large_message_bytes)
      return true;
  }
  return false;
}

void replica_core::send_entries(progress& peer)
{
  auto request = make_message(message_kind::append_request, peer.address.id);
  const auto previous = peer.next - 1;
  request.position = {log_.term_at(previous).value_or(0), previous};
  request.commit = commit_;
  std::size_t bytes = 0;
  auto index = peer.next;
  for (; index <= log_.last().index && bytes < settings_.max_message_bytes;
       ++index)
  {
    request.entries.push_back(log_.at(index));
    bytes += request.entries.back().payload.size();
  }
  peer.announced_commit =
      std::max(peer.announced_commit, std::min(commit_, index - 1));
  peer.last_activity = now_;
  if (peer.state == progress_state::probe)
    peer.waiting = true;
  else
  {
    peer.in_flight.push_back({index - 1, next_is_large(peer)});
    peer.next = index;
  }
  send_now(std::move(request));
}

void replica_core::send_heartbeat(progress& peer)
{
  auto message = make_message(message_kind::heartbeat, peer.address.id);
  message.commit = commit_;
  message.index = peer.match;
  message.round = round_;
  peer.announced_commit =
      std::max(peer.announced_commit, std::min(commit_, peer.match));
  send_now(std::move(message));
}

void replica_core::send_heartbeats()
{
  heartbeat_due_ = now_ + settings_.heartbeat_interval;
  for (auto& [id, peer] : peers_)
    send_heartbeat(peer);
}

// Asks without entries whether the replica has those sent so far.
void replica_core::send_probe(progress& peer)
{
  auto request = make_message(message_kind::append_request, peer.address.id);
  const auto previous = peer.next - 1;
  request.position = {log_.term_at(previous).value_or(0), previous};
  request.commit = commit_;
  peer.last_activity = now_;
  send_now(std::move(request));
}

// Handles requests that were not acknowledged within two heartbeat intervals. A
// large entry takes longer on a slow link, so entries are sent again only after
// the reply to a probe shows that they are missing: the probe arrives behind
// them.
void replica_core::retransmit()
{
  for (auto& [id, peer] : peers_)
  {
    if (now_ - peer.last_activity < 2 * settings_.heartbeat_interval)
      continue;
    if (peer.state == progress_state::snapshot ||
        peer.next <= log_.base().index)
      peer.waiting = false;
    else if (peer.waiting || !peer.in_flight.empty())
      send_probe(peer);
  }
}

void replica_core::record_leader_contact(const replica_message& message)
{
  if (role_ != replica_role::follower)
    become_follower(hard_.term);
  leader_ = address_of(message.from.id, message.from);
  leader_last_contact_ = now_;
  reset_election_deadline();
}

void replica_core::on_append_request(const replica_message& message)
{
  if (role_ == replica_role::leader || !well_formed(message))
    return;
  record_leader_contact(message);
  const auto& previous = message.position;
  if (previous.index <= commit_ ||
      log_.term_at(previous.index) == std::make_optional(previous.term))
    return accept_entries(message);
  auto reply = make_message(message_kind::append_reply, message.from.id);
  reply.position = previous;
  reply.index = std::min(previous.index - 1, log_.last().index);
  // Skips the whole conflicting term, so that it costs one round trip however
  // many entries it has.
  if (const auto conflict = log_.term_at(previous.index))
    while (reply.index > commit_ && log_.term_at(reply.index) == conflict)
      --reply.index;
  send_after_persist(std::move(reply));
}

void replica_core::accept_entries(const replica_message& message)
{
  for (const auto& entry : message.entries)
  {
    const auto index = entry.position.index;
    if (index <= commit_)
      continue;
    const auto term = log_.term_at(index);
    if (term == entry.position.term)
      continue;
    if (term)
      truncate_from(index);
    append_entry(entry);
  }
  const auto end = message.position.index + message.entries.size();
  auto reply = make_message(message_kind::append_reply, message.from.id);
  reply.granted = true;
  reply.index = std::max(end, commit_);
  send_after_persist(std::move(reply));
  update_commit_from_leader(message.commit, end);
}

void replica_core::update_commit_from_leader(std::uint64_t commit,
                                             std::uint64_t verified)
{
  set_commit(std::min(commit, verified));
  // A leader that committed an entry of its own term knows every committed
  // entry, so this index is a safe target for catching up.
  if (commit <= verified && log_.term_at(commit) == hard_.term)
  {
    catch_up_target_ = commit;
    enable_voting_if_caught_up();
  }
}

replica_core::progress* replica_core::peer_of(const replica_message& message)
{
  if (role_ != replica_role::leader)
    return nullptr;
  const auto found = peers_.find(message.from.id);
  return found == peers_.end() ? nullptr : &found->second;
}

void replica_core::record_peer_contact(progress& peer,
                                       const replica_message& message)
{
  peer.last_contact = now_;
  if (peer.first_round == 0)
  {
    peer.first_round = round_ + 1;
    peer.first_contact = now_;
  }
  peer.may_vote = peer.may_vote || message.may_vote;
  peer.in_memory = message.in_memory;
  peer.formats = message.formats;
}

void replica_core::on_append_reply(const replica_message& message)
{
  auto* peer = peer_of(message);
  if (peer == nullptr)
    return;
  record_peer_contact(*peer, message);
  if (!message.granted)
  {
    const auto rejected = message.position.index;
    const bool stale =
        peer->state == progress_state::snapshot || rejected <= peer->match ||
        (peer->state == progress_state::probe && rejected != peer->next - 1);
    if (stale)
      return;
    peer->state = progress_state::probe;
    peer->next =
        std::max(peer->match, std::min(message.index, rejected - 1)) + 1;
    peer->waiting = false;
    peer->in_flight.clear();
    return;
  }
  if (message.index > log_.last().index)
    return;
  peer->match = std::max(peer->match, message.index);
  peer->next = std::max(peer->next, peer->match + 1);
  while (!peer->in_flight.empty() &&
         peer->in_flight.front().last <= peer->match)
    peer->in_flight.pop_front();
  if (peer->state == progress_state::probe)
  {
    peer->state = progress_state::replicate;
    peer->waiting = false;
  }
  peer->last_activity = now_;
  advance_commit();
}

void replica_core::on_heartbeat(const replica_message& message)
{
  if (role_ == replica_role::leader)
    return;
  record_leader_contact(message);
  auto reply = make_message(message_kind::heartbeat_reply, message.from.id);
  reply.round = message.round;
  reply.granted = message.index <= log_.last().index;
  if (reply.granted)
    update_commit_from_leader(message.commit, message.index);
  send_after_persist(std::move(reply));
}

void replica_core::on_heartbeat_reply(const replica_message& message)
{
  auto* peer = peer_of(message);
  if (peer == nullptr)
    return;
  record_peer_contact(*peer, message);
  peer->round = std::max(peer->round, std::min(message.round, round_));
  if (message.granted)
    return;
  // The replica lost entries that it had acknowledged.
  peer->match = 0;
  peer->next = log_.last().index + 1;
  peer->state = progress_state::probe;
  peer->waiting = false;
  peer->in_flight.clear();
}

void replica_core::advance_commit()
{
  std::vector<std::uint64_t> matches;
  for (const auto& member : group().members)
    if (member.voter)
      matches.push_back(member.id == settings_.self
                            ? durable_index_
                            : peers_.at(member.id).match);
  std::sort(matches.begin(), matches.end(), std::greater<>());
  const auto quorum_match = matches[quorum() - 1];
  if (quorum_match <= commit_ || log_.term_at(quorum_match) != hard_.term)
    return;
  catch_up_target_ = quorum_match;
  enable_voting_if_caught_up();
  const bool first = commit_ < term_start_;
  set_commit(quorum_match);
  // Replicas that started with an empty data folder may vote once they learn
  // this commit index.
  if (first && role_ == replica_role::leader)
    send_heartbeats();
}

void replica_core::set_commit(std::uint64_t index)
{
  if (index <= commit_)
    return;
  commit_ = index;
  if (role_ == replica_role::leader)
    step_down_if_removed();
}

} // namespace toucanmill::log_detail
