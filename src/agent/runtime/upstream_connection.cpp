#include "upstream_connection.hpp"

#include <utility>

namespace toucanmill::detail
{

upstream_connection::upstream_connection(
    asio::io_context& context, std::weak_ptr<upstream_handler> handler,
    std::vector<char>& buffer)
    : socket_(context), connect_timer_(context), handler_(std::move(handler)),
      buffer_(buffer)
{
}

void upstream_connection::connect(const endpoint& upstream, duration timeout)
{
  const auto self = shared_from_this();
  connect_timer_.expires_after(timeout);
  connect_timer_.async_wait(
      [self](std::error_code error)
      {
        if (!error && !self->open_)
          self->on_connect(asio::error::timed_out);
      });
  socket_.async_connect(
      {asio::ip::address_v4(upstream.address.value), upstream.port},
      [self](std::error_code error)
      {
        self->on_connect(error);
      });
}

void upstream_connection::on_connect(std::error_code error)
{
  if (closed_)
    return;
  connect_timer_.cancel();
  if (error)
  {
    notify(upstream_refused{});
    return close();
  }
  open_ = true;
  std::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  notify(upstream_connected{});
  read();
  write();
}

void upstream_connection::read()
{
  const auto handler = handler_.lock();
  if (!open_ || closed_ || reading_ || read_ended_ || !handler ||
      !handler->accepts_upstream_bytes())
    return;
  reading_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](std::error_code error)
                     {
                       self->reading_ = false;
                       if (!error && !self->closed_)
                         self->on_readable();
                     });
}

void upstream_connection::on_readable()
{
  std::error_code error;
  const auto size = socket_.read_some(asio::buffer(buffer_), error);
  if (error == asio::error::would_block)
    return read();
  read_ended_ = static_cast<bool>(error);
  if (!error)
    notify(upstream_bytes{std::string(buffer_.data(), size)});
  else if (error == asio::error::eof && !write_failed_)
    notify(upstream_finished{});
  else
    notify(upstream_disconnected{});
  read();
}

void upstream_connection::send(std::string bytes)
{
  if (closed_ || write_failed_)
    return;
  if (queued_.empty())
    queued_ = std::move(bytes);
  else
    queued_ += bytes;
  write();
}

void upstream_connection::finish()
{
  finish_requested_ = true;
  write();
}

void upstream_connection::write()
{
  if (!open_ || closed_ || !writing_.empty())
    return;
  if (queued_.empty())
  {
    std::error_code ignored;
    if (std::exchange(finish_requested_, false))
      socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    return;
  }
  writing_.swap(queued_);
  asio::async_write(
      socket_, asio::buffer(writing_),
      [self = shared_from_this()](std::error_code error, std::size_t)
      {
        self->on_written(error);
      });
}

void upstream_connection::on_written(std::error_code error)
{
  writing_.clear();
  if (closed_)
    return;
  if (error)
    on_write_failed();
  else
    write();
  if (const auto handler = handler_.lock())
    handler->on_upstream_sent();
}

/// A response may still be unread, so the end of the connection is reported by
/// the read side, unless that has ended already.
void upstream_connection::on_write_failed()
{
  write_failed_ = true;
  queued_.clear();
  if (read_ended_)
    notify(upstream_disconnected{});
}

void upstream_connection::close()
{
  if (std::exchange(closed_, true))
    return;
  std::error_code ignored;
  connect_timer_.cancel();
  socket_.close(ignored);
}

void upstream_connection::notify(session_input input)
{
  if (const auto handler = handler_.lock(); handler && !closed_)
    handler->on_upstream_input(std::move(input));
}

} // namespace toucanmill::detail
