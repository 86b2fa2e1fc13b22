#ifndef TOUCANMILL_SRC_AGENT_SESSION_SESSION_DRIVER_TEST_HPP
#define TOUCANMILL_SRC_AGENT_SESSION_SESSION_DRIVER_TEST_HPP

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <toucanmill/agent/session_core.hpp>

namespace toucanmill
{

enum class caller_end
{
  open,
  finished,
  reset,
};

/// Runs a session and records its actions.
struct session_driver
{
  explicit session_driver(std::unique_ptr<session_core> value)
      : session(std::move(value))
  {
  }

  std::vector<session_action> handle(session_input input)
  {
    if (std::holds_alternative<slot_refused>(input))
      --slots;
    if (std::holds_alternative<upstream_refused>(input) ||
        std::holds_alternative<upstream_disconnected>(input))
      open_upstreams = 0;
    auto actions = session->handle(std::move(input), now);
    for (const auto& action : actions)
      std::visit(*this, action);
    return actions;
  }

  /// Passes the inputs in order. A timer_expired first sets the time to that of
  /// the session's timer.
  void handle_all(const std::vector<session_input>& inputs)
  {
    for (const auto& input : inputs)
    {
      if (std::holds_alternative<timer_expired>(input) && timer)
        now = *timer;
      handle(input);
    }
  }

  void operator()(const send_to_caller& value)
  {
    to_caller += value.bytes;
  }
  void operator()(const send_to_upstream& value)
  {
    to_upstream += value.bytes;
  }
  void operator()(const finish_caller&)
  {
    end = caller_end::finished;
  }
  void operator()(const reset_caller&)
  {
    end = caller_end::reset;
  }
  void operator()(const connect_upstream&)
  {
    ++connects;
    open_upstreams = 1;
  }
  void operator()(const close_upstream&)
  {
    open_upstreams = 0;
  }
  void operator()(const request_slot&)
  {
    ++slots;
  }
  void operator()(const release_slot&)
  {
    --slots;
  }
  void operator()(const request_claim& value)
  {
    claims.push_back(value);
  }
  void operator()(const release_claim&)
  {
    ++released_claims;
  }
  void operator()(const record_answer& value)
  {
    recorded.push_back(value.answer);
  }
  void operator()(const set_timer& value)
  {
    timer = value.at;
  }
  void operator()(const cancel_timer&)
  {
    timer.reset();
  }
  void operator()(const count_event& value)
  {
    events.push_back(value.event);
  }
  void operator()(const finish_upstream&)
  {
    upstream_half_closed = true;
  }

  std::unique_ptr<session_core> session;
  time_point now;
  std::string to_caller;
  std::string to_upstream;
  caller_end end = caller_end::open;
  std::vector<request_claim> claims;
  std::vector<std::string> recorded;
  std::vector<request_event> events;
  std::optional<time_point> timer;
  int connects = 0;
  int open_upstreams = 0;
  int slots = 0;
  int released_claims = 0;
  bool upstream_half_closed = false;
};

} // namespace toucanmill

#endif
