#include "file_system.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <utility>

namespace toucanmill::log_detail
{

namespace
{

error io_error(const std::string& operation, const std::string& path, int code)
{
  const bool full = code == ENOSPC || code == EDQUOT;
  return error{full ? error_code::storage_full : error_code::io_failure,
               operation + " " + path + ": " + std::strerror(code)};
}

// After a failed sync it is unknown what is durable, whatever the reason.
error sync_error(const std::string& operation, const std::string& path)
{
  auto failure = io_error(operation, path, errno);
  failure.code = error_code::io_failure;
  return failure;
}

class file_descriptor
{
public:
  explicit file_descriptor(int value) : value_(value) {}
  file_descriptor(const file_descriptor&) = delete;
  file_descriptor& operator=(const file_descriptor&) = delete;
  ~file_descriptor()
  {
    if (value_ >= 0)
      close(value_);
  }
  int get() const
  {
    return value_;
  }

private:
  int value_;
};

class posix_append_file : public append_file
{
public:
  posix_append_file(int file, std::string path)
      : file_(file), path_(std::move(path))
  {
  }

  result<void> append(std::string_view& bytes) override
  {
    while (!bytes.empty())
    {
      const auto written = write(file_.get(), bytes.data(), bytes.size());
      if (written < 0 && errno == EINTR)
        continue;
      if (written <= 0)
        return io_error("write", path_, written < 0 ? errno : EIO);
      bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return outcome::success();
  }

  result<void> sync() override
  {
    if (fdatasync(file_.get()) != 0)
      return sync_error("fdatasync", path_);
    return outcome::success();
  }

private:
  file_descriptor file_;
  std::string path_;
};

class posix_file_system : public file_system
{
public:
  result<void> create_folder(const std::string& path) override
  {
    std::error_code code;
    std::filesystem::create_directories(path, code);
    return check("create folder", path, code);
  }

  result<std::vector<std::string>> list(const std::string& path) override
  {
    std::error_code code;
    std::vector<std::string> names;
    std::filesystem::directory_iterator it(path, code);
    for (; !code && it != std::filesystem::directory_iterator();
         it.increment(code))
      names.push_back(it->path().filename().string());
    if (code)
      return io_error("list", path, code.value());
    std::sort(names.begin(), names.end());
    return names;
  }

  result<std::string> read(const std::string& path) override
  {
    std::error_code code;
    const auto size = std::filesystem::file_size(path, code);
    if (code)
      return io_error("read", path, code.value());
    return read_at(path, 0, size);
  }

  result<std::string> read_at(const std::string& path, std::uint64_t offset,
                              std::size_t size) override
  {
    const file_descriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (file.get() < 0)
      return io_error("open", path, errno);
    std::string bytes(size, '\0');
    std::size_t done = 0;
    while (done < size)
    {
      const auto count = pread(file.get(), bytes.data() + done, size - done,
                               static_cast<off_t>(offset + done));
      if (count < 0 && errno == EINTR)
        continue;
      if (count < 0)
        return io_error("read", path, errno);
      if (count == 0)
        break;
      done += static_cast<std::size_t>(count);
    }
    bytes.resize(done);
    return bytes;
  }

  result<std::unique_ptr<append_file>> open(const std::string& path) override
  {
    const int file =
        ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0640);
    if (file < 0)
      return io_error("open", path, errno);
    return std::unique_ptr<append_file>(
        std::make_unique<posix_append_file>(file, path));
  }

  result<void> truncate(const std::string& path, std::uint64_t size) override
  {
    if (::truncate(path.c_str(), static_cast<off_t>(size)) != 0)
      return io_error("truncate", path, errno);
    return outcome::success();
  }

  result<void> rename(const std::string& from, const std::string& to) override
  {
    std::error_code code;
    std::filesystem::rename(from, to, code);
    return check("rename", from, code);
  }

  result<void> remove(const std::string& path) override
  {
    std::error_code code;
    std::filesystem::remove(path, code);
    return check("remove", path, code);
  }

  result<void> sync_folder(const std::string& path) override
  {
    const file_descriptor folder(
        ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (folder.get() < 0 || fsync(folder.get()) != 0)
      return sync_error("fsync", path);
    return outcome::success();
  }

private:
  static result<void> check(const char* operation, const std::string& path,
                            const std::error_code& code)
  {
    if (code)
      return io_error(operation, path, code.value());
    return outcome::success();
  }
};

} // namespace

std::unique_ptr<file_system> make_posix_file_system()
{
  return std::make_unique<posix_file_system>();
}

} // namespace toucanmill::log_detail
