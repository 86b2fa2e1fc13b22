#include "snapshot_files.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "frame.hpp"

namespace toucanmill::log_detail
{

namespace
{

const std::string prefix = "snapshot-";
const std::string temporary_file = snapshot_files::temporary_name;

/// Writing 100 MB in one part takes 729 ms, longer than the election timeout.
constexpr std::size_t part_bytes = std::size_t{4} * 1024 * 1024;

} // namespace

snapshot_files::snapshot_files(file_system& files, std::string folder)
    : files_(files), folder_(std::move(folder))
{
}

// The index comes first, so that names sort from oldest to newest.
std::string snapshot_files::name_of(const table_version& position)
{
  char digits[34] = {};
  std::snprintf(digits, sizeof digits, "%016llx-%016llx",
                static_cast<unsigned long long>(position.index),
                static_cast<unsigned long long>(position.term));
  return prefix + digits;
}

bool snapshot_files::is_snapshot_name(const std::string& name)
{
  return name.compare(0, prefix.size(), prefix) == 0;
}

std::string snapshot_files::path_of(const std::string& name) const
{
  return folder_ + "/" + name;
}

result<void> snapshot_files::write(const snapshot_meta& meta, std::string data)
{
  begin(meta, std::move(data));
  while (in_progress())
  {
    BOOST_OUTCOME_TRY(step());
  }
  return outcome::success();
}

void snapshot_files::begin(const snapshot_meta& meta, std::string data)
{
  pending_.emplace(meta, std::move(data));
}

result<std::optional<snapshot_meta>> snapshot_files::step()
{
  auto& pending = *pending_;
  const std::string_view data = pending.data;
  if (pending.checksummed_bytes < data.size())
  {
    const auto part = data.substr(pending.checksummed_bytes, part_bytes);
    pending.checksum.add(part);
    pending.checksummed_bytes += part.size();
    return std::optional<snapshot_meta>{};
  }
  if (!pending.file)
  {
    BOOST_OUTCOME_TRY(open_temporary());
  }
  BOOST_OUTCOME_TRY(append_from(*pending.file, pending.unwritten_header));
  const auto part = data.substr(pending.written_bytes, part_bytes);
  auto unwritten = part;
  const auto appended = pending.file->append(unwritten);
  pending.written_bytes += part.size() - unwritten.size();
  BOOST_OUTCOME_TRY(appended);
  BOOST_OUTCOME_TRY(pending.file->sync());
  if (pending.written_bytes < data.size())
    return std::optional<snapshot_meta>{};
  BOOST_OUTCOME_TRY(finish());
  const auto meta = pending.meta;
  pending_.reset();
  return std::make_optional(meta);
}

result<void> snapshot_files::open_temporary()
{
  auto& pending = *pending_;
  BOOST_OUTCOME_TRY(names, files_.list(folder_));
  if (std::count(names.begin(), names.end(), temporary_file) != 0)
  {
    BOOST_OUTCOME_TRY(files_.remove(path_of(temporary_file)));
  }
  BOOST_OUTCOME_TRY(file, files_.open(path_of(temporary_file)));
  pending.unwritten_header = make_frame(
      encode(snapshot_header{pending.meta, pending.checksum.value()}));
  header_bytes_ = pending.unwritten_header.size();
  pending.file = std::move(file);
  return outcome::success();
}

result<void> snapshot_files::finish()
{
  const auto name = name_of(pending_->meta.position);
  if (!pending_->renamed)
  {
    BOOST_OUTCOME_TRY(files_.rename(path_of(temporary_file), path_of(name)));
    pending_->renamed = true;
  }
  BOOST_OUTCOME_TRY(files_.sync_folder(folder_));
  newest_name_ = name;
  content_offset_ = header_bytes_;
  return remove_others(name);
}

result<void> snapshot_files::remove_others(const std::string& keep)
{
  BOOST_OUTCOME_TRY(names, files_.list(folder_));
  for (const auto& name : names)
  {
    if (name != temporary_file && (!is_snapshot_name(name) || name == keep))
      continue;
    BOOST_OUTCOME_TRY(files_.remove(path_of(name)));
  }
  return outcome::success();
}

result<std::optional<loaded_snapshot>> snapshot_files::load()
{
  BOOST_OUTCOME_TRY(names, files_.list(folder_));
  for (const auto& name : names)
    if (is_snapshot_name(name))
      newest_name_ = name;
  if (newest_name_.empty())
    return std::optional<loaded_snapshot>{};
  BOOST_OUTCOME_TRY(bytes, files_.read(path_of(newest_name_)));
  BOOST_OUTCOME_TRY(snapshot, parse(path_of(newest_name_), std::move(bytes)));
  BOOST_OUTCOME_TRY(remove_others(newest_name_));
  return std::optional<loaded_snapshot>{std::move(snapshot)};
}

result<loaded_snapshot> snapshot_files::parse(const std::string& path,
                                              std::string bytes)
{
  const auto corrupt = [&path](std::uint64_t offset, const std::string& reason)
  {
    return error{error_code::corrupt_data,
                 path + ": offset " + std::to_string(offset) + ": " + reason};
  };
  if (bytes.empty())
    return corrupt(0, "file is empty");
  const auto frame = read_frame(bytes, 0);
  if (frame.status != frame_status::complete)
    return corrupt(0, frame.reason);
  auto decoded = decode_snapshot_header(frame.payload);
  if (!decoded)
    return corrupt(0, decoded.error().message);
  const auto header = std::move(decoded.value());
  content_offset_ = frame.size;
  bytes.erase(0, frame.size);
  if (bytes.size() != header.meta.size)
    return corrupt(content_offset_,
                   "snapshot content has " + std::to_string(bytes.size()) +
                       " bytes instead of " + std::to_string(header.meta.size));
  if (crc32c(bytes) != header.checksum)
    return corrupt(content_offset_, "snapshot content checksum mismatch");
  return loaded_snapshot{header.meta, std::move(bytes)};
}

result<std::string> snapshot_files::read_chunk(std::uint64_t offset,
                                               std::size_t size)
{
  return files_.read_at(path_of(newest_name_), content_offset_ + offset, size);
}

} // namespace toucanmill::log_detail
