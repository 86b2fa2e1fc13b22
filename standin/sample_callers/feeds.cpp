#include "workers.hpp"

#include <fmt/format.h>
#include <limits>
#include <memory>
#include <utility>
#include <vector>

#include "caller.hpp"

namespace toucanmill::sample_callers
{

namespace
{

namespace asio = boost::asio;

/// Opening all feeds at once overflows the listen backlog on the path.
constexpr std::chrono::milliseconds open_spacing{1};

constexpr std::chrono::milliseconds reopen_pause{500};

/// One feed; kept alive by its pending operations.
class feed : public std::enable_shared_from_this<feed>
{
public:
  feed(asio::io_context& context, const options& settings, report& counts)
      : context_(context), settings_(settings), counts_(counts), timer_(context)
  {
  }

  void open_after(std::chrono::milliseconds pause)
  {
    timer_.expires_after(pause);
    timer_.async_wait(
        [self = shared_from_this()](beast::error_code error)
        {
          if (!error)
            self->open();
        });
  }

private:
  using parser = http::response_parser<http::buffer_body>;

  void open()
  {
    stream_ = std::make_unique<beast::tcp_stream>(context_);
    buffer_.clear();
    text_.clear();
    next_line_ = 0;
    parser_ = std::make_unique<parser>();
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
    stream_->expires_after(settings_.timeout);
    stream_->async_connect(settings_.target,
                           [self = shared_from_this()](beast::error_code error)
                           {
                             error ? self->refuse() : self->send_request();
                           });
  }

  void send_request()
  {
    request_ = {
        http::verb::get,
        fmt::format("/feed?interval_ms={}", settings_.feed_interval.count()),
        11};
    request_.set(http::field::host, "standin");
    http::async_write(
        *stream_, request_,
        [self = shared_from_this()](beast::error_code error, std::size_t)
        {
          error ? self->refuse() : self->read_header();
        });
  }

  void read_header()
  {
    http::async_read_header(
        *stream_, buffer_, *parser_,
        [self = shared_from_this()](beast::error_code error, std::size_t)
        {
          if (error || self->parser_->get().result() != http::status::ok)
            return self->refuse();
          ++self->counts_.feeds_opened;
          self->read_lines();
        });
  }

  void read_lines()
  {
    auto& body = parser_->get().body();
    body.data = piece_.data();
    body.size = piece_.size();
    stream_->expires_after(settings_.timeout + settings_.feed_interval);
    http::async_read_some(
        *stream_, buffer_, *parser_,
        [self = shared_from_this()](beast::error_code error, std::size_t)
        {
          if (error && error != http::error::need_buffer)
            return self->end();
          self->count_lines();
          self->parser_->is_done() ? self->end() : self->read_lines();
        });
  }

  void count_lines()
  {
    text_.append(piece_.data(), piece_.size() - parser_->get().body().size);
    for (auto end = text_.find('\n'); end != std::string::npos;
         end = text_.find('\n'))
    {
      ++counts_.feed_lines;
      if (text_.compare(0, end, fmt::format("line {}", next_line_)) != 0)
        ++counts_.feed_lines_wrong;
      ++next_line_;
      text_.erase(0, end + 1);
    }
  }

  void refuse()
  {
    ++counts_.feeds_refused;
    stream_.reset();
    open_after(reopen_pause);
  }

  void end()
  {
    ++counts_.feeds_broken;
    stream_.reset();
    open_after(reopen_pause);
  }

  asio::io_context& context_;
  const options& settings_;
  report& counts_;
  asio::steady_timer timer_;
  std::unique_ptr<beast::tcp_stream> stream_;
  beast::flat_buffer buffer_;
  http::request<http::empty_body> request_;
  std::unique_ptr<parser> parser_;
  std::array<char, 1024> piece_{};
  std::string text_;
  std::uint64_t next_line_ = 0;
};

} // namespace

report run_feeds(const options& settings, deadline end)
{
  report counts;
  asio::io_context context(1);
  for (std::size_t i = 0; i < settings.feeds; ++i)
    std::make_shared<feed>(context, settings, counts)
        ->open_after(open_spacing * i);
  context.run_until(end);
  return counts;
}

} // namespace toucanmill::sample_callers
