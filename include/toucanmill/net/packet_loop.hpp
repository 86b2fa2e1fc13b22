#ifndef TOUCANMILL_NET_PACKET_LOOP_HPP
#define TOUCANMILL_NET_PACKET_LOOP_HPP

#include <poll.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include <toucanmill/base/ring.hpp>
#include <toucanmill/base/time.hpp>
#include <toucanmill/base/wakeup.hpp>

namespace toucanmill
{

/// Thread that waits for sockets, tasks of other threads and a timer. Tasks go
/// through a bounded ring; one that finds it full is refused and counted.
class packet_loop
{
public:
  using task = std::function<void()>;

  /// Handles what waits at a socket; returns false when nothing was left.
  using reader = std::function<bool()>;

  explicit packet_loop(std::size_t ring_capacity = 1024);
  ~packet_loop();
  packet_loop(const packet_loop&) = delete;
  packet_loop& operator=(const packet_loop&) = delete;

  // Before start().
  void watch(int descriptor, reader on_readable);
  void every(duration interval, task on_tick);

  /// Runs after each round of readers, tasks and ticks, before the wait.
  void after_each_round(task flush);

  void start();

  /// Any thread. False when the ring is full; the task is not run then.
  bool post(task work);

  /// Runs the function on the loop's thread and waits for its value; a default
  /// one when the ring is full or the loop has stopped.
  template <class T>
  T call(std::function<T()> work)
  {
    auto value = std::make_shared<std::promise<T>>();
    auto done = value->get_future();
    const bool posted = post(
        [value, work = std::move(work)]
        {
          value->set_value(work());
        });
    value.reset();
    if (!posted)
      return T{};
    try
    {
      return done.get();
    }
    catch (const std::future_error&)
    {
      return T{}; // the loop stopped before it ran the task
    }
  }

  /// Joins the thread; tasks in the ring are dropped.
  void stop();

private:
  void run();
  void wait();
  void run_tasks();
  void tick();

  std::vector<pollfd> watched_; ///< the wakeup, then the sockets
  std::vector<reader> readers_; ///< of the sockets
  duration interval_ = std::chrono::seconds(1);
  task on_tick_;
  task flush_;
  time_point next_tick_;
  ring<task> tasks_;
  std::mutex producers_; ///< the ring takes one producer at a time
  wakeup wakeup_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

} // namespace toucanmill

#endif
