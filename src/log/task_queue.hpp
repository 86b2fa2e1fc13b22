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

  explicit task_queue(std::size_t capacity) : capacity_(capacity) {}

  /// Returns false, without moving from the task, if the queue is full or
  /// closed.
  bool push(task& work)
  {
    return push_with_limit(work, capacity_);
  }

  /// Like push(), but ignores the capacity. For tasks whose number the caller
  /// limits.
  bool push_unbounded(task& work)
  {
    return push_with_limit(work, static_cast<std::size_t>(-1));
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
      batch.push_back(std::move(tasks_.front()));
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
  bool push_with_limit(task& work, std::size_t limit)
  {
    const std::lock_guard lock(mutex_);
    if (closed_ || tasks_.size() >= limit)
      return false;
    tasks_.push_back(std::move(work));
    ready_.notify_one();
    return true;
  }

  const std::size_t capacity_;
  mutable std::mutex mutex_;
  std::condition_variable ready_;
  std::deque<task> tasks_;
  bool closed_ = false;
};

} // namespace toucanmill::log_detail

#endif
