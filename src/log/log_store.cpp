#include "log_store.hpp"

#include <algorithm>
#include <utility>

#include "folder_label.hpp"

namespace toucanmill::log_detail
{

namespace
{

const std::string replica_id_temporary_file = "replica-id.tmp";

bool contains(const std::vector<std::string>& names, const std::string& name)
{
  return std::count(names.begin(), names.end(), name) != 0;
}

// Removes all files but the marker, which stays until the folder is initialised
// again.
result<void> remove_content(file_system& files, const std::string& folder)
{
  BOOST_OUTCOME_TRY(names, files.list(folder));
  for (const auto& name : names)
    if (name != clearing_marker_file)
    {
      BOOST_OUTCOME_TRY(files.remove(folder + "/" + name));
    }
  return files.sync_folder(folder);
}

// Discards the entries that the snapshot covers and keeps the later ones. If
// the entry at the snapshot's index has another term, all later entries
// conflict with the snapshot too and are discarded.
void discard_covered_entries(const table_version& position,
                             std::vector<log_entry>& entries)
{
  const auto end = std::find_if(entries.begin(), entries.end(),
                                [&position](const log_entry& entry)
                                {
                                  return entry.position.index >= position.index;
                                });
  const bool conflict = end != entries.end() &&
                        end->position.index == position.index &&
                        end->position.term != position.term;
  if (conflict)
    return entries.clear();
  const bool matches = end != entries.end() && end->position == position;
  entries.erase(entries.begin(), matches ? std::next(end) : end);
}

} // namespace

result<void> clear_folder(file_system& files, const std::string& folder)
{
  {
    BOOST_OUTCOME_TRY(marker, files.open(folder + "/" + clearing_marker_file));
    BOOST_OUTCOME_TRY(marker->sync());
  }
  BOOST_OUTCOME_TRY(files.sync_folder(folder));
  return remove_content(files, folder);
}

result<stored_identity> read_stored_identity(file_system& files,
                                             const std::string& folder)
{
  BOOST_OUTCOME_TRY(files.create_folder(folder));
  BOOST_OUTCOME_TRY(names, files.list(folder));
  if (contains(names, clearing_marker_file))
    return stored_identity{{}, true};
  if (!contains(names, replica_id_file))
    return stored_identity{};
  const auto path = folder + "/" + replica_id_file;
  BOOST_OUTCOME_TRY(content, files.read(path));
  BOOST_OUTCOME_TRY(label, parse_folder_label(path, content));
  return stored_identity{label.replica, false};
}

log_store::log_store(file_system& files, const std::string& folder,
                     replica_id self, std::uint64_t segment_bytes)
    : files_(files), folder_(folder), self_(self),
      log_(files, folder, self, segment_bytes), snapshots_(files, folder)
{
}

result<std::unique_ptr<log_store>>
log_store::open(file_system& files, const std::string& folder, replica_id self,
                const std::vector<replica_address>& initial_group,
                std::uint64_t segment_bytes)
{
  std::unique_ptr<log_store> store(
      new log_store(files, folder, self, segment_bytes));
  BOOST_OUTCOME_TRY(store->open_folder(initial_group));
  return store;
}

result<void>
log_store::open_folder(const std::vector<replica_address>& initial_group)
{
  BOOST_OUTCOME_TRY(files_.create_folder(folder_));
  BOOST_OUTCOME_TRY(names, files_.list(folder_));
  if (contains(names, clearing_marker_file))
    return initialise_cleared(initial_group);
  if (!contains(names, replica_id_file))
    return initialise(names, initial_group);
  BOOST_OUTCOME_TRY(check_replica_id_file(names));
  return recover();
}

// A crash may have interrupted the clearing, or an initialisation after it. No
// replica acts under an id that stands beside the marker, so all files go.
result<void>
log_store::initialise_cleared(const std::vector<replica_address>& initial_group)
{
  BOOST_OUTCOME_TRY(remove_content(files_, folder_));
  BOOST_OUTCOME_TRY(initialise({}, initial_group));
  BOOST_OUTCOME_TRY(files_.remove(folder_ + "/" + clearing_marker_file));
  return files_.sync_folder(folder_);
}

result<void>
log_store::check_replica_id_file(const std::vector<std::string>& names)
{
  const auto path = folder_ + "/" + replica_id_file;
  BOOST_OUTCOME_TRY(content, files_.read(path));
  BOOST_OUTCOME_TRY(label, parse_folder_label(path, content));
  if (label.replica != self_)
    return error{error_code::invalid_argument,
                 path + ": the folder belongs to replica \"" +
                     to_string(label.replica) + "\", not to replica " +
                     to_string(self_)};
  format_ = label.format;
  if (contains(names, replica_id_temporary_file))
    return files_.remove(folder_ + "/" + replica_id_temporary_file);
  return outcome::success();
}

// The replica id file is written last. Without it nothing in the folder was
// acknowledged, so leftovers of an interrupted initialisation can be removed.
result<void>
log_store::initialise(const std::vector<std::string>& names,
                      const std::vector<replica_address>& initial_group)
{
  stored_.hard.may_vote = false;
  stored_.snapshot.group.members = initial_group;
  for (const auto& name : names)
  {
    BOOST_OUTCOME_TRY(leftover, is_initialisation_leftover(name));
    if (!leftover)
      return error{error_code::invalid_argument,
                   folder_ + ": folder is not empty but lacks the file " +
                       replica_id_file + " (found " + name + ")"};
  }
  for (const auto& name : names)
  {
    BOOST_OUTCOME_TRY(files_.remove(folder_ + "/" + name));
  }
  BOOST_OUTCOME_TRY(snapshots_.write(stored_.snapshot, {}));
  BOOST_OUTCOME_TRY(log_.create(stored_.hard));
  return write_replica_id_file();
}

result<bool> log_store::is_initialisation_leftover(const std::string& name)
{
  const auto path = folder_ + "/" + name;
  if (name.rfind(kept_flows_file, 0) == 0 ||
      name == replica_id_temporary_file ||
      name == snapshot_files::temporary_name ||
      name == snapshot_files::name_of({}))
    return true;
  if (path != log_.path_of(1))
    return false;
  BOOST_OUTCOME_TRY(bytes, files_.read(path));
  return bytes.size() <= log_.initial_bytes(stored_.hard);
}

result<void> log_store::write_replica_id_file()
{
  const auto path = folder_ + "/" + replica_id_temporary_file;
  {
    BOOST_OUTCOME_TRY(files_.remove(path));
    BOOST_OUTCOME_TRY(file, files_.open(path));
    auto text = to_text(folder_label{self_, format_});
    BOOST_OUTCOME_TRY(append_from(*file, text));
    BOOST_OUTCOME_TRY(file->sync());
  }
  BOOST_OUTCOME_TRY(files_.rename(path, folder_ + "/" + replica_id_file));
  return files_.sync_folder(folder_);
}

result<void> log_store::require_format(format_version version)
{
  if (version <= format_ || folder_.empty())
    return outcome::success();
  format_ = version;
  label_outdated_ = true;
  return complete();
}

result<void> log_store::recover()
{
  BOOST_OUTCOME_TRY(snapshot, snapshots_.load());
  if (!snapshot)
    return error{error_code::corrupt_data, folder_ + ": no snapshot file"};
  BOOST_OUTCOME_TRY(log, log_.recover());
  stored_.snapshot = snapshot->meta;
  snapshot_data_ = std::move(snapshot->data);
  stored_.hard = log.hard.value_or(hard_state{});
  const auto& position = stored_.snapshot.position;
  const bool ends_at_snapshot =
      !log.entries.empty() && log.entries.back().position == position;
  discard_covered_entries(position, log.entries);
  if (position.index != 0 && log.entries.empty() && !ends_at_snapshot)
  {
    // The process crashed after writing an installed snapshot, before writing
    // its log_reset record.
    log_.append(log_reset{position});
    BOOST_OUTCOME_TRY(log_.sync());
  }
  if (!log.entries.empty() &&
      log.entries.front().position.index != position.index + 1)
    return error{error_code::corrupt_data,
                 folder_ + ": entries " + std::to_string(position.index + 1) +
                     " to " +
                     std::to_string(log.entries.front().position.index - 1) +
                     " are missing"};
  stored_.entries = std::move(log.entries);
  return outcome::success();
}

result<void> log_store::save(const persist_request& request)
{
  if (request.snapshot)
  {
    const auto& [meta, data] = *request.snapshot;
    snapshots_.begin(meta, data);
    installing_ = meta.position.index;
    log_.append(log_reset{meta.position});
  }
  if (request.hard)
    log_.append(*request.hard);
  for (const auto& entry : request.entries)
    log_.append(entry);
  return complete();
}

result<void> log_store::complete()
{
  if (label_outdated_)
  {
    BOOST_OUTCOME_TRY(write_replica_id_file());
  }
  label_outdated_ = false;
  while (installing_ && snapshots_.in_progress())
  {
    BOOST_OUTCOME_TRY(snapshots_.step());
  }
  BOOST_OUTCOME_TRY(log_.sync());
  if (installing_)
  {
    BOOST_OUTCOME_TRY(log_.remove_up_to(*installing_));
  }
  installing_.reset();
  return outcome::success();
}

result<void> log_store::save_snapshot(const snapshot_meta& meta,
                                      std::string data)
{
  BOOST_OUTCOME_TRY(snapshots_.write(meta, std::move(data)));
  return log_.remove_up_to(meta.position.index);
}

result<std::optional<snapshot_meta>> log_store::step_snapshot()
{
  BOOST_OUTCOME_TRY(written, snapshots_.step());
  if (!written)
    return written;
  // The snapshot is durable; segments that are left go with the next one.
  const auto removed = log_.remove_up_to(written->position.index);
  if (!removed && removed.error().code != error_code::storage_full)
    return removed.error();
  return written;
}

} // namespace toucanmill::log_detail
