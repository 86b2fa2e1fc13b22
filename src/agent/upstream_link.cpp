#include "upstream_link.hpp"

#include <utility>

namespace toucanmill::detail
{

upstream_link::upstream_link(asio::io_context& context,
                             std::weak_ptr<upstream_owner> owner,
                             std::vector<char>& buffer)
    : socket_(context), connect_timer_(context), owner_(std::move(owner)),
      buffer_(buffer)
{
}

void upstream_link::connect(const endpoint& upstream, duration timeout)
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

void upstream_link::on_connect(std::error_code error)
{
  if (closed_)
    return;
  connect_timer_.cancel();
  if (error)
  {
    tell(upstream_refused{});
    return close();
  }
  open_ = true;
  std::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  tell(upstream_connected{});
  read();
  write();
}

void upstream_link::read()
{
  const auto owner = owner_.lock();
  if (!open_ || closed_ || reading_ || end_read_ || !owner ||
      !owner->wants_upstream_bytes())
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

void upstream_link::on_readable()
{
  std::error_code error;
  const auto size = socket_.read_some(asio::buffer(buffer_), error);
  if (error == asio::error::would_block)
    return read();
  end_read_ = static_cast<bool>(error);
  if (!error)
    tell(upstream_bytes{std::string(buffer_.data(), size)});
  else if (error == asio::error::eof && !write_failed_)
    tell(upstream_finished{});
  else
    tell(upstream_disconnected{});
  read();
}

void upstream_link::send(std::string bytes)
{
  if (closed_ || write_failed_)
    return;
  if (queued_.empty())
    queued_ = std::move(bytes);
  else
    queued_ += bytes;
  write();
}

void upstream_link::finish()
{
  finishing_ = true;
  write();
}

void upstream_link::write()
{
  if (!open_ || closed_ || !writing_.empty())
    return;
  if (queued_.empty())
  {
    std::error_code ignored;
    if (std::exchange(finishing_, false))
      socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    return;
  }
  writing_.swap(queued_);
  asio::async_write(
      socket_, asio::buffer(writing_),
      [self = shared_from_this()](std::error_code error, std::size_t)
      {
        self->writing_.clear();
        if (self->closed_)
          return;
        // The answer may still wait to be read, so the reading side tells how
        // the connection ended, unless it is at its end already.
        if (error)
        {
          self->write_failed_ = true;
          self->queued_.clear();
          if (self->end_read_)
            self->tell(upstream_disconnected{});
        }
        else
          self->write();
        if (const auto owner = self->owner_.lock())
          owner->on_upstream_sent();
      });
}

void upstream_link::close()
{
  if (std::exchange(closed_, true))
    return;
  std::error_code ignored;
  connect_timer_.cancel();
  socket_.close(ignored);
}

void upstream_link::tell(session_input input)
{
  if (const auto owner = owner_.lock(); owner && !closed_)
    owner->on_upstream(std::move(input));
}

} // namespace toucanmill::detail
