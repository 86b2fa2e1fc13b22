#ifndef TOUCANMILL_SRC_LOG_TASK_QUEUE_HPP
#define TOUCANMILL_SRC_LOG_TASK_QUEUE_HPP

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace toucanmill::log_detail
{

/// Multiple-producer, single-consumer queue of tasks.
class task_queue
{
public:
  using task = std::function<void()>;

  /// `max_octets`: limit for the data that push() adds up.
  task_queue(std::size_t capacity, std::size_t max_octets)
      : capacity_(capacity), max_octets_(max_octets)
  {
  }

  /// Returns false, without moving from the task, if the queue is full or
  /// closed. `octets`: data that the task holds; an empty queue accepts one
  /// task whatever its size.
  bool push(task& work, std::size_t octets = 0)
  {
    const std::lock_guard lock(mutex_);
    const bool fits =
        octets_ == 0 || octets == 0 || octets_ + octets <= max_octets_;
    if (closed_ || tasks_.size() >= capacity_ || !fits)
      return false;
    add(work, octets);
    return true;
  }

  /// Like push(), but ignores the limits. For tasks whose number the caller
  /// limits.
  bool push_unbounded(task& work)
  {
    const std::lock_guard lock(mutex_);
    if (closed_)
      return false;
    add(work, 0);
    return true;
  }

  /// Waits up to `wait` for tasks; returns at most `limit` of them.
  std::vector<task> pop(std::chrono::microseconds wait, std::size_t limit)
  {
    std::unique_lock lock(mutex_);
    ready_.wait_for(lock, wait,
                    [this]
                    {
                      return !tasks_.empty() || closed_;
                    });
    std::vector<task> batch;
    while (!tasks_.empty() && batch.size() < limit)
    {
      octets_ -= tasks_.front().octets;
      batch.push_back(std::move(tasks_.front().work));
      tasks_.pop_front();
    }
    return batch;
  }

  /// Rejects further tasks; queued ones can still be popped.
  void close()
  {
    const std::lock_guard lock(mutex_);
    closed_ = true;
    ready_.notify_one();
  }

  bool closed() const
  {
    const std::lock_guard lock(mutex_);
    return closed_;
  }

private:
  struct queued_task
  {
    task work;
    std::size_t octets = 0;
  };

  void add(task& work, std::size_t octets)
  {
    tasks_.push_back({std::move(work), octets});
    octets_ += octets;
    ready_.notify_one();
  }

  const std::size_t capacity_;
  const std::size_t max_octets_;
  mutable std::mutex mutex_;
  std::condition_variable ready_;
  std::deque<queued_task> tasks_;
  std::size_t octets_ = 0;
  bool closed_ = false;
};

} // namespace toucanmill::log_detail

#endif
