#ifndef TOUCANMILL_OBSERVE_LINE_WRITER_HPP
#define TOUCANMILL_OBSERVE_LINE_WRITER_HPP

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

namespace toucanmill
{

/// Bounded queue of lines in front of a descriptor, written by a thread of its
/// own. A caller never waits for the descriptor: a line that finds the queue
/// full is dropped and counted, and the count is written once there is room.
class line_writer
{
public:
  line_writer(int descriptor, std::size_t capacity);
  ~line_writer();
  line_writer(const line_writer&) = delete;
  line_writer& operator=(const line_writer&) = delete;

  /// Any thread. The line has no line break.
  void write(std::string line);

  /// Lines dropped because the queue was full.
  std::uint64_t dropped() const
  {
    return dropped_;
  }

  /// Writes what is queued, within the time limit, and ends the thread.
  void stop();

private:
  void run();
  bool write_batch(const std::string& batch);

  const int descriptor_;
  const std::size_t capacity_;
  std::mutex mutex_;
  std::condition_variable ready_;
  std::deque<std::string> lines_;
  std::atomic<std::uint64_t> dropped_{0};
  bool stopping_ = false;
  std::thread thread_;
};

} // namespace toucanmill

#endif
