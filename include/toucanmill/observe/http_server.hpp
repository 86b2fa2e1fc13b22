#ifndef TOUCANMILL_OBSERVE_HTTP_SERVER_HPP
#define TOUCANMILL_OBSERVE_HTTP_SERVER_HPP

#include <functional>
#include <memory>
#include <string>

#include <toucanmill/base/address.hpp>
#include <toucanmill/base/outcome.hpp>

namespace toucanmill
{

struct http_request
{
  std::string method; ///< upper case
  std::string path;   ///< without the query
  std::string body;
};

struct http_response
{
  unsigned status = 200;
  std::string body;
  std::string content_type = "text/plain; charset=utf-8";
  std::string location;      ///< for redirects
  std::string retry_after_s; ///< for refusals; empty: none
};

/// Answers one request; any thread may call it, once.
using http_reply = std::function<void(http_response)>;

/// Called on the server's thread; must not block.
using http_handler = std::function<void(const http_request&, http_reply)>;

/// HTTP/1.1 server on a thread of its own. The destructor stops it; replies
/// that come later are dropped.
class http_server
{
public:
  /// Error: io_failure when the endpoint can't be bound.
  static result<std::unique_ptr<http_server>> start(const endpoint& listen,
                                                    http_handler handler);
  virtual ~http_server() = default;
};

} // namespace toucanmill

#endif
