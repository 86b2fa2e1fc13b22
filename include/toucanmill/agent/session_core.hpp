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

/// Decision of control on a claim.
enum class claim_status : std::uint8_t
{
  granted,           ///< the holder of this claim may run the request
  completed,         ///< the request ran; the stored answer is attached
  in_progress,       ///< another claim was granted and not completed
  different_request, ///< the key was used for another request
  unavailable,       ///< no decision; repeat the same claim
};

// Inputs of a session.
struct caller_bytes
{
  std::string bytes;
};

/// FIN from the caller.
struct caller_finished
{
};

/// Connection reset, timed out or closed by the stack.
struct caller_disconnected
{
};
struct upstream_connected
{
};

/// Connect failed, so no byte was sent.
struct upstream_refused
{
};
struct upstream_bytes
{
  std::string bytes;
};

/// FIN from the upstream.
struct upstream_finished
{
};

/// Reset or error of an open connection.
struct upstream_disconnected
{
};
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

/// Reply to record_answer; `stored` is false if control did not confirm it.
struct claim_recorded
{
  bool stored;
};
struct timer_expired
{
};

/// Finish the current request, then close.
struct drain_started
{
};

using session_input =
    std::variant<caller_bytes, caller_finished, caller_disconnected,
                 upstream_connected, upstream_refused, upstream_bytes,
                 upstream_finished, upstream_disconnected, slot_granted,
                 slot_refused, claim_decided, claim_recorded, timer_expired,
                 drain_started>;

// Actions of a session, to be carried out in order.
struct send_to_caller
{
  std::string bytes;
};

/// FIN after the queued octets.
struct finish_caller
{
};

/// RST, so that the caller detects a truncated response.
struct reset_caller
{
};
struct connect_upstream
{
};
struct send_to_upstream
{
  std::string bytes;
};

/// FIN towards the upstream.
struct finish_upstream
{
};

/// Close the connection or cancel a pending connect.
struct close_upstream
{
};
struct request_slot
{
  time_point deadline;
};

/// Release the slot or leave the queue.
struct release_slot
{
};

/// Uses a new claim id unless it repeats a claim that was `unavailable`.
struct request_claim
{
  std::string key;
  request_digest digest;
};
struct record_answer
{
  std::string answer;
};

/// No byte of the request was sent.
struct release_claim
{
};

/// Replaces the previous timer.
struct set_timer
{
  time_point at;
};
struct cancel_timer
{
};

/// Counted outcomes of requests, retries, and irregularities of the upstream.
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

/// Decision core of one flow between a caller and an upstream. The runtime
/// starts a session with empty caller_bytes, so that a stream session connects
/// before the caller sends data. Each connect_upstream opens a new connection;
/// inputs from a connection that close_upstream closed must not be delivered.
class session_core
{
public:
  virtual ~session_core() = default;

  virtual std::vector<session_action> handle(session_input input,
                                             time_point now) = 0;

  /// True while a request is in progress; a graceful shutdown waits for it.
  virtual bool busy() const = 0;

  /// Octets from the caller that the session buffers. The runtime keeps the TCP
  /// receive window closed while too many are buffered, which bounds memory.
  virtual std::size_t buffered_from_caller() const = 0;
};

/// Limits for HTTP requests.
struct http_options
{
  std::size_t max_head = 16384;          ///< octets
  std::size_t max_claimed_body = 65536;  ///< octets
  std::size_t max_stored_answer = 65536; ///< octets
  duration queue_deadline = std::chrono::seconds(1);
  duration retry_after = std::chrono::seconds(1);
  double retry_ratio = 0.1; ///< retry tokens earned per request
};

/// Token bucket for retries, shared by the sessions of an agent.
class retry_budget
{
public:
  explicit retry_budget(double ratio) : ratio_(ratio) {}

  void on_request();

  /// Returns false if the budget is exhausted.
  bool take();

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
