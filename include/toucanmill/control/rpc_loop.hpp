#ifndef TOUCANMILL_CONTROL_RPC_LOOP_HPP
#define TOUCANMILL_CONTROL_RPC_LOOP_HPP

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <thread>

#include <kj/async-io.h>

#include <toucanmill/base/ring.hpp>
#include <toucanmill/base/wakeup.hpp>

namespace toucanmill
{

/// Thread that runs a kj event loop. Other threads post tasks through a bounded
/// ring; tasks are refused and counted when the ring is full.
class rpc_loop
{
public:
  using task = std::function<void(kj::AsyncIoContext&)>;

  /// Runs on the new thread; the returned object is destroyed on that thread
  /// when the loop stops.
  using setup_function = std::function<kj::Own<void>(kj::AsyncIoContext&)>;

  explicit rpc_loop(std::size_t ring_capacity = 4096);
  ~rpc_loop();
  rpc_loop(const rpc_loop&) = delete;
  rpc_loop& operator=(const rpc_loop&) = delete;

  void start(setup_function setup);

  /// Queues a task for the loop; returns false if the ring is full.
  bool post(task work);

  /// Tasks refused because the ring was full.
  std::uint64_t refused() const
  {
    return ring_.refused();
  }

  /// Stops the loop and joins the thread; queued tasks are discarded.
  void stop();

private:
  void run(const setup_function& setup);
  void run_tasks(kj::AsyncIoContext& io);

  ring<task> ring_;
  std::mutex producer_mutex_; ///< the ring supports a single producer
  wakeup wakeup_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

} // namespace toucanmill

#endif
