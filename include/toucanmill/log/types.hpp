#ifndef TOUCANMILL_LOG_TYPES_HPP
#define TOUCANMILL_LOG_TYPES_HPP

#include <cstdint>
#include <string>
#include <vector>

#include <toucanmill/base/address.hpp>
#include <toucanmill/base/ids.hpp>

namespace toucanmill
{

/// Identifies a control instance in the Raft group. An instance that lost its
/// data joins again under a new id.
using replica_id = strong_id<struct replica_id_tag, std::uint64_t>;

/// A member of the Raft group and the endpoint of its RPC server.
struct replica_address
{
  replica_id id;
  endpoint rpc;
  bool voter = true; ///< false: learner, receives entries but does not vote

  bool operator==(const replica_address& other) const
  {
    return id == other.id && rpc == other.rpc && voter == other.voter;
  }
};

enum class entry_kind : std::uint8_t
{
  command,    ///< applied to the state machine
  no_op,      ///< first entry of each leader's term, without a payload
  membership, ///< new group configuration
};

/// One entry of the replicated log.
struct log_entry
{
  table_version position; ///< term and index
  entry_kind kind = entry_kind::command;
  std::string payload;

  bool operator==(const log_entry& other) const
  {
    return position == other.position && kind == other.kind &&
           payload == other.payload;
  }
};

} // namespace toucanmill

#endif
