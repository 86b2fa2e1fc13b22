#ifndef TOUCANMILL_SRC_LOG_LOG_SAMPLES_TEST_HPP
#define TOUCANMILL_SRC_LOG_LOG_SAMPLES_TEST_HPP

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "codec.hpp"
#include "log_store.hpp"
#include "simulated_files_test.hpp"

namespace toucanmill::log_detail
{

inline const std::string sample_folder = "data";
inline constexpr replica_id sample_replica{11};
/// Small, so that the entries fill several segments.
inline constexpr std::uint64_t sample_segment_bytes = 256;
inline constexpr std::uint64_t sample_entries = 12;
inline constexpr std::uint64_t sample_snapshot_index = 5;

inline group_record sample_group()
{
  return {{{replica_id{11}, {ipv4_address{0x7F000001}, 9000}, true},
           {replica_id{12}, {ipv4_address{0x7F000002}, 9001}, true},
           {replica_id{13}, {ipv4_address{0x7F000003}, 9002}, false}},
          {replica_id{3}, replica_id{4}}};
}

inline log_entry sample_entry(std::uint64_t index)
{
  return {{index < 4 ? 1U : 2U, index},
          index == 4 ? entry_kind::no_op : entry_kind::command,
          index == 4 ? "" : "entry " + std::to_string(index)};
}

inline hard_state sample_hard_state()
{
  return {2, replica_id{12}, true};
}

inline snapshot_meta sample_snapshot_meta()
{
  return {{2, sample_snapshot_index}, sample_group(), 9};
}

inline replica_message sample_message(message_kind kind)
{
  replica_message message;
  message.kind = kind;
  message.from = sample_group().members[0];
  message.to = replica_id{12};
  message.term = 5;
  message.position = {4, 17};
  message.commit = 16;
  message.index = 15;
  message.round = 77;
  message.size = 1 << 20;
  message.granted = true;
  if (kind == message_kind::append_request)
    message.entries = {
        {{5, 18}, entry_kind::command, "payload"},
        {{5, 19}, entry_kind::no_op, ""},
        {{5, 20}, entry_kind::membership, encode(sample_group())}};
  if (kind == message_kind::snapshot_chunk)
  {
    message.group = sample_group();
    message.data = std::string("chunk\0", 6);
  }
  message.may_vote = true;
  message.pristine = kind == message_kind::vote_request;
  return message;
}

/// A message of each kind.
inline std::map<std::string, replica_message> sample_messages()
{
  std::map<std::string, replica_message> messages;
  for (auto kind = 0; kind <= static_cast<int>(message_kind::timeout_now);
       ++kind)
    messages["message_" + std::to_string(kind)] =
        sample_message(static_cast<message_kind>(kind));
  return messages;
}

/// A folder with a snapshot and entries in several segments.
inline std::shared_ptr<simulated_disk> sample_disk()
{
  auto disk = std::make_shared<simulated_disk>();
  simulated_file_system files(disk);
  auto store = log_store::open(files, sample_folder, sample_replica,
                               sample_group().members, sample_segment_bytes);
  for (std::uint64_t index = 1; index <= sample_entries; ++index)
  {
    persist_request request;
    request.sequence = index;
    if (index == 4)
      request.hard = sample_hard_state();
    request.entries = {sample_entry(index)};
    store.value()->save(request).value();
    if (index == 7)
      store.value()->save_snapshot(sample_snapshot_meta(), "the state").value();
  }
  return disk;
}

/// What this build writes; files with their path as name.
inline std::map<std::string, std::string> encoded_samples()
{
  std::map<std::string, std::string> encoded{
      {"group", encode(sample_group())},
      {"record_start", encode(wal_record{segment_start{sample_replica}})},
      {"record_hard_state", encode(wal_record{sample_hard_state()})},
      {"record_entry", encode(wal_record{sample_entry(3)})},
      {"record_reset", encode(wal_record{log_reset{{2, 9}}})},
      {"snapshot_header", encode(snapshot_header{sample_snapshot_meta(), 7})}};
  for (const auto& [name, message] : sample_messages())
    encoded[name] = encode(message);
  const auto disk = sample_disk();
  for (const auto& [path, file] : disk->files)
    encoded[path] = file->bytes;
  return encoded;
}

} // namespace toucanmill::log_detail

#endif
