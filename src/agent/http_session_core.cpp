#include "http_session_core.hpp"

#include <utility>

#include <toucanmill/base/invariant.hpp>

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

/// Requests that a caller sends ahead may take this many octets.
constexpr std::size_t max_pipelined = 1048576;

/// A claim without a decision is sent this often in all; the reply to a claim
/// may have been lost.
constexpr unsigned max_claim_attempts = 3;

constexpr duration claim_retry_delay = std::chrono::milliseconds(100);

/// Time that a draining agent leaves to a caller who has connected but not
/// yet sent a complete head.
constexpr duration drain_grace = std::chrono::seconds(2);

/// Octets of an idempotency key (claim_key).
constexpr std::size_t max_key = 256;

bool expects_continue(const request_head& head)
{
  return head.version() >= 11 &&
         boost::beast::iequals(head[http::field::expect], "100-continue");
}

boost::beast::string_view key_name()
{
  return {key_field.data(), key_field.size()};
}

bool has_valid_key(const request_head& head)
{
  const auto size = head[key_name()].size();
  return head.count(key_name()) == 1 && size >= 1 && size <= max_key;
}

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
    read_caller();
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

/// The parser keeps what it has read of a head, so that the buffer alone does
/// not tell.
bool http_session::head_started() const
{
  return !in_.empty() || (exchange_ && exchange_->request.get().got_some());
}

std::size_t http_session::buffered_from_caller() const
{
  return in_.size();
}

void http_session::act(session_action action)
{
  actions_.push_back(std::move(action));
}

void http_session::count(request_event event)
{
  act(count_event{event});
}

void http_session::on(caller_bytes& value)
{
  if (caller_finished_)
    return;
  if (in_.empty())
    in_ = std::move(value.bytes);
  else
    in_ += value.bytes;
}

void http_session::on(caller_finished&)
{
  caller_finished_ = true;
}

void http_session::on(caller_gone&)
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
    ask_claim();
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
    return end_stored(std::move(value.answer), request_event::replayed);
  refuse(409, request_event::refused_claim_in_progress, options_.retry_after);
}

void http_session::on(claim_recorded& value)
{
  if (phase_ != phase::recording)
    return;
  if (!value.stored)
    count(request_event::answer_not_recorded);
  end_stored(std::move(exchange_->stored_answer), request_event::completed);
}

void http_session::on(timer_expired&)
{
  timer_.reset();
  if (exchange_ && exchange_->claim_retry && *exchange_->claim_retry <= now_)
    ask_claim();
  if (exchange_ && exchange_->deadline && *exchange_->deadline <= now_)
    on_deadline();
  if (phase_ == phase::reading_head && drain_close_ && *drain_close_ <= now_)
    finish_session();
}

/// A caller who has had an answer knows that an idle connection may end; one
/// who has just connected is about to send a request.
void http_session::on(drain_started&)
{
  draining_ = true;
  if (phase_ != phase::reading_head)
    return;
  if (served_ && !head_started())
    finish_session();
  else
    drain_close_ = now_ + drain_grace;
}

void http_session::read_caller()
{
  bool progress = true;
  while (progress)
    switch (phase_)
    {
    case phase::reading_head:
      progress = read_head();
      break;
    case phase::reading_body:
      progress = read_claimed_body();
      break;
    case phase::exchanging:
      progress = relay_body();
      break;
    default:
      progress = false;
    }
}

/// True when a head ended and the bytes behind it may be read.
bool http_session::read_head()
{
  if (!exchange_)
    exchange_.emplace(options_.max_head);
  auto& request = exchange_->request;
  // RFC 9112 section 2.2: an empty line before a request is ignored.
  while (!request.get().got_some() && in_.compare(0, 2, "\r\n") == 0)
    in_.erase(0, 2);
  if (in_ == "\r" && !request.get().got_some() && !caller_finished_)
    return false;
  in_.erase(0, request.read_head(in_));
  switch (request.state())
  {
  case reading::incomplete:
    if (caller_finished_)
      finish_session();
    return false;
  case reading::too_large:
    refuse(431, request_event::refused_malformed);
    return false;
  case reading::malformed:
    refuse(400, request_event::refused_malformed);
    return false;
  default:
    start_request();
    return true;
  }
}

