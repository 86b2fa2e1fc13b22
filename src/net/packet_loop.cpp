#include <toucanmill/net/packet_loop.hpp>

#include <algorithm>
#include <utility>

#include <toucanmill/base/clock.hpp>

namespace toucanmill
{

namespace
{

/// Limits the batches read from one socket per iteration, so that a busy socket
/// does not starve the others.
constexpr int batches_per_round = 4;

} // namespace

packet_loop::packet_loop(std::size_t ring_capacity) : tasks_(ring_capacity)
{
  watched_.push_back({wakeup_.descriptor(), POLLIN, 0});
}

packet_loop::~packet_loop()
{
  stop();
}

void packet_loop::watch(int descriptor, reader on_readable)
{
  watched_.push_back({descriptor, POLLIN, 0});
  readers_.push_back(std::move(on_readable));
}

void packet_loop::every(duration interval, task on_tick)
{
  interval_ = interval;
  on_tick_ = std::move(on_tick);
}

void packet_loop::after_each_round(task callback)
{
  after_round_ = std::move(callback);
}

void packet_loop::start()
{
  next_tick_ = monotonic_now() + interval_;
  thread_ = std::thread(
      [this]
      {
        run();
      });
}

void packet_loop::wake_at(time_point at)
{
  wake_at_ = at;
}

bool packet_loop::post(task work)
{
  {
    const std::lock_guard lock(producer_mutex_);
    if (stopping_ || !tasks_.push(std::move(work)))
      return false;
  }
  wakeup_.signal();
  return true;
}

void packet_loop::stop()
{
  {
    const std::lock_guard lock(producer_mutex_);
    stopping_ = true;
  }
  wakeup_.signal();
  if (thread_.joinable())
    thread_.join();
  while (tasks_.pop())
    continue;
}

void packet_loop::run()
{
  while (!stopping_)
  {
    wait();
    run_tasks();
    tick();
    if (after_round_)
      after_round_();
  }
}

void packet_loop::wait()
{
  const auto until =
      std::min(next_tick_, std::exchange(wake_at_, time_point::max()));
  const auto pause = std::chrono::ceil<std::chrono::milliseconds>(
      std::max(until - monotonic_now(), duration{0}));
  if (poll(watched_.data(), watched_.size(), static_cast<int>(pause.count())) <=
      0)
    return;
  if (watched_[0].revents != 0)
    wakeup_.drain();
  for (std::size_t i = 0; i < readers_.size(); ++i)
    if (watched_[i + 1].revents != 0)
      for (int batch = 0; batch < batches_per_round; ++batch)
        if (!readers_[i]())
          break;
}

void packet_loop::run_tasks()
{
  while (auto work = tasks_.pop())
    (*work)();
}

void packet_loop::tick()
{
  const auto now = monotonic_now();
  if (now < next_tick_)
    return;
  next_tick_ = now + interval_;
  if (on_tick_)
    on_tick_();
}

} // namespace toucanmill
