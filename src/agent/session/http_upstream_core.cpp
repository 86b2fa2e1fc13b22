#include "http_session_core.hpp"

#include <utility>

#include <toucanmill/base/invariant.hpp>

namespace toucanmill::detail
{

namespace
{

/// False for a streamed response, whose end is known only when it comes (last
/// chunk or end of the connection).
bool declares_length(const response_reader& response)
{
  return response.state() == parse_state::complete ||
         response.parser().content_length();
}

bool is_interim(const response_reader& response)
{
  return response.head().result_int() / 100 == 1;
}

bool may_have_body(unsigned status)
{
  return status != 204 && status != 304;
}

} // namespace

void http_session::on(upstream_connected&)
{
  if (upstream_ != upstream_state::connecting)
    return;
  upstream_ = upstream_state::open;
  phase_ = phase::exchanging;
  start_response_parser();
  send_request();
}

void http_session::on(upstream_refused&)
{
  if (upstream_ != upstream_state::connecting)
    return;
  upstream_ = upstream_state::none;
  if (exchange_->sent)
    end_with_unknown_outcome(request_event::unknown_upstream_gone);
  else
    refuse(503, request_event::refused_upstream_unreachable,
           options_.retry_after);
}

void http_session::on(upstream_bytes& value)
{
  if (phase_ != phase::exchanging || upstream_ != upstream_state::open)
  {
    count(request_event::unexpected_upstream_bytes);
    return;
  }
  exchange_->response_started = true;
  if (exchange_->unparsed_response.empty())
    exchange_->unparsed_response = std::move(value.bytes);
  else
    exchange_->unparsed_response += value.bytes;
  parse_response();
}

void http_session::on(upstream_finished&)
{
  if (phase_ != phase::exchanging || upstream_ != upstream_state::open)
    return;
  auto& response = *exchange_->response;
  if (response.state() == parse_state::head_complete)
    response.finish();
  if (response.state() == parse_state::complete)
    finish_response();
  else
    on_response_failed();
}

void http_session::on(upstream_disconnected&)
{
  if (upstream_ == upstream_state::connecting)
  {
    upstream_refused refused;
    return on(refused);
  }
  if (std::exchange(upstream_, upstream_state::none) == upstream_state::open &&
      phase_ == phase::exchanging)
    on_response_failed();
}

void http_session::send_request()
{
  auto& exchange = *exchange_;
  const auto& request = exchange.request;
  TOUCANMILL_INVARIANT(!exchange.sent || exchange.idempotent,
                       "a non-idempotent request is sent twice");
  TOUCANMILL_INVARIANT(!exchange.keyed || exchange.claim_granted,
                       "a request with a key is sent without a claim");
  std::optional<duration> remaining;
  if (exchange.deadline)
    remaining = *exchange.deadline - now_;
  std::optional<std::size_t> body_size;
  if (exchange.keyed)
    body_size = request.body().bytes.size();
  send_upstream(make_upstream_head(request.head(), remaining, body_size) +
                request.body().bytes);
  if (!exchange.keyed)
    send_continue();
}

void http_session::send_upstream(std::string bytes)
{
  TOUCANMILL_INVARIANT(upstream_ == upstream_state::open,
                       "request bytes without an upstream connection");
  exchange_->sent = true;
  emit(send_to_upstream{std::move(bytes)});
}

void http_session::start_response_parser()
{
  exchange_->response.emplace(options_.max_head);
  if (exchange_->request.head().method() == http::verb::head)
    exchange_->response->expect_no_body();
}

void http_session::parse_response()
{
  while (!exchange_->response->parser().is_header_done())
    if (!parse_response_head())
      return;
  parse_response_body();
}

/// Parses one head, interim or final. Returns false if parsing must stop.
bool http_session::parse_response_head()
{
  auto& exchange = *exchange_;
  auto& response = *exchange.response;
  exchange.unparsed_response.erase(
      0, response.read_head(exchange.unparsed_response));
  if (response.state() == parse_state::incomplete)
    return false;
  const bool switches_protocol =
      response.parser().is_header_done() && response.head().result_int() == 101;
  if (!response.parser().is_header_done() || switches_protocol)
  {
    on_response_failed();
    return false;
  }
  if (is_interim(response))
    relay_interim_response();
  else
    start_response();
  return true;
}

/// Interim responses to a request with a claim are dropped, because the caller
/// receives exactly what is recorded.
void http_session::relay_interim_response()
{
  if (!exchange_->keyed && exchange_->is_http_1_1())
    emit(send_to_caller{
        make_caller_head(exchange_->response->head(), std::nullopt)});
  start_response_parser();
}

void http_session::start_response()
{
  auto& exchange = *exchange_;
  auto& response = *exchange.response;
  if (!declares_length(response))
    release_slot_if_requested();
  auto head = make_caller_head(response.head(), std::nullopt);
  exchange.buffers_response = exchange.keyed;
  if (!exchange.keyed)
    return relay_to_caller(std::move(head));
  exchange.buffered_response = std::move(head);
  response.keep_body(options_.max_stored_answer);
}

void http_session::parse_response_body()
{
  auto& exchange = *exchange_;
  auto& response = *exchange.response;
  const auto used = response.read_body(exchange.unparsed_response);
  auto bytes = exchange.unparsed_response.substr(0, used);
  exchange.unparsed_response.erase(0, used);
  if (response.state() == parse_state::malformed)
    return on_response_failed();
  if (exchange.buffers_response)
    exchange.buffered_response += bytes;
  else if (!bytes.empty())
    relay_to_caller(std::move(bytes));
  if (exchange.buffers_response &&
      exchange.buffered_response.size() > options_.max_stored_answer)
    stop_buffering();
  if (response.state() == parse_state::complete)
    finish_response();
}

void http_session::relay_to_caller(std::string bytes)
{
  auto& exchange = *exchange_;
  if (!exchange.relayed)
  {
    exchange.closes_connection =
        must_close() || exchange.response->parser().need_eof();
    if (exchange.closes_connection)
      bytes = add_connection_close(std::move(bytes));
  }
  exchange.relayed = true;
  emit(send_to_caller{std::move(bytes)});
}

/// The response is too large to store. Records only that the request ran.
void http_session::stop_buffering()
{
  exchange_->buffers_response = false;
  exchange_->has_pending_reply = true;
  emit(record_answer{});
  count(request_event::answer_not_recorded);
  relay_to_caller(std::exchange(exchange_->buffered_response, {}));
}

void http_session::finish_response()
{
  auto& exchange = *exchange_;
  if (!exchange.unparsed_response.empty())
    count(request_event::unexpected_upstream_bytes);
  drop_upstream();
  release_slot_if_requested();
  if (exchange.buffers_response)
  {
    exchange.stored_answer = make_stored_answer();
    phase_ = phase::recording;
    emit(record_answer{exchange.stored_answer});
    return;
  }
  count(request_event::completed);
  end_exchange();
}

/// The decoded response with a Content-Length, whatever the upstream's framing.
std::string http_session::make_stored_answer() const
{
  const auto& response = *exchange_->response;
  if (!may_have_body(response.head().result_int()))
    return make_caller_head(response.head(), std::nullopt);
  const auto& body = response.body().bytes;
  return make_caller_head(response.head(), body.size()) + body;
}

void http_session::on_response_failed()
{
  if (exchange_->relayed)
  {
    count(request_event::truncated_answer);
    release_resources();
    emit(reset_caller{});
    phase_ = phase::closed;
    return;
  }
  if (!may_retry())
    return end_with_unknown_outcome(request_event::unknown_upstream_gone);
  count(request_event::retried_idempotent);
  exchange_->retried = true;
  drop_upstream();
  connect();
}

bool http_session::may_retry()
{
  const auto& exchange = *exchange_;
  if (!exchange.idempotent || exchange.response_started || exchange.retried ||
      exchange.body_sent || !exchange.request_complete())
    return false;
  if (budget_.take())
    return true;
  count(request_event::retry_budget_empty);
  return false;
}

void http_session::drop_upstream()
{
  if (std::exchange(upstream_, upstream_state::none) != upstream_state::none)
    emit(close_upstream{});
}

} // namespace toucanmill::detail
