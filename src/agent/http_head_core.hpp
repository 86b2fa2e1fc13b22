#ifndef TOUCANMILL_AGENT_HTTP_HEAD_CORE_HPP
#define TOUCANMILL_AGENT_HTTP_HEAD_CORE_HPP

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

/// What the agent says of a request that it did not complete.
enum class request_outcome : std::uint8_t
{
  not_run, ///< no byte of it can have reached the upstream
  unknown,
};

/// Status of a final answer that the agent itself gives.
struct refusal
{
  unsigned status = 503;
  request_outcome outcome = request_outcome::not_run;
  std::optional<duration> retry_after;
  bool close = false; ///< the connection ends after it
};

/// Complete answer with an empty body.
std::string to_bytes(const refusal& value);

/// Status with which a head is refused, or none if it is acceptable.
std::optional<unsigned> refused_status(const request_reader& request);

/// Running the request twice has the effect of running it once.
bool is_idempotent(const request_head& head);

/// Time limit that the request carries; a malformed one is refused.
std::optional<duration> deadline_of(const request_head& head);

/// Digest of method, target and body.
request_digest digest_of(const request_head& head, std::string_view body);

/// Head towards the upstream: without hop-by-hop fields, with the remaining
/// time. A body length replaces the framing of the caller.
std::string upstream_head(const request_head& head,
                          std::optional<duration> remaining,
                          std::optional<std::size_t> body_size);

/// Head towards the caller, without hop-by-hop fields. A body length replaces
/// the framing of the upstream.
std::string caller_head(const answer_head& head,
                        std::optional<std::size_t> body_size);

/// The answer with a field that announces the end of the connection.
std::string with_connection_close(std::string answer);

} // namespace toucanmill::detail

#endif
