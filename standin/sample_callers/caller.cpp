#include "caller.hpp"

#include <cerrno>
#include <limits>
#include <sys/socket.h>
#include <utility>

namespace toucanmill::sample_callers
{

namespace
{

constexpr std::size_t piece_size = std::size_t{64} * 1024;

} // namespace

template <class Start>
beast::error_code caller::run(Start start)
{
  beast::error_code outcome;
  stream_->expires_after(settings_.timeout);
  start(
      [&outcome](beast::error_code error, auto...)
      {
        outcome = error;
      });
  context_.restart();
  context_.run();
  return outcome;
}

beast::error_code caller::connect()
{
  buffer_.clear();
  stream_ = std::make_unique<beast::tcp_stream>(context_);
  return run(
      [this](auto done)
      {
        stream_->async_connect(settings_.target, std::move(done));
      });
}

/// A kept connection that the server closed while idle is not used again, as in
/// other HTTP clients.
bool caller::closed_by_peer() const
{
  char octet = 0;
  const auto got = recv(stream_->socket().native_handle(), &octet, 1,
                        MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

std::unique_ptr<caller::parser> caller::exchange(request message)
{
  if (stream_ && closed_by_peer())
    close();
  if (!stream_ && connect())
  {
    close();
    return nullptr;
  }
  message.prepare_payload();
  auto error = run(
      [this, &message](auto done)
      {
        http::async_write(*stream_, message, std::move(done));
      });
  auto response = std::make_unique<parser>();
  response->body_limit(std::numeric_limits<std::uint64_t>::max());
  if (!error)
    error = run(
        [this, &response](auto done)
        {
          http::async_read_header(*stream_, buffer_, *response,
                                  std::move(done));
        });
  if (!error)
    return response;
  close();
  return nullptr;
}

bool caller::read_body(parser& response, std::string& piece)
{
  piece.clear();
  if (response.is_done())
    return false;
  piece.resize(piece_size);
  auto& body = response.get().body();
  body.data = piece.data();
  body.size = piece.size();
  const auto error = run(
      [this, &response](auto done)
      {
        http::async_read(*stream_, buffer_, response, std::move(done));
      });
  piece.resize(piece.size() - body.size);
  return !error || error == http::error::need_buffer;
}

void caller::finish(const parser& response)
{
  if (!response.is_done() || !response.keep_alive() || settings_.reconnect)
    close();
}

void caller::close()
{
  stream_.reset();
}

} // namespace toucanmill::sample_callers
