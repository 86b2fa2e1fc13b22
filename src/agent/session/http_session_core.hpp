#ifndef TOUCANMILL_SRC_AGENT_SESSION_HTTP_SESSION_CORE_HPP
#define TOUCANMILL_SRC_AGENT_SESSION_HTTP_SESSION_CORE_HPP

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <toucanmill/agent/session_core.hpp>

#include "http_exchange_core.hpp"
#include "http_head_core.hpp"

namespace toucanmill::detail
{

/// Relays HTTP/1.1 requests one at a time. Each request uses its own upstream
/// connection, because on a shared one late bytes of a response could end up in
/// the next.
class http_session final : public session_core
{
public:
  http_session(http_options options, retry_budget& budget);

  std::vector<session_action> handle(session_input input,
                                     time_point now) override;
  bool busy() const override;
  std::size_t buffered_from_caller() const override;

private:
  enum class phase
  {
    reading_head,
    reading_body, ///< of a request with a claim
    waiting_slot,
    waiting_claim,
    connecting,
    exchanging,
    recording, ///< waits until the answer of the claim is stored
    closed,
  };

  enum class upstream_state
  {
    none,
    connecting,
    open,
  };

  // Inputs (http_session_core.cpp, http_upstream_core.cpp).
  void on(caller_bytes& value);
  void on(caller_finished& value);
  void on(caller_disconnected& value);
  void on(upstream_connected& value);
  void on(upstream_refused& value);
  void on(upstream_bytes& value);
  void on(upstream_finished& value);
  void on(upstream_disconnected& value);
  void on(slot_granted& value);
  void on(slot_refused& value);
  void on(claim_decided& value);
  void on(claim_recorded& value);
  void on(timer_expired& value);
  void on(drain_started& value);

  bool head_started() const;

  // Request (http_request_core.cpp).
  void process_caller_bytes();
  bool parse_request_head();
  bool read_claimed_body();
  bool relay_body();
  void start_request();
  void apply_deadline();
  void start_claimed_request();
  void wait_for_slot();
  void send_claim();
  void retry_claim();
  void connect();
  void send_continue();
  void limit_pipelining();

  // Upstream and response (http_upstream_core.cpp).
  void send_request();
  void send_upstream(std::string bytes);
  void start_response_parser();
  void parse_response();
  bool parse_response_head();
  void relay_interim_response();
  void start_response();
  void parse_response_body();
  void relay_to_caller(std::string bytes);
  void stop_buffering();
  void finish_response();
  std::string make_stored_answer() const;
  void on_response_failed();
  bool may_retry();
  void drop_upstream();

  // End of a request or of the session (http_end_core.cpp).
  void refuse(unsigned status, request_event event,
              std::optional<duration> retry_after = std::nullopt);
  void end_with_unknown_outcome(request_event event);
  void end_with_stored_answer(std::string answer, request_event event);
  void end_exchange();
  void abort_session();
  void release_resources();
  void release_slot_if_requested();
  void discard_body();
  bool must_close() const;
  void finish_session();
  void on_deadline();
  request_event expired_event() const;
  std::optional<time_point> next_timer() const;
  void update_timer();

  void emit(session_action action);
  void count(request_event event);

  http_options options_;
  retry_budget& budget_;
  phase phase_ = phase::reading_head;
  upstream_state upstream_ = upstream_state::none;
  time_point now_;
  std::string unparsed_; ///< bytes from the caller
  std::optional<http_exchange> exchange_;
  bool caller_finished_ = false;
  bool draining_ = false;
  time_point drain_refuse_; ///< if draining: new requests are refused from then
  time_point drain_close_;  ///< if draining: an idle connection is closed then
  std::optional<time_point> timer_;
  std::vector<session_action> actions_;
};

} // namespace toucanmill::detail

#endif
