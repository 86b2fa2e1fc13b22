#include "http_session_core.hpp"

#include <utility>

#include <toucanmill/base/invariant.hpp>

namespace toucanmill::detail
{

/// Answers a request that does not go on. It is `not-run` exactly when no byte
/// of it was sent and no other attempt can have run it.
void http_session::refuse(unsigned status, request_event event,
                          std::optional<duration> retry_after)
{
  auto& exchange = *exchange_;
  TOUCANMILL_INVARIANT(!exchange.relayed, "a refusal follows an answer");
  const bool other_attempt = event == request_event::refused_claim_in_progress;
  refusal answer;
  answer.status = status;
  answer.outcome = exchange.sent || other_attempt ? request_outcome::unknown
                                                  : request_outcome::not_run;
  answer.retry_after = retry_after;
  exchange.late_input |=
      phase_ == phase::waiting_claim && exchange.claim_requested;
  // Where a refused head ends is open to interpretation, and the bytes behind
  // it must not be read as a request.
  exchange.closes |= event == request_event::refused_malformed;
  discard_body();
  release_resources();
  answer.close = must_close();
  count(event);
  act(send_to_caller{to_bytes(answer)});
  end_exchange();
}

void http_session::end_unknown(request_event event)
{
  TOUCANMILL_INVARIANT(exchange_->sent, "an unsent request is `unknown`");
  refuse(502, event, options_.retry_after);
}

void http_session::end_stored(std::string answer, request_event event)
{
  discard_body();
  release_resources();
  if (must_close())
    answer = with_connection_close(std::move(answer));
  exchange_->relayed = true;
  count(event);
  act(send_to_caller{std::move(answer)});
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

/// The caller gave up or cannot be served any further.
void http_session::abandon()
{
  count(request_event::cancelled);
  release_resources();
  act(reset_caller{});
  phase_ = phase::closed;
}

void http_session::release_resources()
{
  drop_upstream();
  if (!exchange_)
    return;
  release_slot_if_requested();
  if (std::exchange(exchange_->claim_requested, false) && !exchange_->sent)
    act(release_claim{});
}

void http_session::release_slot_if_requested()
{
  if (std::exchange(exchange_->slot_requested, false))
    act(release_slot{});
}

/// Skips what has arrived of the body, so that the connection can be kept if
/// that is all of it.
void http_session::discard_body()
{
  if (exchange_->request.state() == reading::head)
    in_.erase(0, exchange_->request.read_body(in_));
}

bool http_session::must_close() const
{
  const auto& exchange = *exchange_;
  return draining_ || exchange.closes || exchange.late_input ||
         !exchange.request_complete() || !exchange.is_http_1_1() ||
         !exchange.request.get().keep_alive();
}

void http_session::finish_session()
{
  act(finish_caller{});
  phase_ = phase::closed;
}

void http_session::on_deadline()
{
  auto& exchange = *exchange_;
  exchange.deadline.reset();
  if (exchange.relayed)
    return;
  exchange.late_input = true;
  if (phase_ == phase::recording)
    return end_stored(std::move(exchange.stored_answer),
                      request_event::completed);
  if (exchange.sent)
    return end_unknown(request_event::unknown_deadline);
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
    act(set_timer{*next});
  else
    act(cancel_timer{});
}

} // namespace toucanmill::detail
