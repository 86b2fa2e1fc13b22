#include "connection.hpp"

#include <fmt/format.h>
#include <optional>
#include <utility>

#include "content.hpp"

namespace toucanmill::sample_upstream
{

namespace
{

std::string_view path_of(std::string_view target)
{
  return target.substr(0, target.find('?'));
}

/// Value of a query parameter, not percent-decoded.
std::optional<std::string> parameter(std::string_view target,
                                     std::string_view name)
{
  auto position = target.find('?');
  while (position != std::string_view::npos)
  {
    const auto start = position + 1;
    position = target.find('&', start);
    const auto pair = target.substr(start, position - start);
    if (const auto equals = pair.find('=');
        equals != std::string_view::npos && pair.substr(0, equals) == name)
      return std::string(pair.substr(equals + 1));
  }
  return std::nullopt;
}

std::optional<std::uint64_t> number_parameter(std::string_view target,
                                              std::string_view name)
{
  const auto text = parameter(target, name);
  if (!text || text->empty() || text->size() > 15 ||
      text->find_first_not_of("0123456789") != std::string::npos)
    return std::nullopt;
  return std::stoull(*text);
}

std::string_view to_view(beast::string_view text)
{
  return {text.data(), text.size()};
}

} // namespace

connection::connection(asio::ip::tcp::socket socket, server_state& state)
    : socket_(std::move(socket)), state_(state), timer_(socket_.get_executor())
{
}

void connection::start()
{
  beast::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  read_request();
}

void connection::read_request()
{
  request_ = {};
  http::async_read(
      socket_, buffer_, request_,
      [self = shared_from_this()](beast::error_code error, std::size_t)
      {
        if (!error)
          self->handle_request();
      });
}

void connection::handle_request()
{
  if (path_of(to_view(request_.target())) == "/feed")
    start_feed();
  else
    answer_after_delay();
}

void connection::answer_after_delay()
{
  if (state_.delay.count() == 0)
    return answer();
  timer_.expires_after(state_.delay);
  timer_.async_wait(
      [self = shared_from_this()](beast::error_code error)
      {
        if (!error)
          self->answer();
      });
}

void connection::answer()
{
  const auto path = path_of(to_view(request_.target()));
  if (path == "/download")
    start_download();
  else if (path == "/submit" && request_.method() == http::verb::post)
    send_text(http::status::ok, submit());
  else if (path == "/runs")
    send_text(http::status::ok, list_runs());
  else
    send_text(http::status::not_found, "not found\n");
}

void connection::send_text(http::status status, std::string text)
{
  response message(status, request_.version());
  message.set(http::field::content_type, "text/plain");
  message.body() = std::move(text);
  send(std::move(message));
}

void connection::send(response message)
{
  message.keep_alive(request_.keep_alive());
  message.prepare_payload();
  response_ = std::move(message);
  http::async_write(
      socket_, response_,
      [self = shared_from_this()](beast::error_code error, std::size_t)
      {
        if (!error && self->response_.keep_alive())
          self->read_request();
      });
}

std::string connection::submit()
{
  const auto id = parameter(to_view(request_.target()), "id");
  return fmt::format("{}\n", ++state_.runs[id.value_or("")]);
}

std::string connection::list_runs() const
{
  std::string text;
  for (const auto& [id, count] : state_.runs)
    text += fmt::format("{} {}\n", id, count);
  return text;
}

void connection::start_feed()
{
  const auto interval =
      number_parameter(to_view(request_.target()), "interval_ms");
  feed_interval_ = std::chrono::milliseconds(interval.value_or(1000));
  feed_line_ = 0;
  write_raw("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
            "Transfer-Encoding: chunked\r\n\r\n",
            &connection::send_feed_line);
}

void connection::send_feed_line()
{
  timer_.expires_after(feed_interval_);
  timer_.async_wait(
      [self = shared_from_this()](beast::error_code error)
      {
        if (error)
          return;
        const auto line = fmt::format("line {}\n", self->feed_line_++);
        self->write_raw(fmt::format("{:x}\r\n{}\r\n", line.size(), line),
                        &connection::send_feed_line);
      });
}

void connection::start_download()
{
  const auto size = number_parameter(to_view(request_.target()), "size");
  download_size_ = size.value_or(1U << 20);
  download_offset_ = 0;
  write_raw(fmt::format("HTTP/1.1 200 OK\r\n"
                        "Content-Type: application/octet-stream\r\n"
                        "Content-Length: {}\r\nX-Checksum: {}\r\n\r\n",
                        download_size_, download_checksum(download_size_)),
            &connection::send_download_piece);
}

void connection::send_download_piece()
{
  if (download_offset_ == download_size_)
    return read_request();
  const auto piece = download_piece(download_offset_, download_size_);
  download_offset_ += piece.size();
  asio::async_write(
      socket_, asio::buffer(piece.data(), piece.size()),
      [self = shared_from_this()](beast::error_code error, std::size_t)
      {
        if (!error)
          self->send_download_piece();
      });
}

void connection::write_raw(std::string_view bytes, void (connection::*next)())
{
  pending_ = std::string(bytes);
  asio::async_write(
      socket_, asio::buffer(pending_),
      [self = shared_from_this(), next](beast::error_code error, std::size_t)
      {
        if (!error)
          ((*self).*next)();
      });
}

} // namespace toucanmill::sample_upstream
