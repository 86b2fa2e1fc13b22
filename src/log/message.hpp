#ifndef TOUCANMILL_SRC_LOG_MESSAGE_HPP
#define TOUCANMILL_SRC_LOG_MESSAGE_HPP

#include <cstdint>
#include <string>
#include <vector>

#include <toucanmill/log/types.hpp>

namespace toucanmill::log_detail
{

/// The control instances of the group, and the ids that were removed from it.
/// A removed id never returns: its votes and acknowledgements may be lost.
struct group_record
{
  std::vector<replica_address> members;
  std::vector<replica_id> removed;

  bool operator==(const group_record& other) const
  {
    return members == other.members && removed == other.removed;
  }
};

/// State that must be durable before any message that depends on it is sent.
struct hard_state
{
  std::uint64_t term = 0;
  replica_id voted_for; ///< 0: no vote in this term
  bool may_vote = true; ///< false: the folder was empty, not yet caught up

  bool operator==(const hard_state& other) const
  {
    return term == other.term && voted_for == other.voted_for &&
           may_vote == other.may_vote;
  }
  bool operator!=(const hard_state& other) const
  {
    return !(*this == other);
  }
};

/// Describes a snapshot: the last entry in it, the group then, its octets.
struct snapshot_meta
{
  table_version position;
  group_record group;
  std::uint64_t size = 0;
};

enum class message_kind : std::uint8_t
{
  pre_vote_request, ///< position: last entry; term: the one to campaign in
  pre_vote_reply,
  vote_request, ///< position: last entry; granted: skip the leader check
  vote_reply,
  append_request, ///< position: entry before the first one sent
  append_reply,   ///< index: match, or the highest one worth trying
  heartbeat,      ///< index: known match of the receiver
  heartbeat_reply,
  snapshot_chunk, ///< position, group, size of all; index: offset of data
  snapshot_reply, ///< index: next offset wanted; granted: installed
  timeout_now,    ///< the receiver may campaign immediately
};

/// Message between two replicas. Fields without a meaning for the kind are
/// unset.
struct replica_message
{
  message_kind kind = message_kind::heartbeat;
  replica_address from;
  replica_id to;
  std::uint64_t term = 0;
  table_version position;
  std::uint64_t commit = 0;
  std::uint64_t index = 0;
  std::uint64_t round = 0; ///< of heartbeats, echoed by the reply
  std::uint64_t size = 0;
  bool granted = false;
  std::vector<log_entry> entries;
  group_record group;
  std::string data;
  bool may_vote = false; ///< of replies: the sender may vote, durably
  bool pristine = false; ///< of vote requests: the log has only barriers
};

} // namespace toucanmill::log_detail

#endif
