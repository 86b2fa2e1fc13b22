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

/// Event loop on its own thread: handles readable sockets, tasks that other
/// threads post and a periodic timer. Tasks are passed through a bounded ring;
/// post() rejects a task when the ring is full.
class packet_loop
{
public:
  using task = std::function<void()>;

  /// Handles one batch of input; returns false when no input was left.
  using reader = std::function<bool()>;

  explicit packet_loop(std::size_t ring_capacity = 1024);
  ~packet_loop();
  packet_loop(const packet_loop&) = delete;
  packet_loop& operator=(const packet_loop&) = delete;

  // Call these three only before start().
  void watch(int descriptor, reader on_readable);
  void every(duration interval, task on_tick);

  /// Sets a callback that runs after the readers, tasks and tick of each
  /// iteration, before the next wait.
  void after_each_round(task callback);

  void start();

  /// On the loop's thread: ends the next wait at this time at the latest.
  void wake_at(time_point at);

  /// Thread-safe. Returns false, and does not run the task, when the ring is
  /// full or the loop is stopping.
  bool post(task work);

  /// Runs the function on the loop's thread and returns its result, or T{} when
  /// the ring is full or the loop has stopped.
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

  /// Stops and joins the thread; tasks still in the ring are discarded.
  void stop();

private:
  void run();
  void wait();
  void run_tasks();
  void tick();

  std::vector<pollfd> watched_; ///< wakeup_ first, then the sockets
  std::vector<reader> readers_; ///< one per socket, same order
  duration interval_ = std::chrono::seconds(1);
  time_point wake_at_ = time_point::max();
  task on_tick_;
  task after_round_;
  time_point next_tick_;
  ring<task> tasks_;
  std::mutex producer_mutex_; ///< tasks_ allows one producer at a time
  wakeup wakeup_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

} // namespace toucanmill

#endif
