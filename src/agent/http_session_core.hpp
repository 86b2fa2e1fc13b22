#ifndef TOUCANMILL_AGENT_HTTP_SESSION_CORE_HPP
#define TOUCANMILL_AGENT_HTTP_SESSION_CORE_HPP

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <toucanmill/agent/session_core.hpp>

#include "http_exchange_core.hpp"
#include "http_head_core.hpp"

namespace toucanmill::detail
{

/// Relays HTTP/1.1 requests one at a time. Each request has an upstream
/// connection of its own, because a shared one could carry late bytes of one
/// answer into the next.
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
    reading_body, ///< of a request that needs a claim
    waiting_slot,
    waiting_claim,
    connecting,
    exchanging,
    recording,
    closed,
  };

  enum class connection
  {
    none,
    connecting,
    open,
  };

  // Inputs (http_session_core.cpp, http_upstream_core.cpp).
  void on(caller_bytes& value);
  void on(caller_finished& value);
  void on(caller_gone& value);
  void on(upstream_connected& value);
  void on(upstream_refused& value);
  void on(upstream_bytes& value);
  void on(upstream_finished& value);
  void on(upstream_gone& value);
  void on(slot_granted& value);
  void on(slot_refused& value);
  void on(claim_decided& value);
  void on(claim_recorded& value);
  void on(timer_expired& value);
  void on(drain_started& value);

  // Request (http_session_core.cpp).
  void read_caller();
  bool head_started() const;
  bool read_head();
  bool read_claimed_body();
  bool relay_body();
  void start_request();
  void start_claimed_request();
  void ask_slot();
  void ask_claim();
  void retry_claim();
  void connect();
  void send_continue();
  void limit_pipelining();

  // Upstream and answer (http_upstream_core.cpp).
  void send_request();
  void send_upstream(std::string bytes);
  void restart_answer();
  void read_answer();
  bool read_answer_head();
  void relay_interim_answer();
  void start_answer();
  void read_answer_body();
  void relay_answer(std::string bytes);
  void give_up_recording();
  void finish_answer();
  std::string make_stored_answer() const;
  void answer_failed();
  bool may_retry();
  void drop_upstream();

  // End of a request or of the session (http_end_core.cpp).
  void refuse(unsigned status, request_event event,
              std::optional<duration> retry_after = std::nullopt);
  void end_unknown(request_event event);
  void end_stored(std::string answer, request_event event);
  void end_exchange();
  void abandon();
  void release_resources();
  void release_slot_if_requested();
  void discard_body();
  bool must_close() const;
  void finish_session();
  void on_deadline();
  request_event expired_event() const;
  std::optional<time_point> next_timer() const;
  void update_timer();

  void act(session_action action);
  void count(request_event event);

  http_options options_;
  retry_budget& budget_;
  phase phase_ = phase::reading_head;
  connection upstream_ = connection::none;
  time_point now_;
  std::string in_; ///< caller bytes not parsed yet
  std::optional<http_exchange> exchange_;
  bool caller_finished_ = false;
  bool draining_ = false;
  bool served_ = false; ///< answered at least one request
  std::optional<time_point> drain_close_;
  std::optional<time_point> timer_;
  std::vector<session_action> actions_;
};

} // namespace toucanmill::detail

#endif
