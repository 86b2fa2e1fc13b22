#include <toucanmill/observe/status_server.hpp>

#include <restinio/all.hpp>

#include <thread>

namespace toucanmill
{

namespace
{

using router = restinio::router::express_router_t<>;

struct server_traits : restinio::default_single_thread_traits_t
{
  using request_handler_t = router;
};

restinio::request_handling_status_t
reply(const restinio::request_handle_t& request,
      restinio::http_status_line_t status, std::string body)
{
  return request->create_response(std::move(status))
      .append_header(restinio::http_field::content_type,
                     "text/plain; charset=utf-8")
      .set_body(std::move(body))
      .done();
}

auto health_page(std::function<health()> check)
{
  return [check = std::move(check)](const auto& request, auto)
  {
    const auto state = check();
    return reply(request,
                 state.good ? restinio::status_ok()
                            : restinio::status_service_unavailable(),
                 state.text + "\n");
  };
}

std::unique_ptr<router> make_router(status_pages pages)
{
  auto routes = std::make_unique<router>();
  routes->http_get(
      "/metrics",
      [source = std::move(pages.metrics)](const auto& request, auto)
      {
        return reply(request, restinio::status_ok(),
                     to_prometheus_text(source()));
      });
  routes->http_get("/healthz", health_page(std::move(pages.live)));
  routes->http_get("/readyz", health_page(std::move(pages.ready)));
  return routes;
}

class restinio_server final : public status_server
{
public:
  restinio_server(const endpoint& listen, status_pages pages)
      : server_(restinio::external_io_context(context_),
                [&](auto& settings)
                {
                  settings.address(to_string(listen.address))
                      .port(listen.port)
                      .request_handler(make_router(std::move(pages)));
                })
  {
    server_.open_sync();
    thread_ = std::thread(
        [this]
        {
          context_.run();
        });
  }

  ~restinio_server() override
  {
    asio::post(context_,
               [this]
               {
                 server_.close_sync();
               });
    context_.stop();
    thread_.join();
  }

private:
  asio::io_context context_;
  restinio::http_server_t<server_traits> server_;
  std::thread thread_;
};

} // namespace

result<std::unique_ptr<status_server>>
status_server::start(const endpoint& listen, status_pages pages)
{
  try
  {
    return std::unique_ptr<status_server>(
        std::make_unique<restinio_server>(listen, std::move(pages)));
  }
  catch (const std::exception& failure)
  {
    return error{error_code::io_failure, "status server on " +
                                             to_string(listen) + ": " +
                                             failure.what()};
  }
}

} // namespace toucanmill
