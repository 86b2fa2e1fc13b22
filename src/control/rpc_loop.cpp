#include <toucanmill/control/rpc_loop.hpp>

#include <kj/async-unix.h>

namespace toucanmill
{

rpc_loop::rpc_loop(std::size_t ring_capacity) : ring_(ring_capacity) {}

rpc_loop::~rpc_loop()
{
  stop();
}

void rpc_loop::start(setup_function setup)
{
  thread_ = std::thread(
      [this, setup = std::move(setup)]
      {
        run(setup);
      });
}

bool rpc_loop::post(task work)
{
  const std::lock_guard<std::mutex> lock(producer_mutex_);
  if (!ring_.push(std::move(work)))
    return false;
  wakeup_.signal();
  return true;
}

void rpc_loop::stop()
{
  if (!thread_.joinable())
    return;
  stopping_ = true;
  wakeup_.signal();
  thread_.join();
}

void rpc_loop::run(const setup_function& setup)
{
  auto io = kj::setupAsyncIo();
  const auto owned = setup(io);
  kj::UnixEventPort::FdObserver observer(
      io.unixEventPort, wakeup_.descriptor(),
      kj::UnixEventPort::FdObserver::OBSERVE_READ);
  while (!stopping_)
  {
    observer.whenBecomesReadable().wait(io.waitScope);
    wakeup_.drain();
    run_tasks(io);
  }
}

void rpc_loop::run_tasks(kj::AsyncIoContext& io)
{
  while (auto work = ring_.pop())
    (*work)(io);
}

} // namespace toucanmill
