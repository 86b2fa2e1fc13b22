#ifndef TOUCANMILL_SRC_LOG_MESSAGE_HPP
#define TOUCANMILL_SRC_LOG_MESSAGE_HPP

#include <cstdint>
#include <string>
#include <vector>

#include <toucanmill/base/format_version.hpp>
#include <toucanmill/log/types.hpp>

namespace toucanmill::log_detail
{

/// Group configuration: the members, and the ids that were removed. A removed
/// id is never reused, because its votes and acknowledgements may be lost.
struct group_record
{
  std::vector<replica_address> members;
  std::vector<replica_id> removed;

  bool operator==(const group_record& other) const
  {
    return members == other.members && removed == other.removed;
  }
};

/// Raft state that must be durable before any message that depends on it is
/// sent.
struct hard_state
{
  std::uint64_t term = 0;
  replica_id voted_for; ///< 0: not voted in this term
  bool may_vote = true; ///< false: started with an empty data folder and
                        ///< has not caught up yet

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

/// Describes a snapshot: position of the last entry in it, the group
/// configuration at that entry, and the size in bytes.
struct snapshot_meta
{
  table_version position;
  group_record group;
  std::uint64_t size = 0;
};

enum class message_kind : std::uint8_t
{
  pre_vote_request, ///< position: last entry; term: of the election to start
  pre_vote_reply,
  vote_request, ///< position: last entry; granted: sent for a leadership
                ///< transfer, valid even if the receiver has a live leader
  vote_reply,
  append_request,  ///< position: entry before the first one sent
  append_reply,    ///< index: match, or if rejected the highest to try next
  heartbeat,       ///< index: match index of the receiver
  heartbeat_reply, ///< granted: the log reaches that match index
  snapshot_chunk,  ///< position, group and size of the snapshot; index: offset
                   ///< of data
  snapshot_reply,  ///< index: next expected offset; granted: installed
  timeout_now,     ///< the receiver starts an election immediately
};

/// Message between two replicas. Fields that the kind does not use keep their
/// defaults.
struct replica_message
{
  message_kind kind = message_kind::heartbeat;
  replica_address from;
  replica_id to;
  std::uint64_t term = 0;
  table_version position;
  std::uint64_t commit = 0;
  std::uint64_t index = 0;
  std::uint64_t round = 0; ///< heartbeat round, echoed in the reply
  std::uint64_t size = 0;
  bool granted = false;
  std::vector<log_entry> entries;
  group_record group;
  std::string data;
  bool may_vote = false;  ///< in replies: durable hard_state::may_vote
  bool pristine = false;  ///< in vote requests: the log has only no-ops
  bool in_memory = false; ///< the sender has no disk
  format_support formats; ///< of the sender's build
};

} // namespace toucanmill::log_detail

#endif
