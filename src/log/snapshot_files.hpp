#ifndef TOUCANMILL_SRC_LOG_SNAPSHOT_FILES_HPP
#define TOUCANMILL_SRC_LOG_SNAPSHOT_FILES_HPP

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "codec.hpp"
#include "file_system.hpp"
#include "frame.hpp"

namespace toucanmill::log_detail
{

struct loaded_snapshot
{
  snapshot_meta meta;
  std::string data;
};

/// Snapshot files of one folder. Each is a framed header followed by the
/// content.
class snapshot_files
{
public:
  snapshot_files(file_system& files, std::string folder);

  /// Writes a durable snapshot, then removes older ones. Abandons a snapshot
  /// started by begin().
  result<void> write(const snapshot_meta& meta, std::string data);

  /// Starts a snapshot that step() writes in parts, so that a large snapshot
  /// does not block the caller for long.
  void begin(const snapshot_meta& meta, std::string data);
  bool in_progress() const
  {
    return pending_.has_value();
  }

  /// Processes the next part; returns the snapshot once it is durable. Can be
  /// repeated after the error storage_full.
  result<std::optional<snapshot_meta>> step();

  /// Reads the newest snapshot; removes older and incomplete ones. Errors:
  /// corrupt_data with file and offset.
  result<std::optional<loaded_snapshot>> load();

  /// Reads part of the newest snapshot's content.
  result<std::string> read_chunk(std::uint64_t offset, std::size_t size);

  static constexpr const char* temporary_name = "snapshot.tmp";
  static bool is_snapshot_name(const std::string& name);
  static std::string name_of(const table_version& position);

private:
  struct pending_snapshot
  {
    pending_snapshot(snapshot_meta new_meta, std::string new_data)
        : meta(std::move(new_meta)), data(std::move(new_data))
    {
    }

    snapshot_meta meta;
    std::string data;
    crc32c_sum checksum;
    std::size_t checksummed_bytes = 0;
    std::size_t written_bytes = 0;
    std::unique_ptr<append_file> file; ///< null until the checksum is known
    std::string unwritten_header;
    bool renamed = false; ///< has its final name
  };

  std::string path_of(const std::string& name) const;
  result<void> open_temporary();
  result<void> finish();
  result<void> remove_others(const std::string& keep);
  result<loaded_snapshot> parse(const std::string& path, std::string bytes);

  file_system& files_;
  std::string folder_;
  std::string newest_name_;
  std::uint64_t content_offset_ = 0;
  std::optional<pending_snapshot> pending_;
  std::size_t header_bytes_ = 0; ///< of the pending snapshot
};

} // namespace toucanmill::log_detail

#endif
