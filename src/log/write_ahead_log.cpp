#include "write_ahead_log.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "frame.hpp"

namespace toucanmill::log_detail
{

namespace
{

const std::string prefix = "wal-";
constexpr std::size_t segment_number_digits = 16;

error corrupt(const std::string& location, const std::string& reason)
{
  return error{error_code::corrupt_data, location + ": " + reason};
}

std::string location_of(const std::string& path, std::size_t offset)
{
  return path + ": offset " + std::to_string(offset);
}

} // namespace

write_ahead_log::write_ahead_log(file_system& files, std::string folder,
                                 replica_id self, std::uint64_t segment_bytes)
    : files_(files), folder_(std::move(folder)), self_(self),
      segment_bytes_(segment_bytes)
{
}

bool write_ahead_log::is_segment_name(const std::string& name)
{
  return name.size() == prefix.size() + segment_number_digits &&
         name.compare(0, prefix.size(), prefix) == 0 &&
         name.find_first_not_of("0123456789abcdef", prefix.size()) ==
             std::string::npos;
}

std::string write_ahead_log::path_of(std::uint64_t number) const
{
  char digits[segment_number_digits + 1] = {};
  std::snprintf(digits, sizeof digits, "%016llx",
                static_cast<unsigned long long>(number));
  return folder_ + "/" + prefix + digits;
}

result<void> write_ahead_log::create(const hard_state& hard)
{
  hard_ = hard;
  BOOST_OUTCOME_TRY(start_segment(1));
  return write_batch();
}

std::size_t write_ahead_log::initial_bytes(const hard_state& hard) const
{
  return make_frame(encode(wal_record{segment_start{self_}})).size() +
         make_frame(encode(wal_record{hard})).size();
}

result<void> write_ahead_log::start_segment(std::uint64_t number)
{
  BOOST_OUTCOME_TRY(file, files_.open(path_of(number)));
  file_ = std::move(file);
  segments_.push_back({number, 0, 0});
  folder_unsynced_ = true;
  append(segment_start{self_});
  append(hard_);
  return outcome::success();
}

void write_ahead_log::track(const wal_record& record)
{
  auto& last = segments_.back().last_index;
  if (const auto* entry = std::get_if<log_entry>(&record))
    last = std::max(last, entry->position.index);
  else if (const auto* reset = std::get_if<log_reset>(&record))
    last = std::max(last, reset->position.index);
  else if (const auto* state = std::get_if<hard_state>(&record))
    hard_ = *state;
}

void write_ahead_log::append(const wal_record& record)
{
  track(record);
  batch_ += make_frame(encode(record));
}

result<void> write_ahead_log::sync()
{
  BOOST_OUTCOME_TRY(write_batch());
  if (segments_.back().size < segment_bytes_)
    return outcome::success();
  BOOST_OUTCOME_TRY(start_segment(segments_.back().number + 1));
  return write_batch();
}

// The batch is empty when a segment is started, so a segment that is not the
// newest is complete and durable.
result<void> write_ahead_log::write_batch()
{
  if (batch_.empty())
    return outcome::success();
  const auto size = batch_.size();
  const auto appended = append_from(*file_, batch_);
  segments_.back().size += size - batch_.size();
  BOOST_OUTCOME_TRY(appended);
  BOOST_OUTCOME_TRY(file_->sync());
  if (folder_unsynced_)
  {
    BOOST_OUTCOME_TRY(files_.sync_folder(folder_));
  }
  folder_unsynced_ = false;
  return outcome::success();
}

// Each removal is durable before the next, oldest first: a loss of power that
// brought back an older segment without a newer one would leave a gap.
result<void> write_ahead_log::remove_up_to(std::uint64_t index)
{
  while (segments_.size() > 1 && segments_.front().last_index <= index)
  {
    BOOST_OUTCOME_TRY(files_.remove(path_of(segments_.front().number)));
    segments_.erase(segments_.begin());
    BOOST_OUTCOME_TRY(files_.sync_folder(folder_));
  }
  return outcome::success();
}

result<recovered_log> write_ahead_log::recover()
{
  BOOST_OUTCOME_TRY(names, files_.list(folder_));
  std::vector<std::uint64_t> numbers;
  for (const auto& name : names)
    if (is_segment_name(name))
      numbers.push_back(std::stoull(name.substr(prefix.size()), nullptr, 16));
  if (numbers.empty())
    return corrupt(folder_, "no write-ahead log segment found");
  recovered_log log;
  for (std::size_t i = 0; i < numbers.size(); ++i)
  {
    if (i != 0 && numbers[i] != numbers[i - 1] + 1)
      return corrupt(path_of(numbers[i - 1] + 1),
                     "write-ahead log segment is missing");
    BOOST_OUTCOME_TRY(read_segment(numbers[i], i + 1 == numbers.size(), log));
  }
  BOOST_OUTCOME_TRY(file, files_.open(path_of(segments_.back().number)));
  file_ = std::move(file);
  // Syncs records that an earlier process wrote but did not sync: they must be
  // durable before anything depends on them.
  BOOST_OUTCOME_TRY(file_->sync());
  BOOST_OUTCOME_TRY(files_.sync_folder(folder_));
  return log;
}

result<void> write_ahead_log::read_segment(std::uint64_t number, bool newest,
                                           recovered_log& log)
{
  const auto path = path_of(number);
  BOOST_OUTCOME_TRY(bytes, files_.read(path));
  std::size_t offset = 0;
  segments_.push_back({number, 0, 0});
  while (offset < bytes.size())
  {
    const auto frame = read_frame(bytes, offset);
    const auto location = location_of(path, offset);
    if (frame.status == frame_status::torn && newest)
      break;
    if (frame.status != frame_status::complete)
      return corrupt(location, frame.reason);
    auto record = decode_record(frame.payload);
    if (!record)
      return corrupt(location, record.error().message);
    const bool is_start_record =
        std::holds_alternative<segment_start>(record.value());
    if (is_start_record != (offset == 0))
      return corrupt(location, "segment start record missing or not first");
    BOOST_OUTCOME_TRY(replay(record.value(), log, location));
    offset += frame.size;
  }
  segments_.back().size = offset;
  if (offset == 0)
  {
    // The process stopped while it was creating this segment.
    if (!newest || segments_.size() == 1)
      return corrupt(location_of(path, 0), "segment has no start record");
    segments_.pop_back();
    return files_.remove(path);
  }
  if (offset < bytes.size())
    return files_.truncate(path, offset);
  return outcome::success();
}

result<void> write_ahead_log::replay(const wal_record& record,
                                     recovered_log& log,
                                     const std::string& location)
{
  track(record);
  if (const auto* start = std::get_if<segment_start>(&record))
  {
    if (start->replica != self_)
      return corrupt(location,
                     "segment belongs to replica " + to_string(start->replica));
  }
  else if (const auto* state = std::get_if<hard_state>(&record))
    log.hard = *state;
  else if (const auto* entry = std::get_if<log_entry>(&record))
    return replay_entry(*entry, log, location);
  else
  {
    log.entries.clear();
    next_expected_index_ = std::get<log_reset>(record).position.index + 1;
  }
  return outcome::success();
}

result<void> write_ahead_log::replay_entry(const log_entry& entry,
                                           recovered_log& log,
                                           const std::string& location)
{
  const auto index = entry.position.index;
  if (next_expected_index_ != 0 && index > next_expected_index_)
    return corrupt(location, "entry " + std::to_string(index) +
                                 " follows entry " +
                                 std::to_string(next_expected_index_ - 1));
  if (entry.kind == entry_kind::membership &&
      !decode_group(entry.payload).has_value())
    return corrupt(location, "malformed membership entry");
  while (!log.entries.empty() && log.entries.back().position.index >= index)
    log.entries.pop_back();
  log.entries.push_back(entry);
  next_expected_index_ = index + 1;
  return outcome::success();
}

} // namespace toucanmill::log_detail
