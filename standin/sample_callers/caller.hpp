#ifndef TOUCANMILL_SAMPLE_CALLERS_CALLER_HPP
#define TOUCANMILL_SAMPLE_CALLERS_CALLER_HPP

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <string>

#include "options.hpp"

namespace toucanmill::sample_callers
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

/// A blocking HTTP/1.1 client with a time limit on each operation; reconnects
/// when the last exchange did not leave the connection usable.
class caller
{
public:
  explicit caller(const options& settings) : settings_(settings) {}

  using request = http::request<http::string_body>;
  using parser = http::response_parser<http::buffer_body>;

  /// Sends the request and reads the response header; null when the connection
  /// failed before the end of the header.
  std::unique_ptr<parser> exchange(request message);

  /// Reads more of the body. False at its end and on an error; the parser's
  /// is_done() tells which.
  bool read_body(parser& response, std::string& piece);

  /// Ends the exchange; keeps the connection when the response is complete.
  void finish(const parser& response);

  void close();

private:
  beast::error_code connect();
  bool closed_by_peer() const;
  template <class Start>
  beast::error_code run(Start start);

  const options& settings_;
  boost::asio::io_context context_{1};
  std::unique_ptr<beast::tcp_stream> stream_;
  beast::flat_buffer buffer_;
};

} // namespace toucanmill::sample_callers

#endif
