#include "file_system.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace toucanmill::log_detail
{

namespace
{

using shared_bytes = std::shared_ptr<std::string>;

class memory_append_file : public append_file
{
public:
  explicit memory_append_file(shared_bytes bytes) : bytes_(std::move(bytes)) {}

  result<void> append(std::string_view& bytes) override
  {
    bytes_->append(std::exchange(bytes, {}));
    return outcome::success();
  }
  result<void> sync() override
  {
    return outcome::success();
  }

private:
  shared_bytes bytes_;
};

/// Not thread safe: only the log's thread uses it.
class memory_file_system : public file_system
{
public:
  result<void> create_folder(const std::string&) override
  {
    return outcome::success();
  }

  result<std::vector<std::string>> list(const std::string& path) override
  {
    const auto prefix = path + "/";
    std::vector<std::string> names;
    for (const auto& [name, bytes] : files_)
      if (name.compare(0, prefix.size(), prefix) == 0)
        names.push_back(name.substr(prefix.size()));
    return names;
  }

  result<std::string> read(const std::string& path) override
  {
    BOOST_OUTCOME_TRY(bytes, find(path));
    return *bytes;
  }

  result<std::string> read_at(const std::string& path, std::uint64_t offset,
                              std::size_t size) override
  {
    BOOST_OUTCOME_TRY(bytes, find(path));
    return offset > bytes->size() ? std::string{} : bytes->substr(offset, size);
  }

  result<std::unique_ptr<append_file>> open(const std::string& path) override
  {
    auto& bytes = files_[path];
    if (!bytes)
      bytes = std::make_shared<std::string>();
    return std::unique_ptr<append_file>(
        std::make_unique<memory_append_file>(bytes));
  }

  result<void> truncate(const std::string& path, std::uint64_t size) override
  {
    BOOST_OUTCOME_TRY(bytes, find(path));
    bytes->resize(size);
    return outcome::success();
  }

  result<void> rename(const std::string& from, const std::string& to) override
  {
    BOOST_OUTCOME_TRY(bytes, find(from));
    files_[to] = bytes;
    files_.erase(from);
    return outcome::success();
  }

  result<void> remove(const std::string& path) override
  {
    files_.erase(path);
    return outcome::success();
  }

  result<void> sync_folder(const std::string&) override
  {
    return outcome::success();
  }

private:
  result<shared_bytes> find(const std::string& path) const
  {
    const auto found = files_.find(path);
    if (found == files_.end())
      return error{error_code::io_failure, path + ": no such file"};
    return found->second;
  }

  std::map<std::string, shared_bytes> files_;
};

} // namespace

std::unique_ptr<file_system> make_memory_file_system()
{
  return std::make_unique<memory_file_system>();
}

} // namespace toucanmill::log_detail
