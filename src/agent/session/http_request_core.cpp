#include "http_session_core.hpp"

#include <algorithm>

#include <toucanmill/base/invariant.hpp>

namespace toucanmill::detail
{

namespace
{

/// Maximum octets of pipelined requests that are buffered.
constexpr std::size_t max_pipelined_size = 1048576;

/// Total number of attempts for a claim without a decision. The decision may
/// have been lost on its way.
constexpr unsigned max_claim_attempts = 3;

constexpr duration claim_retry_delay = std::chrono::milliseconds(100);

/// Maximum octets of an idempotency key, as for claim_key.
constexpr std::size_t max_key_size = 256;

bool expects_continue(const request_head& head)
{
  return head.version() >= 11 &&
         boost::beast::iequals(head[http::field::expect], "100-continue");
}

boost::beast::string_view key_field_name()
{
  return {key_field.data(), key_field.size()};
}

bool has_valid_key(const request_head& head)
{
  const auto size = head[key_field_name()].size();
  return head.count(key_field_name()) == 1 && size >= 1 && size <= max_key_size;
}

} // namespace

void http_session::process_caller_bytes()
{
  bool progress = true;
  while (progress)
    switch (phase_)
    {
    case phase::reading_head:
      progress = parse_request_head();
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

/// Returns true if a head is complete and the bytes after it can be parsed.
bool http_session::parse_request_head()
{
  if (!exchange_)
    exchange_.emplace(options_.max_head);
  auto& request = exchange_->request;
  // RFC 9112, section 2.2: empty lines before a request are ignored.
  while (!request.parser().got_some() && unparsed_.compare(0, 2, "\r\n") == 0)
    unparsed_.erase(0, 2);
  if (unparsed_ == "\r" && !request.parser().got_some() && !caller_finished_)
    return false;
  unparsed_.erase(0, request.read_head(unparsed_));
  switch (request.state())
  {
  case parse_state::incomplete:
    if (caller_finished_)
      finish_session();
    return false;
  case parse_state::too_large:
    refuse(431, request_event::refused_malformed);
    return false;
  case parse_state::malformed:
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
  exchange.keyed = !exchange.idempotent && head.count(key_field_name()) != 0;
  exchange.slot_deadline = now_ + options_.queue_deadline;
  if (const auto status = refused_status(exchange.request))
    return refuse(*status, request_event::refused_malformed);
  if (draining_ && now_ >= drain_refuse_)
    return refuse(503, request_event::refused_draining, options_.retry_after);
  apply_deadline();
  if (exchange.deadline && *exchange.deadline <= now_)
    return refuse(503, request_event::refused_queue_deadline,
                  options_.retry_after);
  if (exchange.keyed)
    return start_claimed_request();
  wait_for_slot();
}

/// The slot must be granted before the deadline of the request.
void http_session::apply_deadline()
{
  auto& exchange = *exchange_;
  if (const auto limit = deadline_of(exchange.request.head()))
  {
    exchange.deadline = now_ + *limit;
    exchange.slot_deadline = std::min(exchange.slot_deadline, now_ + *limit);
  }
}

void http_session::start_claimed_request()
{
  auto& request = exchange_->request;
  if (!has_valid_key(request.head()))
    return refuse(400, request_event::refused_malformed);
  const auto length = request.parser().content_length();
  if (length && *length > options_.max_claimed_body)
    return refuse(413, request_event::refused_body_too_large);
  request.keep_body(options_.max_claimed_body);
  phase_ = phase::reading_body;
  send_continue();
}

bool http_session::read_claimed_body()
{
  auto& request = exchange_->request;
  unparsed_.erase(0, request.read_body(unparsed_));
  if (request.body().overflow)
    refuse(413, request_event::refused_body_too_large);
  else if (request.state() == parse_state::malformed)
    refuse(400, request_event::refused_malformed);
  else if (request.state() == parse_state::complete)
    wait_for_slot();
  else if (caller_finished_)
    abort_session();
  return false;
}

/// Streams the body of a request without a claim to the upstream.
bool http_session::relay_body()
{
  auto& exchange = *exchange_;
  if (exchange.request_complete())
    return false;
  const auto used = exchange.request.read_body(unparsed_);
  if (used > 0)
  {
    exchange.body_sent = true;
    send_upstream(unparsed_.substr(0, used));
    unparsed_.erase(0, used);
  }
  if (exchange.request.state() == parse_state::malformed)
  {
    if (exchange.relayed)
      abort_session();
    else
      refuse(400, request_event::refused_malformed);
  }
  else if (caller_finished_ && !exchange.request_complete())
    abort_session();
  return false;
}

void http_session::wait_for_slot()
{
  exchange_->slot_requested = true;
  phase_ = phase::waiting_slot;
  emit(request_slot{exchange_->slot_deadline});
}

void http_session::send_claim()
{
  const auto& request = exchange_->request;
  exchange_->claim_retry.reset();
  exchange_->claim_requested = true;
  ++exchange_->claim_attempts;
  phase_ = phase::waiting_claim;
  emit(request_claim{std::string(request.head()[key_field_name()]),
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
  TOUCANMILL_INVARIANT(upstream_ == upstream_state::none,
                       "an upstream connection outlived its request");
  phase_ = phase::connecting;
  upstream_ = upstream_state::connecting;
  emit(connect_upstream{});
}

/// The agent answers `Expect: 100-continue` itself when it needs the body.
void http_session::send_continue()
{
  if (expects_continue(exchange_->request.head()) && unparsed_.empty() &&
      !exchange_->request_complete())
    emit(send_to_caller{"HTTP/1.1 100 Continue\r\n\r\n"});
}

void http_session::limit_pipelining()
{
  if (phase_ != phase::closed && exchange_ && exchange_->request_complete() &&
      unparsed_.size() > max_pipelined_size)
    abort_session();
}

} // namespace toucanmill::detail
