#include "http_session_core.hpp"

#include <utility>

#include <toucanmill/base/invariant.hpp>

namespace toucanmill::detail
{

/// Ends the request with an error response. The outcome is `not-run` only if no
/// byte of the request was sent and no other attempt may have run it.
void http_session::refuse(unsigned status, request_event event,
                          std::optional<duration> retry_after)
{
  auto& exchange = *exchange_;
  TOUCANMILL_INVARIANT(!exchange.relayed, "a refusal follows response bytes");
  const bool other_attempt = event == request_event::refused_claim_in_progress;
  refusal response;
  response.status = status;
  response.outcome = exchange.sent || other_attempt ? request_outcome::unknown
                                                    : request_outcome::not_run;
  response.retry_after = retry_after;
  exchange.has_pending_reply |=
      phase_ == phase::waiting_claim && exchange.claim_requested;
  // The end of a malformed request is ambiguous. Parsing the bytes after it as
  // a request would permit request smuggling.
  exchange.closes_connection |= event == request_event::refused_malformed;
  discard_body();
  release_resources();
  response.close = must_close();
  count(event);
  emit(send_to_caller{to_bytes(response)});
  end_exchange();
}

void http_session::end_with_unknown_outcome(request_event event)
{
  TOUCANMILL_INVARIANT(exchange_->sent,
                       "outcome `unknown` for a request that was not sent");
  refuse(502, event, options_.retry_after);
}

void http_session::end_with_stored_answer(std::string answer,
                                          request_event event)
{
  discard_body();
  release_resources();
  if (must_close())
    answer = add_connection_close(std::move(answer));
  exchange_->relayed = true;
  count(event);
  emit(send_to_caller{std::move(answer)});
  end_exchange();
}

void http_session::end_exchange()
{
  TOUCANMILL_INVARIANT(!exchange_->ended, "a request ended twice");
  exchange_->ended = true;
  release_resources();
  if (must_close())
    return finish_session();
  exchange_.reset();
  phase_ = phase::reading_head;
}

/// Resets a caller that gave up or cannot be served any further.
void http_session::abort_session()
{
  count(request_event::cancelled);
  release_resources();
  emit(reset_caller{});
  phase_ = phase::closed;
}

void http_session::release_resources()
{
  drop_upstream();
  if (!exchange_)
    return;
  release_slot_if_requested();
  if (std::exchange(exchange_->claim_requested, false) && !exchange_->sent)
    emit(release_claim{});
}

void http_session::release_slot_if_requested()
{
  if (std::exchange(exchange_->slot_requested, false))
    emit(release_slot{});
}

/// Discards the body bytes received so far. If they complete the request, the
/// connection can be kept open.
void http_session::discard_body()
{
  if (exchange_->request.state() == parse_state::head_complete)
    unparsed_.erase(0, exchange_->request.read_body(unparsed_));
}

bool http_session::must_close() const
{
  const auto& exchange = *exchange_;
  return draining_ || exchange.closes_connection ||
         exchange.has_pending_reply || !exchange.request_complete() ||
         !exchange.is_http_1_1() || !exchange.request.parser().keep_alive();
}

void http_session::finish_session()
{
  emit(finish_caller{});
  phase_ = phase::closed;
}

void http_session::on_deadline()
{
  auto& exchange = *exchange_;
  exchange.deadline.reset();
  if (exchange.relayed)
    return;
  exchange.has_pending_reply = true;
  if (phase_ == phase::recording)
    return end_with_stored_answer(std::move(exchange.stored_answer),
                                  request_event::completed);
  if (exchange.sent)
    return end_with_unknown_outcome(request_event::unknown_deadline);
  refuse(503, expired_event(), options_.retry_after);
}

request_event http_session::expired_event() const
{
  switch (phase_)
  {
  case phase::waiting_claim:
    return request_event::refused_claim_unavailable;
  case phase::connecting:
    return request_event::refused_upstream_unreachable;
  default:
    return request_event::refused_queue_deadline;
  }
}

std::optional<time_point> http_session::next_timer() const
{
  std::optional<time_point> next;
  const auto consider = [&next](const std::optional<time_point>& candidate)
  {
    if (candidate && (!next || *candidate < *next))
      next = candidate;
  };
  if (phase_ == phase::closed)
    return next;
  if (phase_ == phase::reading_head && draining_)
    consider(drain_close_);
  if (exchange_ && exchange_->started && !exchange_->relayed)
    consider(exchange_->deadline);
  if (exchange_)
    consider(exchange_->claim_retry);
  return next;
}

void http_session::update_timer()
{
  const auto next = next_timer();
  if (next == timer_)
    return;
  timer_ = next;
  if (next)
    emit(set_timer{*next});
  else
    emit(cancel_timer{});
}

} // namespace toucanmill::detail
