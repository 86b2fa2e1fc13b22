#include "flow_archive.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <iterator>

#include <boost/crc.hpp>
#include <boost/endian/conversion.hpp>

#include <toucanmill/base/octets.hpp>
#include <toucanmill/log/replicated_log.hpp>
#include <toucanmill/table/flow_list.hpp>

namespace toucanmill::detail
{

namespace
{

// The file: format, CRC-32 of the rest, then for each node its id, the size of
// its list and the list. Integers are big-endian.
constexpr std::uint32_t file_format = 1;
constexpr std::size_t file_header = 8;
constexpr std::size_t list_header = 12;

std::uint32_t checksum_of(const std::string& file)
{
  boost::crc_32_type sum;
  sum.process_bytes(file.data() + file_header, file.size() - file_header);
  return sum.checksum();
}

bool is_intact(const std::string& file)
{
  return file.size() >= file_header &&
         boost::endian::load_big_u32(octets_at(file, 0)) == file_format &&
         boost::endian::load_big_u32(octets_at(file, 4)) == checksum_of(file);
}

class descriptor
{
public:
  explicit descriptor(int value) : value_(value) {}
  ~descriptor()
  {
    if (value_ >= 0)
      close(value_);
  }
  descriptor(const descriptor&) = delete;
  descriptor& operator=(const descriptor&) = delete;

  bool is_open() const
  {
    return value_ >= 0;
  }

  bool write_all(std::string_view bytes) const
  {
    while (!bytes.empty())
    {
      const auto written = ::write(value_, bytes.data(), bytes.size());
      if (written < 0 && errno != EINTR)
        return false;
      bytes.remove_prefix(written > 0 ? static_cast<std::size_t>(written) : 0);
    }
    return true;
  }

  bool sync() const
  {
    return fsync(value_) == 0;
  }

private:
  int value_;
};

bool write_durably(const std::string& path, std::string_view bytes)
{
  const descriptor file(
      open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644));
  return file.is_open() && file.write_all(bytes) && file.sync();
}

bool replace_durably(const std::string& folder, const std::string& from,
                     const std::string& to)
{
  const descriptor parent(
      open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  return std::rename(from.c_str(), to.c_str()) == 0 && parent.is_open() &&
         parent.sync();
}

} // namespace

flow_archive::flow_archive(options chosen) : options_(std::move(chosen))
{
  if (options_.folder.empty())
    return;
  load();
  writer_ = std::thread(
      [this]
      {
        run();
      });
}

flow_archive::~flow_archive()
{
  if (!writer_.joinable())
    return;
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  writer_.join();
}

std::string flow_archive::path() const
{
  return options_.folder + "/" + kept_flows_file;
}

bool flow_archive::keep(node_id node, std::string_view list)
{
  if (options_.folder.empty() || list.size() > max_flow_list_octets)
    return false;
  {
    const std::lock_guard lock(mutex_);
    auto& kept = lists_[node.value];
    octets_ = octets_ - kept.octets.size() + list.size();
    kept.order = ++order_;
    kept.octets = list;
    evict();
    unwritten_ = true;
  }
  changed_.notify_all();
  return true;
}

std::string flow_archive::find(node_id node) const
{
  const std::lock_guard lock(mutex_);
  const auto found = lists_.find(node.value);
  return found == lists_.end() ? std::string{} : found->second.octets;
}

void flow_archive::evict()
{
  const auto is_older = [](const auto& left, const auto& right)
  {
    return left.second.order < right.second.order;
  };
  while (octets_ > options_.max_octets && lists_.size() > 1)
  {
    const auto oldest =
        std::min_element(lists_.begin(), lists_.end(), is_older);
    octets_ -= oldest->second.octets.size();
    lists_.erase(oldest);
  }
}

void flow_archive::load()
{
  std::ifstream in(path(), std::ios::binary);
  if (!in)
    return;
  const std::string file{std::istreambuf_iterator<char>(in), {}};
  if (!is_intact(file))
    return options_.on_failure(path() + " is damaged; starting without lists");
  for (auto at = file_header; at + list_header <= file.size();)
  {
    const auto node = boost::endian::load_big_u64(octets_at(file, at));
    const auto size = boost::endian::load_big_u32(octets_at(file, at + 8));
    at += list_header;
    lists_[node] = {++order_, file.substr(at, size)};
    octets_ += lists_[node].octets.size();
    at += size;
  }
  evict();
}

std::string flow_archive::content() const
{
  std::string file(file_header, '\0');
  for (const auto& [node, kept] : lists_)
  {
    const auto at = file.size();
    file.resize(at + list_header);
    boost::endian::store_big_u64(octets_at(file, at), node);
    boost::endian::store_big_u32(
        octets_at(file, at + 8),
        static_cast<std::uint32_t>(kept.octets.size()));
    file += kept.octets;
  }
  boost::endian::store_big_u32(octets_at(file, 0), file_format);
  boost::endian::store_big_u32(octets_at(file, 4), checksum_of(file));
  return file;
}

void flow_archive::run()
{
  std::unique_lock lock(mutex_);
  bool failed = false;
  while (true)
  {
    changed_.wait(lock,
                  [this]
                  {
                    return unwritten_ || stopping_;
                  });
    if (!unwritten_)
      return;
    unwritten_ = false;
    const auto file = content();
    lock.unlock();
    const bool written = write(file);
    if (!written && !failed)
      options_.on_failure(path() + ": " + std::strerror(errno) +
                          "; the lists stay in memory");
    failed = !written;
    lock.lock();
    // The next write may find room, also if no other list comes.
    unwritten_ = unwritten_ || (failed && !stopping_);
    changed_.wait_for(lock, options_.write_interval,
                      [this]
                      {
                        return stopping_;
                      });
  }
}

bool flow_archive::write(const std::string& content)
{
  const auto temporary = path() + ".new";
  return write_durably(temporary, content) &&
         replace_durably(options_.folder, temporary, path());
}

} // namespace toucanmill::detail
