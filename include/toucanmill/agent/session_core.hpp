#ifndef TOUCANMILL_AGENT_SESSION_CORE_HPP
#define TOUCANMILL_AGENT_SESSION_CORE_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <toucanmill/base/ids.hpp>
#include <toucanmill/base/time.hpp>

namespace toucanmill
{

/// XXH3 128 bit of method, target and body of a request.
using request_digest = std::array<std::uint8_t, 16>;

/// What control says of a claim.
enum class claim_status : std::uint8_t
{
  granted,           ///< this claim may run the request
  completed,         ///< it ran; the stored answer comes with it
  in_progress,       ///< another claim runs it or ran it without a recorded end
  different_request, ///< the key belongs to another request
  unavailable,       ///< no decision; resend the same claim
};

// Inputs of a session.
struct caller_bytes
{
  std::string bytes;
};
struct caller_finished
{
}; ///< FIN from the caller
struct caller_gone
{
}; ///< reset, silent, or closed by the stack
struct upstream_connected
{
};
struct upstream_refused
{
}; ///< no connection: no byte was sent
struct upstream_bytes
{
  std::string bytes;
};
struct upstream_finished
{
}; ///< FIN from the upstream
struct upstream_gone
{
}; ///< reset or error after the connection stood
struct slot_granted
{
};
struct slot_refused
{
  duration retry_after;
};
struct claim_decided
{
  claim_status status;
  std::string answer;
};
struct claim_recorded
{
  bool stored;
}; ///< answer durable, or given up
struct timer_expired
{
};
struct drain_started
{
}; ///< finish the current request, then close

using session_input =
    std::variant<caller_bytes, caller_finished, caller_gone, upstream_connected,
                 upstream_refused, upstream_bytes, upstream_finished,
                 upstream_gone, slot_granted, slot_refused, claim_decided,
                 claim_recorded, timer_expired, drain_started>;

// Actions of a session, to be carried out in order.
struct send_to_caller
{
  std::string bytes;
};
struct finish_caller
{
}; ///< send what is queued, then FIN
struct reset_caller
{
}; ///< RST, so that a truncated answer shows
struct connect_upstream
{
};
struct send_to_upstream
{
  std::string bytes;
};
struct finish_upstream
{
}; ///< FIN towards the upstream
struct close_upstream
{
}; ///< drop the connection; also cancels a connect
struct request_slot
{
  time_point deadline;
};
struct release_slot
{
}; ///< gives back a slot or leaves the queue
/// Needs a new claim id each time, except after `unavailable`: then it repeats
/// the same claim.
struct request_claim
{
  std::string key;
  request_digest digest;
};
struct record_answer
{
  std::string answer;
};
struct release_claim
{
}; ///< certainly no byte was sent
struct set_timer
{
  time_point at;
}; ///< replaces the earlier timer
struct cancel_timer
{
};

/// Reason counted for a request that did not end in a complete answer, and for
/// each retry.
enum class request_event : std::uint8_t
{
  completed,
  refused_queue_full,
  refused_queue_deadline,
  refused_body_too_large,
  refused_malformed,
  refused_upstream_unreachable,
  refused_claim_unavailable,
  refused_claim_in_progress,
  refused_claim_different,
  refused_draining,
  replayed,
  unknown_upstream_gone,
  unknown_deadline,
  truncated_answer,
  unexpected_upstream_bytes,
  cancelled,
  retried_idempotent,
  retry_budget_empty,
  answer_not_recorded,
};

/// Number of values of request_event.
inline constexpr std::size_t request_event_count = 19;

const char* to_string(request_event event);

struct count_event
{
  request_event event;
};

using session_action =
    std::variant<send_to_caller, finish_caller, reset_caller, connect_upstream,
                 send_to_upstream, finish_upstream, close_upstream,
                 request_slot, release_slot, request_claim, record_answer,
                 release_claim, set_timer, cancel_timer, count_event>;

/// Decisions of one flow between a caller and an upstream. The runtime starts a
/// session with empty caller_bytes, so that a stream session connects before
/// the caller speaks. Each connect_upstream opens a new connection; inputs of a
/// connection that close_upstream dropped must not be passed on.
class session_core
{
public:
  virtual ~session_core() = default;

  virtual std::vector<session_action> handle(session_input input,
                                             time_point now) = 0;

  /// True while a request or its answer is under way; a graceful stop waits
  /// for it.
  virtual bool busy() const = 0;

  /// Octets of the caller that wait inside the session. The runtime opens the
  /// TCP window by what the session took beyond these, so that a caller cannot
  /// fill the memory.
  virtual std::size_t buffered_from_caller() const = 0;
};

/// Limits of the requests of one agent.
struct http_options
{
  std::size_t max_head = 16384;          ///< octets
  std::size_t max_claimed_body = 65536;  ///< octets
  std::size_t max_stored_answer = 65536; ///< octets
  duration queue_deadline = std::chrono::seconds(1);
  duration retry_after = std::chrono::seconds(1);
  double retry_ratio = 0.1; ///< retries for each request
};

/// Retry tokens that the sessions of one agent share.
class retry_budget
{
public:
  explicit retry_budget(double ratio) : ratio_(ratio) {}

  void on_request();
  bool take(); ///< false: budget is empty

private:
  double ratio_;
  double tokens_ = 1;
};

std::unique_ptr<session_core> make_stream_session();

/// The budget must outlive the session.
std::unique_ptr<session_core> make_http_session(http_options options,
                                                retry_budget& budget);

} // namespace toucanmill

#endif
