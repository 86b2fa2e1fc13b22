#ifndef TOUCANMILL_SRC_AGENT_SESSION_HTTP_HEAD_CORE_HPP
#define TOUCANMILL_SRC_AGENT_SESSION_HTTP_HEAD_CORE_HPP

#include <optional>
#include <string>
#include <string_view>

#include <toucanmill/agent/session_core.hpp>

#include "http_message_core.hpp"

namespace toucanmill::detail
{

inline constexpr std::string_view deadline_field = "Toucanmill-Deadline-Ms";
inline constexpr std::string_view outcome_field = "Toucanmill-Outcome";
inline constexpr std::string_view key_field = "Idempotency-Key";

/// Outcome that the agent reports for a request it did not complete.
enum class request_outcome : std::uint8_t
{
  not_run, ///< no byte of the request reached the upstream
  unknown, ///< the upstream may have run the request
};

/// Error response that the agent generates itself.
struct refusal
{
  unsigned status = 503;
  request_outcome outcome = request_outcome::not_run;
  std::optional<duration> retry_after;
  bool close = false; ///< close the connection after it
};

/// Serializes the response, with an empty body.
std::string to_bytes(const refusal& value);

/// Status of the error response to an unacceptable request head, none if the
/// head is acceptable.
std::optional<unsigned> refused_status(const request_reader& request);

/// True for the idempotent methods of RFC 9110, section 9.2.2.
bool is_idempotent(const request_head& head);

/// Value of the deadline field; none if it is absent or malformed.
std::optional<duration> deadline_of(const request_head& head);

/// XXH3 128 bit of method, target and body.
request_digest digest_of(const request_head& head, std::string_view body);

/// Request head for the upstream, without hop-by-hop fields and with the
/// remaining time. A body size replaces the framing of the caller.
std::string make_upstream_head(const request_head& head,
                               std::optional<duration> remaining,
                               std::optional<std::size_t> body_size);

/// Response head for the caller, without hop-by-hop fields. A body size
/// replaces the framing of the upstream.
std::string make_caller_head(const response_head& head,
                             std::optional<std::size_t> body_size);

/// Adds `Connection: close` to a serialized response.
std::string add_connection_close(std::string response);

} // namespace toucanmill::detail

#endif
