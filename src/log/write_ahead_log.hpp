#ifndef TOUCANMILL_SRC_LOG_WRITE_AHEAD_LOG_HPP
#define TOUCANMILL_SRC_LOG_WRITE_AHEAD_LOG_HPP

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "codec.hpp"
#include "file_system.hpp"

namespace toucanmill::log_detail
{

/// State read from the segments, without the entries that later records
/// replaced.
struct recovered_log
{
  std::optional<hard_state> hard;
  std::vector<log_entry> entries; ///< consecutive; may overlap the snapshot
};

/// Write-ahead log: checksummed records in numbered segment files. Not thread
/// safe.
class write_ahead_log
{
public:
  static constexpr std::uint64_t default_segment_bytes =
      std::uint64_t{16} * 1024 * 1024;

  write_ahead_log(file_system& files, std::string folder, replica_id self,
                  std::uint64_t segment_bytes = default_segment_bytes);

  /// Creates the first segment in an empty folder.
  result<void> create(const hard_state& hard);

  /// Size of the first segment right after create().
  std::size_t initial_bytes(const hard_state& hard) const;

  /// Reads all segments and truncates an interrupted write at the end of the
  /// last one. Errors: corrupt_data with file and offset; io_failure.
  result<recovered_log> recover();

  /// Adds a record to the batch that the next sync() writes.
  void append(const wal_record& record);

  /// Writes and syncs the batch, then starts a new segment if this one is full.
  /// Can be repeated after the error storage_full, also with a longer batch.
  result<void> sync();

  /// Removes segments that contain only entries up to the index.
  result<void> remove_up_to(std::uint64_t index);

  static bool is_segment_name(const std::string& name);
  std::string path_of(std::uint64_t number) const;

private:
  struct segment
  {
    std::uint64_t number = 0;
    std::uint64_t last_index = 0; ///< highest entry index in it; 0: none
    std::uint64_t size = 0;
  };

  result<void> start_segment(std::uint64_t number);
  result<void> write_batch();
  result<void> read_segment(std::uint64_t number, bool newest,
                            recovered_log& log);
  result<void> replay(const wal_record& record, recovered_log& log,
                      const std::string& location);
  result<void> replay_entry(const log_entry& entry, recovered_log& log,
                            const std::string& location);
  void track(const wal_record& record);

  file_system& files_;
  std::string folder_;
  replica_id self_;
  std::uint64_t segment_bytes_;
  std::vector<segment> segments_; ///< oldest first
  std::unique_ptr<append_file> file_;
  std::string batch_;            ///< not written yet
  bool folder_unsynced_ = false; ///< the newest segment's name is not durable
  hard_state hard_;
  std::uint64_t next_expected_index_ = 0; ///< during recovery; 0: any
};

} // namespace toucanmill::log_detail

#endif
