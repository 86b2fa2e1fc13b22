#ifndef TOUCANMILL_SRC_AGENT_RUNTIME_AGENT_FLOW_HPP
#define TOUCANMILL_SRC_AGENT_RUNTIME_AGENT_FLOW_HPP

#include <asio.hpp>
#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include <toucanmill/agent/admission_core.hpp>
#include <toucanmill/agent/session_core.hpp>
#include <toucanmill/agent/tcp_stack.hpp>

#include "../tcp/send_queue.hpp"
#include "upstream_connection.hpp"

namespace toucanmill::detail
{

class agent_runtime;

/// One flow: passes inputs to its session and executes the actions.
class agent_flow final : public upstream_handler,
                         public std::enable_shared_from_this<agent_flow>
{
public:
  agent_flow(agent_runtime& runtime, session_id id,
             tcp_connection_ptr connection,
             std::unique_ptr<session_core> session);

  /// Handles an event of the caller's connection. tcp_closed is the last one.
  void on_caller_event(const tcp_event& event);

  void handle(session_input input);

  void on_upstream_input(session_input input) override;
  void on_upstream_sent() override;
  bool accepts_upstream_bytes() const override;

  session_id id() const
  {
    return id_;
  }

  /// True while a request or unacknowledged octets would be lost by a reset.
  bool busy() const
  {
    return busy_;
  }

  void reset()
  {
    connection_->reset();
  }

private:
  // Actions of the session (agent_flow_actions.cpp).
  void execute(send_to_caller& action);
  void execute(finish_caller& action);
  void execute(reset_caller& action);
  void execute(connect_upstream& action);
  void execute(send_to_upstream& action);
  void execute(finish_upstream& action);
  void execute(close_upstream& action);
  void execute(request_slot& action);
  void execute(release_slot& action);
  void execute(request_claim& action);
  void execute(record_answer& action);
  void execute(release_claim& action);
  void execute(set_timer& action);
  void execute(cancel_timer& action);
  void execute(count_event& action);

  void flush_to_caller();
  void open_caller_window();
  void update();
  void update_busy_state();
  void start_linger();
  void on_closed(tcp_end reason);

  agent_runtime& runtime_;
  session_id id_;
  tcp_connection_ptr connection_;
  std::unique_ptr<session_core> session_;
  std::shared_ptr<upstream_connection> upstream_;
  std::deque<session_input> pending_inputs_;
  bool handling_ = false;
  bool busy_ = false;
  bool closed_ = false;

  send_queue to_caller_;
  bool finish_requested_ = false;     ///< send a FIN once to_caller_ is empty
  bool finished_ = false;             ///< FIN was sent
  std::size_t unconsumed_octets_ = 0; ///< received, window not reopened

  asio::steady_timer timer_;
  std::optional<asio::steady_timer> linger_;

  std::optional<claim_id> claim_;
  std::string claim_key_;
};

} // namespace toucanmill::detail

#endif
