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

/// Queue of tasks from any number of threads to one consumer.
class task_queue
{
public:
  using task = std::function<void()>;

  explicit task_queue(std::size_t capacity) : capacity_(capacity) {}

  /// False when the queue is full or closed; the task is not consumed then.
  bool push(task& work)
  {
    return push_up_to(work, capacity_);
  }

  /// Like push(), but refused only when the queue is closed. For tasks whose
  /// number the caller bounds.
  bool push_always(task& work)
  {
    return push_up_to(work, static_cast<std::size_t>(-1));
  }

  /// Waits for tasks for at most `wait`; returns at most `limit` of them.
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

  /// Refuses further tasks; those in the queue can still be popped.
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
  bool push_up_to(task& work, std::size_t limit)
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