void http_session::start_request()
{
  auto& exchange = *exchange_;
  const auto& head = exchange.request.head();
  budget_.on_request();
  exchange.started = true;
  exchange.idempotent = is_idempotent(head);
  exchange.keyed = !exchange.idempotent && head.count(key_name()) != 0;
  exchange.slot_deadline = now_ + options_.queue_deadline;
  if (const auto status = refused_status(exchange.request))
    return refuse(*status, request_event::refused_malformed);
  if (const auto limit = deadline_of(head))
  {
    exchange.deadline = now_ + *limit;
    exchange.slot_deadline = std::min(exchange.slot_deadline, now_ + *limit);
  }
  if (exchange.deadline && *exchange.deadline <= now_)
    return refuse(503, request_event::refused_queue_deadline,
                  options_.retry_after);
  if (exchange.keyed)
    return start_claimed_request();
  ask_slot();
}

void http_session::start_claimed_request()
{
  auto& request = exchange_->request;
  if (!has_valid_key(request.head()))
    return refuse(400, request_event::refused_malformed);
  const auto length = request.get().content_length();
  if (length && *length > options_.max_claimed_body)
    return refuse(413, request_event::refused_body_too_large);
  request.keep_body(options_.max_claimed_body);
  phase_ = phase::reading_body;
  send_continue();
}

bool http_session::read_claimed_body()
{
  auto& request = exchange_->request;
  in_.erase(0, request.read_body(in_));
  if (request.body().overflow)
    refuse(413, request_event::refused_body_too_large);
  else if (request.state() == reading::malformed)
    refuse(400, request_event::refused_malformed);
  else if (request.state() == reading::complete)
    ask_slot();
  else if (caller_finished_)
    abandon();
  return false;
}

/// Sends the body of a request without a claim on as it arrives.
bool http_session::relay_body()
{
  auto& exchange = *exchange_;
  if (exchange.request_complete())
    return false;
  const auto used = exchange.request.read_body(in_);
  if (used > 0)
  {
    exchange.body_sent = true;
    send_upstream(in_.substr(0, used));
    in_.erase(0, used);
  }
  if (exchange.request.state() == reading::malformed)
  {
    if (exchange.relayed)
      abandon();
    else
      refuse(400, request_event::refused_malformed);
  }
  else if (caller_finished_ && !exchange.request_complete())
    abandon();
  return false;
}

void http_session::ask_slot()
{
  exchange_->slot_requested = true;
  phase_ = phase::waiting_slot;
  act(request_slot{exchange_->slot_deadline});
}

void http_session::ask_claim()
{
  const auto& request = exchange_->request;
  exchange_->claim_retry.reset();
  exchange_->claim_requested = true;
  ++exchange_->claim_attempts;
  phase_ = phase::waiting_claim;
  act(request_claim{std::string(request.head()[key_name()]),
                    digest_of(request.head(), request.body().bytes)});
}

void http_session::retry_claim()
{
  if (exchange_->claim_attempts < max_claim_attempts)
    exchange_->claim_retry = now_ + claim_retry_delay;
  else
    refuse(503, request_event::refused_claim_unavailable, options_.retry_after);
}

void http_session::connect()
{
  TOUCANMILL_INVARIANT(upstream_ == connection::none,
                       "an upstream connection outlived its request");
  phase_ = phase::connecting;
  upstream_ = connection::connecting;
  act(connect_upstream{});
}

/// The agent answers `Expect: 100-continue` itself once it wants the body.
void http_session::send_continue()
{
  if (expects_continue(exchange_->request.head()) && in_.empty() &&
      !exchange_->request_complete())
    act(send_to_caller{"HTTP/1.1 100 Continue\r\n\r\n"});
}

void http_session::limit_pipelining()
{
  if (phase_ != phase::closed && exchange_ && exchange_->request_complete() &&
      in_.size() > max_pipelined)
    abandon();
}

} // namespace toucanmill::detail
