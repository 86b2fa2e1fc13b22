#ifndef TOUCANMILL_SRC_LOG_SIMULATED_FILES_TEST_HPP
#define TOUCANMILL_SRC_LOG_SIMULATED_FILES_TEST_HPP

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "file_system.hpp"

namespace toucanmill::log_detail
{

/// Simulated disk. File names become durable with sync_folder(), content with
/// sync(); crash() discards everything else.
struct simulated_disk
{
  struct content
  {
    std::string bytes;
    std::size_t synced = 0;
  };
  using names = std::map<std::string, std::shared_ptr<content>>;

  names files;
  names durable;
  std::uint64_t capacity = 1ULL << 40;        ///< octets in all files
  std::uint64_t operations_left = 1ULL << 60; ///< 0: operations fail
  /// Shared by the copies of a disk; can be set from any thread.
  std::shared_ptr<std::atomic<bool>> full =
      std::make_shared<std::atomic<bool>>(false);

  /// Keeps the synced content and up to `unsynced_bytes` octets after it.
  void crash(std::size_t unsynced_bytes)
  {
    files = durable;
    for (auto& [name, file] : files)
    {
      file->bytes.resize(
          std::min(file->bytes.size(), file->synced + unsynced_bytes));
      file->synced = file->bytes.size();
    }
    operations_left = 1ULL << 60;
  }

  /// Like crash(), but each name that was created, renamed or removed since the
  /// last sync_folder() is kept or lost on its own, and each file keeps a part
  /// of its unsynced content on its own.
  void lose_power(std::mt19937& random)
  {
    const auto before = std::exchange(files, durable);
    for (const auto& [name, file] : before)
      if (random() % 2 == 0)
        files[name] = file;
    for (const auto& [name, file] : durable)
      if (before.count(name) == 0 && random() % 2 == 0)
        files.erase(name);
    for (auto& [name, file] : files)
    {
      const auto unsynced = file->bytes.size() - file->synced;
      file->bytes.resize(file->synced + random() % (unsynced + 1));
      file->synced = file->bytes.size();
    }
    durable = files;
    operations_left = 1ULL << 60;
  }
};

class simulated_file_system : public file_system
{
public:
  explicit simulated_file_system(std::shared_ptr<simulated_disk> disk)
      : disk_(std::move(disk))
  {
  }

  result<void> create_folder(const std::string&) override
  {
    return outcome::success();
  }
  result<std::vector<std::string>> list(const std::string& path) override
  {
    std::vector<std::string> names;
    for (const auto& [name, file] : disk_->files)
      if (name.compare(0, path.size() + 1, path + "/") == 0)
        names.push_back(name.substr(path.size() + 1));
    return names;
  }
  result<std::string> read(const std::string& path) override
  {
    BOOST_OUTCOME_TRY(file, find(path));
    return file->bytes;
  }
  result<std::string> read_at(const std::string& path, std::uint64_t offset,
                              std::size_t size) override
  {
    BOOST_OUTCOME_TRY(file, find(path));
    return offset > file->bytes.size() ? "" : file->bytes.substr(offset, size);
  }
  result<std::unique_ptr<append_file>> open(const std::string& path) override
  {
    BOOST_OUTCOME_TRY(consume_operation());
    BOOST_OUTCOME_TRY(require_room());
    auto& file = disk_->files[path];
    if (!file)
      file = std::make_shared<simulated_disk::content>();
    return std::unique_ptr<append_file>(
        std::make_unique<simulated_append_file>(*this, file));
  }
  result<void> truncate(const std::string& path, std::uint64_t size) override
  {
    BOOST_OUTCOME_TRY(consume_operation());
    BOOST_OUTCOME_TRY(file, find(path));
    file->bytes.resize(size);
    file->synced = std::min(file->synced, file->bytes.size());
    return outcome::success();
  }
  result<void> rename(const std::string& from, const std::string& to) override
  {
    BOOST_OUTCOME_TRY(consume_operation());
    BOOST_OUTCOME_TRY(require_room());
    BOOST_OUTCOME_TRY(file, find(from));
    disk_->files.erase(from);
    disk_->files[to] = file;
    return outcome::success();
  }
  result<void> remove(const std::string& path) override
  {
    BOOST_OUTCOME_TRY(consume_operation());
    disk_->files.erase(path);
    return outcome::success();
  }
  result<void> sync_folder(const std::string&) override
  {
    BOOST_OUTCOME_TRY(consume_operation());
    disk_->durable = disk_->files;
    return outcome::success();
  }

private:
  class simulated_append_file : public append_file
  {
  public:
    simulated_append_file(simulated_file_system& files,
                          std::shared_ptr<simulated_disk::content> file)
        : files_(files), file_(std::move(file))
    {
    }
    result<void> append(std::string_view& bytes) override
    {
      BOOST_OUTCOME_TRY(files_.consume_operation());
      // A disk that fills up takes the start of a write.
      const auto written =
          files_.disk_->full->load()
              ? bytes.size() / 2
              : std::min<std::uint64_t>(bytes.size(), files_.free_bytes());
      file_->bytes += bytes.substr(0, written);
      bytes.remove_prefix(written);
      return bytes.empty() ? result<void>(outcome::success()) : no_room();
    }
    result<void> sync() override
    {
      BOOST_OUTCOME_TRY(files_.consume_operation());
      file_->synced = file_->bytes.size();
      return outcome::success();
    }

  private:
    simulated_file_system& files_;
    std::shared_ptr<simulated_disk::content> file_;
  };

  result<std::shared_ptr<simulated_disk::content>> find(const std::string& path)
  {
    const auto found = disk_->files.find(path);
    if (found == disk_->files.end())
      return error{error_code::io_failure, "no such file: " + path};
    return found->second;
  }
  result<void> consume_operation()
  {
    if (disk_->operations_left == 0)
      return error{error_code::io_failure, "injected failure"};
    --disk_->operations_left;
    return outcome::success();
  }
  static error no_room()
  {
    return {error_code::storage_full, "no space left on the simulated disk"};
  }
  result<void> require_room() const
  {
    if (disk_->full->load())
      return no_room();
    return outcome::success();
  }
  std::uint64_t free_bytes() const
  {
    std::uint64_t used = 0;
    for (const auto& [name, file] : disk_->files)
      used += file->bytes.size();
    return used >= disk_->capacity ? 0 : disk_->capacity - used;
  }

  std::shared_ptr<simulated_disk> disk_;
};

} // namespace toucanmill::log_detail

#endif
