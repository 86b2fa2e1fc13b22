#ifndef TOUCANMILL_SRC_CONTROL_FLOW_ARCHIVE_HPP
#define TOUCANMILL_SRC_CONTROL_FLOW_ARCHIVE_HPP

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

#include <toucanmill/base/ids.hpp>
#include <toucanmill/base/time.hpp>

namespace toucanmill::detail
{

/// The latest list of open flows of each agent, in a file of the data folder. A
/// list that is lost costs only time: its flows are then searched for. So a
/// thread of its own writes the file, at most once in write_interval, and a
/// failed write is reported and repeated.
class flow_archive
{
public:
  struct options
  {
    std::string folder; ///< empty: keeps nothing
    /// Called on any thread with what made the file unusable, and what is done.
    std::function<void(const std::string&)> on_failure;
    duration write_interval = std::chrono::milliseconds(500);
    /// Of all lists together; the one that was replaced longest ago is evicted.
    std::size_t max_octets = std::size_t{4} << 20;
  };

  /// Reads the file; starts empty if that fails.
  explicit flow_archive(options chosen);
  ~flow_archive();
  flow_archive(const flow_archive&) = delete;
  flow_archive& operator=(const flow_archive&) = delete;

  /// Returns false if this instance keeps no lists or the list is too long.
  bool keep(node_id node, std::string_view list);

  /// Empty if there is none.
  std::string find(node_id node) const;

private:
  struct kept_list
  {
    std::uint64_t order = 0; ///< increases with each list
    std::string octets;
  };

  void load();
  void evict();
  void run();
  bool write(const std::string& content);
  std::string content() const;
  std::string path() const;

  options options_;
  mutable std::mutex mutex_; ///< of all below
  std::condition_variable changed_;
  std::map<std::uint64_t, kept_list> lists_; ///< by node
  std::size_t octets_ = 0;
  std::uint64_t order_ = 0;
  bool unwritten_ = false;
  bool stopping_ = false;
  std::thread writer_;
};

} // namespace toucanmill::detail

#endif
