#ifndef TOUCANMILL_OBSERVE_STATUS_SERVER_HPP
#define TOUCANMILL_OBSERVE_STATUS_SERVER_HPP

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <toucanmill/base/address.hpp>
#include <toucanmill/base/outcome.hpp>
#include <toucanmill/observe/http_server.hpp>
#include <toucanmill/observe/sample.hpp>

namespace toucanmill
{

/// Answer of a health page: 200 when good, otherwise 503 with the text.
struct health
{
  bool good = true;
  std::string text = "ok";
};

struct status_pages
{
  sample_source metrics;         ///< GET /metrics, Prometheus text format
  std::function<health()> live;  ///< GET /healthz: the process works
  std::function<health()> ready; ///< GET /readyz: it can take traffic
};

/// The pages as a handler of an http_server. Other paths are 404.
http_handler make_status_pages(status_pages pages);

/// HTTP server with only these pages. The destructor stops it.
class status_server
{
public:
  /// Error: io_failure when the endpoint can't be bound.
  static result<std::unique_ptr<status_server>> start(const endpoint& listen,
                                                      status_pages pages);

private:
  explicit status_server(std::unique_ptr<http_server> server)
      : server_(std::move(server))
  {
  }

  std::unique_ptr<http_server> server_;
};

/// Prometheus text format of the samples, grouped by name.
std::string to_prometheus_text(const std::vector<sample>& samples);

} // namespace toucanmill

#endif
