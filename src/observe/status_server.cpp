#include <toucanmill/observe/status_server.hpp>

#include <utility>

namespace toucanmill
{

namespace
{

http_response health_page(const health& state)
{
  return {state.good ? 200U : 503U, state.text + "\n"};
}

http_response page(const status_pages& pages, const http_request& request)
{
  if (request.method != "GET")
    return {405, "only GET is allowed\n"};
  if (request.path == "/metrics")
    return {200, to_prometheus_text(pages.metrics())};
  if (request.path == "/healthz")
    return health_page(pages.live());
  if (request.path == "/readyz")
    return health_page(pages.ready());
  return {404, "no such page\n"};
}

} // namespace

http_handler make_status_pages(status_pages pages)
{
  return [pages = std::move(pages)](const http_request& request,
                                    const http_reply& reply)
  {
    reply(page(pages, request));
  };
}

result<std::unique_ptr<status_server>>
status_server::start(const endpoint& listen, status_pages pages)
{
  BOOST_OUTCOME_TRY(
      server, http_server::start(listen, make_status_pages(std::move(pages))));
  return std::unique_ptr<status_server>(new status_server(std::move(server)));
}

} // namespace toucanmill
