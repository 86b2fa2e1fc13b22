#include <utility>

#include "edge.hpp"

namespace toucanmill::fabric_edge
{

caller_link::caller_link(asio::ip::tcp::socket socket,
                         tcp_connection_ptr connection, counters& counts)
    : socket_(std::move(socket)), connection_(std::move(connection)),
      counts_(counts)
{
  std::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void caller_link::handle(const tcp_event& event)
{
  if (std::holds_alternative<tcp_established>(event.what))
  {
    established_ = true;
    read_caller();
  }
  else if (const auto* received = std::get_if<tcp_received>(&event.what))
    on_service_bytes(received->bytes);
  else if (std::holds_alternative<tcp_peer_finished>(event.what))
  {
    service_finished_ = true;
    write_caller();
  }
  else if (std::holds_alternative<tcp_writable>(event.what))
    send_to_service();
  else
    on_closed(std::get<tcp_closed>(event.what).reason);
}

void caller_link::read_caller()
{
  socket_.async_read_some(
      asio::buffer(piece_),
      [self = shared_from_this()](std::error_code error, std::size_t size)
      {
        if (error == asio::error::eof)
          self->caller_finished_ = true;
        else if (error)
          return self->connection_->reset();
        self->to_service_.assign(self->piece_.data(), size);
        self->send_to_service();
      });
}

/// Reads on only when everything read before has been accepted below.
void caller_link::send_to_service()
{
  const bool had_bytes = !to_service_.empty();
  to_service_.erase(0, connection_->send(to_service_));
  if (!to_service_.empty())
    return;
  if (caller_finished_)
  {
    connection_->finish();
    close_when_done();
  }
  else if (had_bytes)
    read_caller();
}

void caller_link::on_service_bytes(const std::string& bytes)
{
  to_caller_ += bytes;
  write_caller();
}

void caller_link::write_caller()
{
  if (!writing_.empty())
    return;
  if (to_caller_.empty())
  {
    std::error_code ignored;
    if (service_finished_)
      socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    return close_when_done();
  }
  writing_.swap(to_caller_);
  asio::async_write(
      socket_, asio::buffer(writing_),
      [self = shared_from_this()](std::error_code error, std::size_t size)
      {
        self->writing_.clear();
        if (error)
          return self->connection_->reset();
        self->connection_->consume(size);
        self->write_caller();
      });
}

void caller_link::close_when_done()
{
  std::error_code ignored;
  if (caller_finished_ && to_service_.empty() && service_finished_ &&
      to_caller_.empty() && writing_.empty())
    socket_.close(ignored);
}

void caller_link::on_closed(tcp_end reason)
{
  if (reason == tcp_end::finished)
    return;
  const bool by_service =
      reason == tcp_end::reset_by_peer || reason == tcp_end::timed_out;
  if (by_service && !established_)
    ++counts_.connections_refused;
  else if (reason == tcp_end::reset_by_peer)
    ++counts_.connections_reset;
  else if (reason == tcp_end::timed_out)
    ++counts_.connections_timed_out;
  abort_caller();
}

/// A zero linger time makes the close a RST.
void caller_link::abort_caller()
{
  std::error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  socket_.close(ignored);
}

} // namespace toucanmill::fabric_edge
