#ifndef TOUCANMILL_SRC_LOG_FILE_SYSTEM_HPP
#define TOUCANMILL_SRC_LOG_FILE_SYSTEM_HPP

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <toucanmill/base/outcome.hpp>

namespace toucanmill::log_detail
{

/// Append-only file. Errors: io_failure with the path.
class append_file
{
public:
  virtual ~append_file() = default;

  /// Removes from `bytes` what was written, also if the call fails. Errors
  /// besides: storage_full, after which the rest can be appended later.
  virtual result<void> append(std::string_view& bytes) = 0;
  virtual result<void> sync() = 0;
};

/// File operations of the log; tests substitute their own. Errors: io_failure
/// with the path; storage_full if the call can be repeated once there is room.
class file_system
{
public:
  virtual ~file_system() = default;
  virtual result<void> create_folder(const std::string& path) = 0;

  /// File names in a folder, sorted.
  virtual result<std::vector<std::string>> list(const std::string& path) = 0;
  virtual result<std::string> read(const std::string& path) = 0;

  /// Reads up to `size` octets from the offset.
  virtual result<std::string>
  read_at(const std::string& path, std::uint64_t offset, std::size_t size) = 0;

  /// Opens for appending; creates the file if it does not exist.
  virtual result<std::unique_ptr<append_file>>
  open(const std::string& path) = 0;
  virtual result<void> truncate(const std::string& path,
                                std::uint64_t size) = 0;
  virtual result<void> rename(const std::string& from,
                              const std::string& to) = 0;
  virtual result<void> remove(const std::string& path) = 0;

  /// Makes file creations, renames and removals in the folder durable.
  virtual result<void> sync_folder(const std::string& path) = 0;
};

std::unique_ptr<file_system> make_posix_file_system();

/// Appends the octets and removes those that were written, also if it fails.
inline result<void> append_from(append_file& file, std::string& bytes)
{
  std::string_view rest = bytes;
  const auto appended = file.append(rest);
  bytes.erase(0, bytes.size() - rest.size());
  return appended;
}

/// Keeps files in memory, for an instance without persistent storage.
std::unique_ptr<file_system> make_memory_file_system();

} // namespace toucanmill::log_detail

#endif
