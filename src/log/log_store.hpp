#ifndef TOUCANMILL_SRC_LOG_LOG_STORE_HPP
#define TOUCANMILL_SRC_LOG_LOG_STORE_HPP

#include <memory>
#include <string>
#include <vector>

#include "file_system.hpp"
#include "replica_core.hpp"
#include "snapshot_files.hpp"
#include "write_ahead_log.hpp"

namespace toucanmill::log_detail
{

/// File that names the folder's replica; without it, or beside the marker, no
/// replica acts on the folder's content.
constexpr auto replica_id_file = "replica-id";

/// Marks a folder whose replica the group removed. Made durable before the
/// first file is removed, and kept until the folder is initialised for the next
/// replica, so that a crash at any step leaves a folder that can be opened.
constexpr auto clearing_marker_file = "clearing";

/// Gives up the content of a data folder; log_store::open() then initialises it
/// for another replica. Errors: io_failure; the call can be repeated.
result<void> clear_folder(file_system& files, const std::string& folder);

/// See toucanmill::read_stored_identity().
result<stored_identity> read_stored_identity(file_system& files,
                                             const std::string& folder);

/// Data folder of one replica: replica id file, write-ahead log and snapshot.
/// After an error other than storage_full the state on disk is unknown and the
/// object must not be used again.
class log_store
{
public:
  /// Opens the folder; initialises an empty or cleared one with
  /// `initial_group`. Errors: corrupt_data with file and offset;
  /// invalid_argument when the folder belongs to another replica or is not a
  /// data folder; io_failure.
  static result<std::unique_ptr<log_store>>
  open(file_system& files, const std::string& folder, replica_id self,
       const std::vector<replica_address>& initial_group,
       std::uint64_t segment_bytes = write_ahead_log::default_segment_bytes);

  /// Moves out the state that was read when the folder was opened.
  stored_state take_stored()
  {
    return std::move(stored_);
  }
  std::string take_snapshot_data()
  {
    return std::move(snapshot_data_);
  }

  /// Writes the records; they are durable when it returns. After the error
  /// storage_full, complete() continues; nothing else may be saved before.
  result<void> save(const persist_request& request);

  /// Repeats what a full disk has interrupted.
  result<void> complete();

  /// Writes a durable snapshot, then removes log segments that it covers.
  result<void> save_snapshot(const snapshot_meta& meta, std::string data);

  /// Starts a snapshot that step_snapshot() writes in parts. Installing another
  /// snapshot with save() abandons it.
  void begin_snapshot(const snapshot_meta& meta, std::string data)
  {
    snapshots_.begin(meta, std::move(data));
  }
  bool snapshot_in_progress() const
  {
    return snapshots_.in_progress();
  }
  /// Writes the next part; returns the snapshot once it is durable.
  result<std::optional<snapshot_meta>> step_snapshot();

  /// Notes in the folder that it needs a build that reads this version. After
  /// the error storage_full, complete() continues.
  result<void> require_format(format_version version);

  /// Reads part of the newest snapshot's content.
  result<std::string> read_snapshot(std::uint64_t offset, std::size_t size)
  {
    return snapshots_.read_chunk(offset, size);
  }

private:
  log_store(file_system& files, const std::string& folder, replica_id self,
            std::uint64_t segment_bytes);

  result<void> open_folder(const std::vector<replica_address>& initial_group);
  result<void>
  initialise_cleared(const std::vector<replica_address>& initial_group);
  result<void> check_replica_id_file(const std::vector<std::string>& names);
  result<void> initialise(const std::vector<std::string>& names,
                          const std::vector<replica_address>& initial_group);
  result<bool> is_initialisation_leftover(const std::string& name);
  result<void> write_replica_id_file();
  result<void> recover();

  file_system& files_;
  std::string folder_;
  replica_id self_;
  format_version format_ = first_format_version; ///< noted in the folder
  write_ahead_log log_;
  snapshot_files snapshots_;
  bool label_outdated_ = false; ///< format_ is not noted in the folder yet
  std::optional<std::uint64_t> installing_; ///< index of a snapshot to save
  stored_state stored_;
  std::string snapshot_data_;
};

} // namespace toucanmill::log_detail

#endif
