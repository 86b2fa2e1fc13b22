#include "http_session_core.hpp"

#include <utility>

#include <toucanmill/base/invariant.hpp>

namespace toucanmill::detail
{

namespace
{

/// The head tells where the body ends; a feed has no such head.
bool declares_length(const answer_reader& answer)
{
  return answer.state() == reading::complete || answer.get().content_length();
}

bool is_interim(const answer_reader& answer)
{
  return answer.head().result_int() / 100 == 1;
}

bool may_have_body(unsigned status)
{
  return status != 204 && status != 304;
}

} // namespace

void http_session::on(upstream_connected&)
{
  if (upstream_ != connection::connecting)
    return;
  upstream_ = connection::open;
  phase_ = phase::exchanging;
  restart_answer();
  send_request();
}

void http_session::on(upstream_refused&)
{
  if (upstream_ != connection::connecting)
    return;
  upstream_ = connection::none;
  if (exchange_->sent)
    end_unknown(request_event::unknown_upstream_gone);
  else
    refuse(503, request_event::refused_upstream_unreachable,
           options_.retry_after);
}

void http_session::on(upstream_bytes& value)
{
  if (phase_ != phase::exchanging || upstream_ != connection::open)
  {
    count(request_event::unexpected_upstream_bytes);
    return;
  }
  exchange_->answer_started = true;
  if (exchange_->unread_answer.empty())
    exchange_->unread_answer = std::move(value.bytes);
  else
    exchange_->unread_answer += value.bytes;
  read_answer();
}

void http_session::on(upstream_finished&)
{
  if (phase_ != phase::exchanging || upstream_ != connection::open)
    return;
  auto& answer = *exchange_->answer;
  if (answer.state() == reading::head)
    answer.finish();
  if (answer.state() == reading::complete)
    finish_answer();
  else
    answer_failed();
}

void http_session::on(upstream_gone&)
{
  if (upstream_ == connection::connecting)
  {
    upstream_refused refused;
    return on(refused);
  }
  if (std::exchange(upstream_, connection::none) == connection::open &&
      phase_ == phase::exchanging)
    answer_failed();
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
  send_upstream(upstream_head(request.head(), remaining, body_size) +
                request.body().bytes);
  if (!exchange.keyed)
    send_continue();
}

void http_session::send_upstream(std::string bytes)
{
  TOUCANMILL_INVARIANT(upstream_ == connection::open,
                       "request bytes without an upstream connection");
  exchange_->sent = true;
  act(send_to_upstream{std::move(bytes)});
}

void http_session::restart_answer()
{
  exchange_->answer.emplace(options_.max_head);
  if (exchange_->request.head().method() == http::verb::head)
    exchange_->answer->expect_no_body();
}

void http_session::read_answer()
{
  while (!exchange_->answer->get().is_header_done())
    if (!read_answer_head())
      return;
  read_answer_body();
}

/// Reads one head, interim or final. False when no further byte may be read.
bool http_session::read_answer_head()
{
  auto& exchange = *exchange_;
  auto& answer = *exchange.answer;
  exchange.unread_answer.erase(0, answer.read_head(exchange.unread_answer));
  if (answer.state() == reading::incomplete)
    return false;
  const bool switches_protocol =
      answer.get().is_header_done() && answer.head().result_int() == 101;
  if (!answer.get().is_header_done() || switches_protocol)
  {
    answer_failed();
    return false;
  }
  if (is_interim(answer))
    relay_interim_answer();
  else
    start_answer();
  return true;
}

/// A request with a claim gets no interim answers: what the caller receives is
/// what is recorded.
void http_session::relay_interim_answer()
{
  if (!exchange_->keyed && exchange_->is_http_1_1())
    act(send_to_caller{caller_head(exchange_->answer->head(), std::nullopt)});
  restart_answer();
}

void http_session::start_answer()
{
  auto& exchange = *exchange_;
  auto& answer = *exchange.answer;
  if (!declares_length(answer))
    release_slot_if_requested();
  auto head = caller_head(answer.head(), std::nullopt);
  exchange.hold_answer = exchange.keyed;
  if (!exchange.keyed)
    return relay_answer(std::move(head));
  exchange.held_answer = std::move(head);
  answer.keep_body(options_.max_stored_answer);
}

void http_session::read_answer_body()
{
  auto& exchange = *exchange_;
  auto& answer = *exchange.answer;
  const auto used = answer.read_body(exchange.unread_answer);
  auto bytes = exchange.unread_answer.substr(0, used);
  exchange.unread_answer.erase(0, used);
  if (answer.state() == reading::malformed)
    return answer_failed();
  if (exchange.hold_answer)
    exchange.held_answer += bytes;
  else if (!bytes.empty())
    relay_answer(std::move(bytes));
  if (exchange.hold_answer &&
      exchange.held_answer.size() > options_.max_stored_answer)
    give_up_recording();
  if (answer.state() == reading::complete)
    finish_answer();
}

void http_session::relay_answer(std::string bytes)
{
  auto& exchange = *exchange_;
  if (!exchange.relayed)
  {
    exchange.closes = must_close() || exchange.answer->get().need_eof();
    if (exchange.closes)
      bytes = with_connection_close(std::move(bytes));
  }
  exchange.relayed = true;
  act(send_to_caller{std::move(bytes)});
}

/// The answer is too large to be recorded. That the request ran is recorded.
void http_session::give_up_recording()
{
  exchange_->hold_answer = false;
  exchange_->late_input = true;
  act(record_answer{});
  count(request_event::answer_not_recorded);
  relay_answer(std::exchange(exchange_->held_answer, {}));
}

void http_session::finish_answer()
{
  auto& exchange = *exchange_;
  if (!exchange.unread_answer.empty())
    count(request_event::unexpected_upstream_bytes);
  drop_upstream();
  release_slot_if_requested();
  if (exchange.hold_answer)
  {
    exchange.stored_answer = make_stored_answer();
    phase_ = phase::recording;
    act(record_answer{exchange.stored_answer});
    return;
  }
  count(request_event::completed);
  end_exchange();
}

/// The decoded answer with its length, whatever the framing of the upstream.
std::string http_session::make_stored_answer() const
{
  const auto& answer = *exchange_->answer;
  if (!may_have_body(answer.head().result_int()))
    return caller_head(answer.head(), std::nullopt);
  const auto& body = answer.body().bytes;
  return caller_head(answer.head(), body.size()) + body;
}

void http_session::answer_failed()
{
  if (exchange_->relayed)
  {
    count(request_event::truncated_answer);
    release_resources();
    act(reset_caller{});
    phase_ = phase::closed;
    return;
  }
  if (!may_retry())
    return end_unknown(request_event::unknown_upstream_gone);
  count(request_event::retried_idempotent);
  exchange_->retried = true;
  drop_upstream();
  connect();
}

bool http_session::may_retry()
{
  const auto& exchange = *exchange_;
  if (!exchange.idempotent || exchange.answer_started || exchange.retried ||
      exchange.body_sent || !exchange.request_complete())
    return false;
  if (budget_.take())
    return true;
  count(request_event::retry_budget_empty);
  return false;
}

void http_session::drop_upstream()
{
  if (std::exchange(upstream_, connection::none) != connection::none)
    act(close_upstream{});
}

} // namespace toucanmill::detail
