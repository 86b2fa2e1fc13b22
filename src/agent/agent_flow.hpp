#ifndef TOUCANMILL_SRC_AGENT_AGENT_FLOW_HPP
#define TOUCANMILL_SRC_AGENT_AGENT_FLOW_HPP

#include <asio.hpp>
#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include <toucanmill/agent/admission_core.hpp>
#include <toucanmill/agent/session_core.hpp>
#include <toucanmill/agent/tcp_stack.hpp>

#include "upstream_link.hpp"

namespace toucanmill::detail
{

class agent_runtime;

/// Octets for the caller that TCP has not accepted yet.
class send_queue
{
public:
  void push(std::string bytes);

  /// Hands as much as possible to the connection.
  void flush(tcp_connection& connection);

  void clear();

  std::size_t size() const
  {
    return bytes_.size() - sent_;
  }

private:
  std::string bytes_;
  std::size_t sent_ = 0;
};

/// One flow: carries out the actions of its session.
class agent_flow final : public upstream_owner,
                         public std::enable_shared_from_this<agent_flow>
{
public:
  agent_flow(agent_runtime& runtime, session_id id,
             tcp_connection_ptr connection,
             std::unique_ptr<session_core> session);

  /// An event of the caller's connection; after tcp_closed the flow is over.
  void on_caller(const tcp_event& event);

  void handle(session_input input);

  void on_upstream(session_input input) override;
  void on_upstream_sent() override;
  bool wants_upstream_bytes() const override;

  session_id id() const
  {
    return id_;
  }

  /// Counted as interrupted when the agent stops now.
  bool busy() const
  {
    return busy_;
  }

  void reset()
  {
    connection_->reset();
  }

private:
  void act(send_to_caller& action);
  void act(finish_caller& action);
  void act(reset_caller& action);
  void act(connect_upstream& action);
  void act(send_to_upstream& action);
  void act(finish_upstream& action);
  void act(close_upstream& action);
  void act(request_slot& action);
  void act(release_slot& action);
  void act(request_claim& action);
  void act(record_answer& action);
  void act(release_claim& action);
  void act(set_timer& action);
  void act(cancel_timer& action);
  void act(count_event& action);

  void flush_to_caller();
  void open_caller_window();
  void update();
  void update_busy();
  void start_linger();
  void on_closed(tcp_end reason);

  agent_runtime& runtime_;
  session_id id_;
  tcp_connection_ptr connection_;
  std::unique_ptr<session_core> session_;
  std::shared_ptr<upstream_link> upstream_;
  std::deque<session_input> inbox_;
  bool handling_ = false;
  bool busy_ = false;
  bool closed_ = false;

  send_queue to_caller_;
  bool finish_wanted_ = false; ///< FIN once to_caller_ is empty
  bool finished_ = false;
  std::size_t window_owed_ = 0; ///< received, not yet given back

  asio::steady_timer timer_;
  std::optional<asio::steady_timer> linger_;

  std::optional<claim_id> claim_;
  std::string claim_key_;
};

} // namespace toucanmill::detail

#endif
