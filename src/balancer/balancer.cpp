#include <toucanmill/balancer/balancer.hpp>

#include "packet_thread.hpp"

namespace toucanmill
{

balancer::balancer(std::unique_ptr<packet_thread> thread)
    : thread_(std::move(thread))
{
}

balancer::~balancer() = default;

result<std::unique_ptr<balancer>> balancer::start(balancer_options options)
{
  if (options.batch_size == 0 || options.table_queue_capacity == 0)
    return error{error_code::invalid_argument,
                 "batch_size and table_queue_capacity must be at least 1"};
  BOOST_OUTCOME_TRY(socket,
                    udp_socket::open(options.listen, options.socket_buffer));
  auto thread =
      std::make_unique<packet_thread>(std::move(options), std::move(socket));
  return std::unique_ptr<balancer>(new balancer(std::move(thread)));
}

endpoint balancer::local_endpoint() const
{
  return thread_->local_endpoint();
}

bool balancer::set_table(routing_table table)
{
  return thread_->set_table(std::move(table));
}

table_version balancer::applied_version() const
{
  return thread_->applied_version();
}

void balancer::retire()
{
  thread_->retire();
}

bool balancer::retired() const
{
  return thread_->retired();
}

void balancer::stop()
{
  thread_->stop();
}

balancer_counters balancer::counters() const
{
  return thread_->counters();
}

} // namespace toucanmill
