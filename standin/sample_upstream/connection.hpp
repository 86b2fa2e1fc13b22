#ifndef TOUCANMILL_SAMPLE_UPSTREAM_CONNECTION_HPP
#define TOUCANMILL_SAMPLE_UPSTREAM_CONNECTION_HPP

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace toucanmill::sample_upstream
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/// State that all connections share.
struct server_state
{
  std::chrono::milliseconds delay{0}; ///< before each answer but a feed's
  std::map<std::string, std::uint64_t> runs; ///< submissions by id
};

/// One caller's connection; kept alive by its pending operations.
class connection : public std::enable_shared_from_this<connection>
{
public:
  connection(asio::ip::tcp::socket socket, server_state& state);

  void start();

private:
  using request = http::request<http::string_body>;
  using response = http::response<http::string_body>;

  void read_request();
  void handle_request();
  void answer_after_delay();
  void answer();
  void send(response message);
  void send_text(http::status status, std::string text);
  std::string submit();
  std::string list_runs() const;
  void start_feed();
  void send_feed_line();
  void start_download();
  void send_download_piece();
  void write_raw(std::string_view bytes, void (connection::*next)());

  asio::ip::tcp::socket socket_;
  server_state& state_;
  asio::steady_timer timer_;
  beast::flat_buffer buffer_;
  request request_;
  response response_;
  std::string pending_;
  std::chrono::milliseconds feed_interval_{0};
  std::uint64_t feed_line_ = 0;
  std::uint64_t download_offset_ = 0;
  std::uint64_t download_size_ = 0;
};

} // namespace toucanmill::sample_upstream

#endif
