#include "replica_core.hpp"

#include <algorithm>

namespace toucanmill::log_detail
{

void replica_core::send_snapshot(progress& peer)
{
  if (peer.snapshot_position != snapshot_.position)
  {
    peer.snapshot_position = snapshot_.position;
    peer.snapshot_offset = 0;
    peer.waiting = false;
  }
  if (peer.waiting)
    return;
  auto chunk = make_message(message_kind::snapshot_chunk, peer.address.id);
  chunk.position = snapshot_.position;
  chunk.group = snapshot_.group;
  chunk.size = snapshot_.size;
  chunk.index = peer.snapshot_offset;
  peer.waiting = true;
  peer.last_activity = now_;
  send_now(std::move(chunk));
}

void replica_core::on_snapshot_chunk(const replica_message& message)
{
  if (role_ == replica_role::leader || message.group.members.empty())
    return;
  record_leader_contact(message);
  auto reply = make_message(message_kind::snapshot_reply, message.from.id);
  reply.position = message.position;
  if (message.position.index <= commit_)
  {
    reply.granted = true;
    return send_after_persist(std::move(reply));
  }
  if (incoming_snapshot_position_ != message.position)
  {
    incoming_snapshot_position_ = message.position;
    incoming_snapshot_.clear();
  }
  if (message.index == incoming_snapshot_.size() &&
      message.data.size() <= message.size - message.index)
    incoming_snapshot_ += message.data;
  reply.index = incoming_snapshot_.size();
  if (incoming_snapshot_.size() == message.size)
  {
    install(message);
    reply.granted = true;
  }
  send_after_persist(std::move(reply));
}

void replica_core::install(const replica_message& message)
{
  auto data = std::exchange(incoming_snapshot_, {});
  incoming_snapshot_position_ = {};
  const auto& position = message.position;
  if (log_.term_at(position.index) == position.term)
    return set_commit(position.index);
  snapshot_ = {position, message.group, message.size};
  snapshot_to_persist_ = received_snapshot{snapshot_, std::move(data)};
  log_.reset(position);
  groups_ = {{position.index, message.group}};
  commit_ = applied_ = position.index;
  unpersisted_from_ = 0;
  // No index counts as durable until the snapshot is durable.
  durable_index_ = 0;
  for (auto& [sequence, last] : persists_in_flight_)
    last = 0;
}

void replica_core::on_snapshot_reply(const replica_message& message)
{
  auto* peer = peer_of(message);
  if (peer == nullptr)
    return;
  record_peer_contact(*peer, message);
  if (peer->state != progress_state::snapshot ||
      message.position != peer->snapshot_position)
    return;
  peer->waiting = false;
  if (!message.granted)
  {
    peer->snapshot_offset = std::min(message.index, snapshot_.size);
    return;
  }
  peer->match = std::max(peer->match, message.position.index);
  peer->next = peer->match + 1;
  peer->state = progress_state::probe;
  advance_commit();
}

} // namespace toucanmill::log_detail
