#include "http_session_core.hpp"

#include <utility>

namespace toucanmill
{

std::unique_ptr<session_core> make_http_session(http_options options,
                                                retry_budget& budget)
{
  return std::make_unique<detail::http_session>(options, budget);
}

} // namespace toucanmill

namespace toucanmill::detail
{

namespace
{

/// For this long a draining agent still runs the next request of an open
/// connection, because closing at once would cut off a request in flight. The
/// upstream must get no new work after a few seconds.
constexpr duration drain_grace = std::chrono::seconds(3);

/// Time after the start of a drain at which idle connections are closed. By
/// then a request in flight is unlikely.
constexpr duration drain_idle_limit = std::chrono::seconds(30);

} // namespace

http_session::http_session(http_options options, retry_budget& budget)
    : options_(options), budget_(budget)
{
}

std::vector<session_action> http_session::handle(session_input input,
                                                 time_point now)
{
  now_ = now;
  if (phase_ != phase::closed)
  {
    std::visit(
        [this](auto& value)
        {
          on(value);
        },
        input);
    process_caller_bytes();
    limit_pipelining();
  }
  update_timer();
  return std::exchange(actions_, {});
}

bool http_session::busy() const
{
  if (phase_ == phase::closed)
    return false;
  return phase_ != phase::reading_head || head_started();
}

/// The parser holds the part of a head that it has consumed, so the buffer may
/// be empty although a head has started.
bool http_session::head_started() const
{
  return !unparsed_.empty() ||
         (exchange_ && exchange_->request.parser().got_some());
}

std::size_t http_session::buffered_from_caller() const
{
  return unparsed_.size();
}

void http_session::emit(session_action action)
{
  actions_.push_back(std::move(action));
}

void http_session::count(request_event event)
{
  emit(count_event{event});
}

void http_session::on(caller_bytes& value)
{
  if (caller_finished_)
    return;
  if (unparsed_.empty())
    unparsed_ = std::move(value.bytes);
  else
    unparsed_ += value.bytes;
}

void http_session::on(caller_finished&)
{
  caller_finished_ = true;
}

void http_session::on(caller_disconnected&)
{
  if (exchange_ && exchange_->started)
    count(request_event::cancelled);
  release_resources();
  phase_ = phase::closed;
}

void http_session::on(slot_granted&)
{
  if (phase_ != phase::waiting_slot)
    return;
  if (exchange_->keyed)
    send_claim();
  else
    connect();
}

void http_session::on(slot_refused& value)
{
  if (phase_ != phase::waiting_slot)
    return;
  exchange_->slot_requested = false;
  refuse(503,
         now_ < exchange_->slot_deadline
             ? request_event::refused_queue_full
             : request_event::refused_queue_deadline,
         value.retry_after);
}

void http_session::on(claim_decided& value)
{
  if (phase_ != phase::waiting_claim)
    return;
  auto& exchange = *exchange_;
  exchange.claim_retry.reset();
  if (value.status == claim_status::unavailable)
    return retry_claim();
  exchange.claim_granted = value.status == claim_status::granted;
  exchange.claim_requested = exchange.claim_granted;
  if (value.status == claim_status::granted)
    return connect();
  if (value.status == claim_status::different_request)
    return refuse(422, request_event::refused_claim_different);
  if (value.status == claim_status::completed && !value.answer.empty())
    return end_with_stored_answer(std::move(value.answer),
                                  request_event::replayed);
  refuse(409, request_event::refused_claim_in_progress, options_.retry_after);
}

void http_session::on(claim_recorded& value)
{
  if (phase_ != phase::recording)
    return;
  if (!value.stored)
    count(request_event::answer_not_recorded);
  end_with_stored_answer(std::move(exchange_->stored_answer),
                         request_event::completed);
}

void http_session::on(timer_expired&)
{
  timer_.reset();
  if (exchange_ && exchange_->claim_retry && *exchange_->claim_retry <= now_)
    send_claim();
  if (exchange_ && exchange_->deadline && *exchange_->deadline <= now_)
    on_deadline();
  if (phase_ == phase::reading_head && draining_ && drain_close_ <= now_)
    finish_session();
}

void http_session::on(drain_started&)
{
  draining_ = true;
  drain_refuse_ = now_ + drain_grace;
  drain_close_ = now_ + drain_idle_limit;
}

} // namespace toucanmill::detail
