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

/// The data folder of one replica: marker, write-ahead log and snapshot. After
/// an error its state is unknown and it must not be used again.
class log_store
{
public:
  /// Opens the folder; an empty one is initialised with the group. Errors:
  /// corrupt_data with file and offset; invalid_argument when the folder
  /// belongs to another replica or is not a data folder; io_failure.
  static result<std::unique_ptr<log_store>>
  open(file_system& files, const std::string& folder, replica_id self,
       const std::vector<replica_address>& initial_group,
       std::uint64_t segment_bytes = write_ahead_log::default_segment_bytes);

  /// What the folder contained; moves it out.
  stored_state take_stored()
  {
    return std::move(stored_);
  }
  std::string take_snapshot_data()
  {
    return std::move(snapshot_data_);
  }

  /// Durable when it returns.
  result<void> save(const persist_request& request);

  /// Durable when it returns; then removes what the snapshot replaces.
  result<void> save_snapshot(const snapshot_meta& meta, std::string data);

  /// Starts a snapshot; step_snapshot() writes it in parts and returns it once
  /// it is durable. Installing another one abandons it.
  void begin_snapshot(const snapshot_meta& meta, std::string data)
  {
    snapshots_.begin(meta, std::move(data));
  }
  bool snapshot_in_progress() const
  {
    return snapshots_.in_progress();
  }
  result<std::optional<snapshot_meta>> step_snapshot();

  /// Part of the newest snapshot's content.
  result<std::string> read_snapshot(std::uint64_t offset, std::size_t size)
  {
    return snapshots_.read_chunk(offset, size);
  }

private:
  log_store(file_system& files, const std::string& folder, replica_id self,
            std::uint64_t segment_bytes);

  result<void> open_folder(const std::vector<replica_address>& initial_group);
  result<void> check_marker(const std::vector<std::string>& names);
  result<void> initialise(const std::vector<std::string>& names,
                          const std::vector<replica_address>& initial_group);
  result<bool> is_interrupted_start(const std::string& name);
  result<void> write_marker();
  result<void> recover();

  file_system& files_;
  std::string folder_;
  replica_id self_;
  write_ahead_log log_;
  snapshot_files snapshots_;
  stored_state stored_;
  std::string snapshot_data_;
};

} // namespace toucanmill::log_detail

#endif
