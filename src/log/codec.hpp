#ifndef TOUCANMILL_SRC_LOG_CODEC_HPP
#define TOUCANMILL_SRC_LOG_CODEC_HPP

#include <string>
#include <string_view>
#include <variant>

#include "message.hpp"
#include <toucanmill/base/outcome.hpp>

namespace toucanmill::log_detail
{

/// First record of a segment; identifies the replica that it belongs to.
struct segment_start
{
  replica_id replica;
};

/// Marks that an installed snapshot replaced all earlier entries of the log;
/// the next entry follows the position.
struct log_reset
{
  table_version position;
};

/// Payload of one frame of the write-ahead log.
using wal_record =
    std::variant<segment_start, hard_state, log_entry, log_reset>;

struct snapshot_header
{
  snapshot_meta meta;
  std::uint32_t checksum = 0; ///< CRC-32C of the content
};

/// Encoding is Cap'n Proto (schema/log.capnp). Decoding errors: corrupt_data.
std::string encode(const replica_message& message);
std::string encode(const group_record& group);
std::string encode(const wal_record& record);
std::string encode(const snapshot_header& header);

result<replica_message> decode_message(std::string_view bytes);
result<group_record> decode_group(std::string_view bytes);
result<wal_record> decode_record(std::string_view bytes);
result<snapshot_header> decode_snapshot_header(std::string_view bytes);

} // namespace toucanmill::log_detail

#endif
