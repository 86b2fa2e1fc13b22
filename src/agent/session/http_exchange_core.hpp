#ifndef TOUCANMILL_SRC_AGENT_SESSION_HTTP_EXCHANGE_CORE_HPP
#define TOUCANMILL_SRC_AGENT_SESSION_HTTP_EXCHANGE_CORE_HPP

#include <optional>
#include <string>

#include <toucanmill/base/time.hpp>

#include "http_message_core.hpp"

namespace toucanmill::detail
{

/// State of one request and its response.
struct http_exchange
{
  explicit http_exchange(std::size_t max_head) : request(max_head) {}

  request_reader request;
  std::optional<response_reader> response;

  bool started = false;        ///< the request head is complete
  bool keyed = false;          ///< has an idempotency key, so needs a claim
  bool idempotent = false;     ///< may be sent twice
  bool slot_requested = false; ///< holds a slot or is queued for one
  bool claim_requested = false;
  bool claim_granted = false;
  bool sent = false; ///< the upstream may have received request bytes

  /// The upstream may have received body bytes. They are not kept for a retry.
  bool body_sent = false;

  bool response_started = false; ///< the upstream sent response bytes
  bool buffers_response = false; ///< relay only after it was recorded
  bool relayed = false; ///< bytes of the final response were sent to the caller
  bool retried = false;
  bool has_pending_reply = false; ///< to a cancelled step; may arrive late
  bool closes_connection = false; ///< of the caller, after the response
  bool ended = false;

  /// Deadline for the first byte of the final response.
  std::optional<time_point> deadline;

  time_point slot_deadline;
  unsigned claim_attempts = 0;
  std::optional<time_point> claim_retry;

  std::string unparsed_response; ///< received from the upstream
  std::string buffered_response; ///< in the framing of the upstream
  std::string stored_answer;     ///< as recorded with the claim

  bool request_complete() const
  {
    return request.state() == parse_state::complete;
  }
  bool is_http_1_1() const
  {
    return request.head().version() >= 11;
  }
};

} // namespace toucanmill::detail

#endif
