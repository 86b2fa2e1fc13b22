#include "packet_thread.hpp"

#include <poll.h>

#include <cerrno>
#include <utility>

#include <toucanmill/base/clock.hpp>

namespace toucanmill
{

balancer::packet_thread::packet_thread(balancer_options options,
                                       udp_socket socket)
    : options_(std::move(options)), socket_(std::move(socket)),
      queued_tables_(options_.table_queue_capacity),
      replaced_tables_(options_.table_queue_capacity + 1),
      announce_(options_.announce_interval, options_.quiet_period),
      batch_(options_.batch_size),
      flow_window_end_(monotonic_now() + options_.flow_window), thread_(
                                                                    [this]
                                                                    {
                                                                      run();
                                                                    })
{
}

balancer::packet_thread::~packet_thread()
{
  stop();
}

bool balancer::packet_thread::set_table(routing_table table)
{
  while (replaced_tables_.pop())
    continue;
  const bool accepted = queued_tables_.push(
      std::make_shared<const routing_table>(std::move(table)));
  wakeup_.signal();
  return accepted;
}

table_version balancer::packet_thread::applied_version() const
{
  const std::lock_guard lock(version_mutex_);
  return applied_version_;
}

void balancer::packet_thread::retire()
{
  retire_requested_.store(true, std::memory_order_release);
  wakeup_.signal();
}

void balancer::packet_thread::stop()
{
  stop_requested_.store(true, std::memory_order_release);
  wakeup_.signal();
  if (thread_.joinable())
    thread_.join();
}

void balancer::packet_thread::run()
{
  while (!stop_requested_.load(std::memory_order_acquire))
  {
    apply_queued_tables();
    const auto now = monotonic_now();
    if (retire_requested_.load(std::memory_order_acquire))
      announce_.retire(now);
    send_due_message(now);
    check_retirement(now);
    estimate_flows(now);
    const bool idle = !forward_batch(now);
    publish_counters();
    if (idle)
      wait_for_events(now);
  }
}

void balancer::packet_thread::wait_for_events(time_point now)
{
  pollfd watched[] = {{socket_.descriptor(), POLLIN, 0},
                      {wakeup_.descriptor(), POLLIN, 0}};
  const auto pause = std::chrono::ceil<std::chrono::milliseconds>(
      std::max(announce_.next_message_time() - now, duration{0}));
  poll(watched, std::size(watched), static_cast<int>(pause.count()));
  if (watched[1].revents != 0)
    wakeup_.drain();
}

void balancer::packet_thread::apply_queued_tables()
{
  while (auto table = queued_tables_.pop())
    apply_table(std::move(*table));
}

void balancer::packet_thread::apply_table(table_ptr table)
{
  if (!core_.set_table(table))
  {
    ++counters_.tables_ignored;
    replaced_tables_.push(std::move(table));
    return;
  }
  ++counters_.tables_applied;
  announce_.set_ready();
  {
    const std::lock_guard lock(version_mutex_);
    applied_version_ = table->version();
  }
  replaced_tables_.push(std::exchange(current_table_, std::move(table)));
}

bool balancer::packet_thread::forward_batch(time_point now)
{
  const int received = batch_.receive(socket_.descriptor());
  if (received < 0)
    on_receive_error(errno);
  if (received <= 0)
    return false;
  const auto forwarded_before = core_.counters().forwarded;
  for (std::size_t i = 0; i < static_cast<std::size_t>(received); ++i)
  {
    const auto action = core_.on_datagram(batch_.datagram(i), batch_.sender(i));
    if (const auto* packet = std::get_if<send_to_agent>(&action))
      batch_.queue(i, *packet);
  }
  if (core_.counters().forwarded != forwarded_before)
    announce_.on_forwarded(now);
  const auto drops = batch_.send(socket_.descriptor());
  counters_.send_buffer_full += drops.buffer_full;
  counters_.send_failures += drops.failed;
  return true;
}

void balancer::packet_thread::on_receive_error(int error_number)
{
  if (error_number != EAGAIN && error_number != EINTR)
    ++counters_.receive_failures;
}

void balancer::packet_thread::send_due_message(time_point now)
{
  const auto message = announce_.poll(now);
  if (!message)
    return;
  const auto datagram = encode_fabric_message(*message);
  for (const auto& fabric : options_.fabric)
  {
    const auto to = to_sockaddr(fabric);
    if (sendto(socket_.descriptor(), datagram.bytes.data(), datagram.size, 0,
               reinterpret_cast<const sockaddr*>(&to), sizeof to) < 0)
      ++counters_.send_failures;
  }
}

void balancer::packet_thread::check_retirement(time_point now)
{
  if (retired() || !announce_.retired(now))
    return;
  retired_.store(true, std::memory_order_release);
  if (options_.on_retired)
    options_.on_retired();
}

void balancer::packet_thread::estimate_flows(time_point now)
{
  if (now < flow_window_end_)
    return;
  flow_window_end_ = now + options_.flow_window;
  counters_.active_flows = core_.take_active_flows();
}

void balancer::packet_thread::publish_counters()
{
  counters_.forwarding = core_.counters();
  published_counters_.write(counters_);
}

} // namespace toucanmill
