#include <toucanmill/observe/http_server.hpp>

#include <restinio/all.hpp>

#include <thread>
#include <utility>

namespace toucanmill
{

namespace
{

/// A declared configuration of 12,000 addresses has about 3 MB.
constexpr std::uint64_t max_body = std::uint64_t{8} << 20;

/// A connection without a request for this long is closed.
constexpr auto idle_limit = std::chrono::seconds(30);

struct server_traits : restinio::default_traits_t
{
  using request_handler_t = std::function<restinio::request_handling_status_t(
      restinio::request_handle_t)>;
};

void respond(const restinio::request_handle_t& request, http_response response)
{
  const auto code =
      restinio::http_status_code_t(static_cast<std::uint16_t>(response.status));
  auto out = request->create_response(restinio::http_status_line_t(code, ""));
  out.append_header(restinio::http_field::content_type, response.content_type);
  if (!response.location.empty())
    out.append_header(restinio::http_field::location, response.location);
  if (!response.retry_after_s.empty())
    out.append_header(restinio::http_field::retry_after,
                      response.retry_after_s);
  out.set_body(std::move(response.body)).done();
}

class restinio_server final : public http_server
{
public:
  restinio_server(const endpoint& listen, http_handler handler)
      : context_(std::make_shared<asio::io_context>()),
        handler_(std::move(handler)),
        server_(restinio::external_io_context(*context_),
                [&](auto& settings)
                {
                  configure(settings, listen);
                })
  {
    server_.open_sync();
    thread_ = std::thread(
        [this]
        {
          context_->run();
        });
  }

  ~restinio_server() override
  {
    asio::post(*context_,
               [this]
               {
                 server_.close_sync();
               });
    context_->stop();
    thread_.join();
  }

private:
  template <class Settings>
  void configure(Settings& settings, const endpoint& listen)
  {
    settings.address(to_string(listen.address))
        .port(listen.port)
        .read_next_http_message_timelimit(idle_limit)
        .incoming_http_msg_limits(
            restinio::incoming_http_msg_limits_t().max_body_size(max_body))
        .request_handler(
            [this](restinio::request_handle_t request)
            {
              return handle(std::move(request));
            });
  }

  restinio::request_handling_status_t handle(restinio::request_handle_t request)
  {
    const auto& header = request->header();
    http_request values{std::string(header.method().c_str()),
                        std::string(header.path()), request->body()};
    // A late reply may come when the server is gone; the context is not.
    const std::weak_ptr<asio::io_context> weak = context_;
    handler_(values,
             [weak, request = std::move(request)](http_response response)
             {
               const auto context = weak.lock();
               if (context == nullptr)
                 return;
               asio::post(*context,
                          [request, response = std::move(response)]
                          {
                            respond(request, response);
                          });
             });
    return restinio::request_accepted();
  }

  std::shared_ptr<asio::io_context> context_;
  http_handler handler_;
  restinio::http_server_t<server_traits> server_;
  std::thread thread_;
};

} // namespace

result<std::unique_ptr<http_server>> http_server::start(const endpoint& listen,
                                                        http_handler handler)
{
  try
  {
    return std::unique_ptr<http_server>(
        std::make_unique<restinio_server>(listen, std::move(handler)));
  }
  catch (const std::exception& failure)
  {
    return error{error_code::io_failure,
                 "HTTP server on " + to_string(listen) + ": " + failure.what()};
  }
}

} // namespace toucanmill
