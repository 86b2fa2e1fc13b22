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
  auto chunk = make(message_kind::snapshot_chunk, peer.address.id);
  chunk.position = snapshot_.position;
  chunk.group = snapshot_.group;
  chunk.size = snapshot_.size;
  chunk.index = peer.snapshot_offset;
  peer.waiting = true;
  peer.sent = now_;
  send_now(std::move(chunk));
}

void replica_core::on_snapshot_chunk(const replica_message& message)
{
  if (role_ == replica_role::leader || message.group.members.empty())
    return;
  follow(message);
  auto reply = make(message_kind::snapshot_reply, message.from.id);
  reply.position = message.position;
  if (message.position.index <= commit_)
  {
    reply.granted = true;
    return send_durable(std::move(reply));
  }
  if (incoming_position_ != message.position)
  {
    incoming_position_ = message.position;
    incoming_.clear();
  }
  if (message.index == incoming_.size() &&
      message.data.size() <= message.size - message.index)
    incoming_ += message.data;
  reply.index = incoming_.size();
  if (incoming_.size() == message.size)
  {
    install(message);
    reply.granted = true;
  }
  send_durable(std::move(reply));
}

void replica_core::install(const replica_message& message)
{
  auto data = std::exchange(incoming_, {});
  incoming_position_ = {};
  const auto& position = message.position;
  if (log_.term_at(position.index) == position.term)
    return set_commit(position.index);
  snapshot_ = {position, message.group, message.size};
  install_ = received_snapshot{snapshot_, std::move(data)};
  log_.reset(position);
  groups_ = {{position.index, message.group}};
  commit_ = applied_ = position.index;
  unsaved_from_ = 0;
  // Nothing from before counts as durable until the snapshot is.
  persisted_ = 0;
  for (auto& [sequence, last] : saving_)
    last = 0;
}

void replica_core::on_snapshot_reply(const replica_message& message)
{
  auto* peer = peer_of(message);
  if (peer == nullptr)
    return;
  peer->heard = now_;
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
