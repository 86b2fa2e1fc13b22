#ifndef TOUCANMILL_AGENT_HTTP_EXCHANGE_CORE_HPP
#define TOUCANMILL_AGENT_HTTP_EXCHANGE_CORE_HPP

#include <optional>
#include <string>

#include <toucanmill/base/time.hpp>

#include "http_message_core.hpp"

namespace toucanmill::detail
{

/// State of one request and its answer.
struct http_exchange
{
  explicit http_exchange(std::size_t max_head) : request(max_head) {}

  request_reader request;
  std::optional<answer_reader> answer;

  bool started = false;        ///< the head is complete
  bool keyed = false;          ///< runs under a claim
  bool idempotent = false;     ///< may be sent twice
  bool slot_requested = false; ///< has a slot or waits for one
  bool claim_requested = false;
  bool claim_granted = false;
  bool sent = false;           ///< the upstream may have a byte of the request
  bool body_sent = false;      ///< ... and of its body, which is not kept
  bool answer_started = false; ///< the upstream sent a byte
  bool hold_answer = false;    ///< relayed only after it is recorded
  bool relayed = false;        ///< the caller has a byte of the final answer
  bool retried = false;
  bool late_input = false; ///< a reply to an abandoned step may still arrive
  bool closes = false;     ///< the answer ends the caller's connection
  bool ended = false;

  std::optional<time_point> deadline; ///< for the start of the final answer
  time_point slot_deadline;
  unsigned claim_attempts = 0;
  std::optional<time_point> claim_retry;

  std::string unread_answer; ///< upstream bytes not parsed yet
  std::string held_answer;   ///< as it would have been relayed
  std::string stored_answer; ///< as it is recorded

  bool request_complete() const
  {
    return request.state() == reading::complete;
  }
  bool is_http_1_1() const
  {
    return request.head().version() >= 11;
  }
};

} // namespace toucanmill::detail

#endif
