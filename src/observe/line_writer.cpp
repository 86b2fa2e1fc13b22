#include <toucanmill/observe/line_writer.hpp>

#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>

namespace toucanmill
{

namespace
{

/// Lines that arrive within this time are written by one system call.
constexpr auto gather_time = std::chrono::milliseconds(20);

/// A stop waits this long for a descriptor that takes nothing.
constexpr int stop_limit_ms = 200;

} // namespace

line_writer::line_writer(int descriptor, std::size_t capacity)
    : descriptor_(descriptor), capacity_(capacity), thread_(
                                                        [this]
                                                        {
                                                          run();
                                                        })
{
}

line_writer::~line_writer()
{
  stop();
}

void line_writer::write(std::string line)
{
  const std::lock_guard lock(mutex_);
  if (stopping_ || lines_.size() >= capacity_)
  {
    ++dropped_;
    return;
  }
  lines_.push_back(std::move(line));
  if (lines_.size() == 1)
    ready_.notify_one();
}

void line_writer::stop()
{
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    ready_.notify_one();
  }
  if (thread_.joinable())
    thread_.join();
}

void line_writer::run()
{
  std::unique_lock lock(mutex_);
  std::uint64_t reported = 0;
  for (;;)
  {
    ready_.wait(lock,
                [this]
                {
                  return stopping_ || !lines_.empty();
                });
    if (!stopping_)
      ready_.wait_for(lock, gather_time,
                      [this]
                      {
                        return stopping_;
                      });
    const bool last = stopping_;
    std::string batch;
    for (const auto& line : lines_)
      batch += line + "\n";
    lines_.clear();
    if (const auto dropped = dropped_.load(); dropped != reported)
    {
      batch += "level=warn event=E110 name=log_lines_dropped count=" +
               std::to_string(dropped - reported) + "\n";
      reported = dropped;
    }
    lock.unlock();
    const bool written = write_batch(batch);
    lock.lock();
    if (last || !written)
      return;
  }
}

/// False when the descriptor is broken, or takes nothing during a stop.
bool line_writer::write_batch(const std::string& batch)
{
  std::size_t done = 0;
  while (done < batch.size())
  {
    pollfd watched{descriptor_, POLLOUT, 0};
    if (poll(&watched, 1, stop_limit_ms) == 0)
    {
      const std::lock_guard lock(mutex_);
      if (stopping_)
        return false;
      continue;
    }
    // A pipe that is ready takes PIPE_BUF octets without blocking, not more.
    const auto size = std::min<std::size_t>(batch.size() - done, PIPE_BUF);
    const auto count = ::write(descriptor_, batch.data() + done, size);
    if (count < 0 && errno != EINTR && errno != EAGAIN)
      return false;
    if (count > 0)
      done += static_cast<std::size_t>(count);
  }
  return true;
}

} // namespace toucanmill
