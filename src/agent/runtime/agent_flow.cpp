#include "agent_flow.hpp"

#include <utility>

#include <toucanmill/base/clock.hpp>

#include "agent_runtime.hpp"

namespace toucanmill::detail
{

namespace
{

/// No more octets are read from one side while more than this are buffered for
/// the other.
constexpr std::size_t max_buffered_octets = 262144;

} // namespace

agent_flow::agent_flow(agent_runtime& runtime, session_id id,
                       tcp_connection_ptr connection,
                       std::unique_ptr<session_core> session)
    : runtime_(runtime), id_(id), connection_(std::move(connection)),
      session_(std::move(session)), timer_(runtime.context())
{
}

void agent_flow::on_caller_event(const tcp_event& event)
{
  if (const auto* received = std::get_if<tcp_received>(&event.what))
  {
    unconsumed_octets_ += received->bytes.size();
    handle(caller_bytes{received->bytes});
  }
  else if (std::holds_alternative<tcp_peer_finished>(event.what))
    handle(caller_finished{});
  else if (std::holds_alternative<tcp_writable>(event.what))
  {
    flush_to_caller();
    update();
  }
  else if (const auto* closed = std::get_if<tcp_closed>(&event.what))
    on_closed(closed->reason);
}

void agent_flow::on_closed(tcp_end reason)
{
  if (reason == tcp_end::timed_out)
    runtime_.count(&agent_counters::silent_flows);
  else if (reason == tcp_end::reset_by_peer)
    runtime_.count(&agent_counters::reset_by_caller);
  closed_ = true;
  to_caller_.clear();
  handle(caller_disconnected{});
  timer_.cancel();
  linger_.reset();
  if (upstream_)
    upstream_->close();
  // Normally the session has released its slot already.
  runtime_.slots().release(id_);
}

void agent_flow::handle(session_input input)
{
  pending_inputs_.push_back(std::move(input));
  if (std::exchange(handling_, true))
    return;
  while (!pending_inputs_.empty())
  {
    auto next = std::move(pending_inputs_.front());
    pending_inputs_.pop_front();
    for (auto& action : session_->handle(std::move(next), monotonic_now()))
      std::visit(
          [this](auto& value)
          {
            execute(value);
          },
          action);
  }
  handling_ = false;
  update();
}

void agent_flow::on_upstream_input(session_input input)
{
  handle(std::move(input));
}

void agent_flow::on_upstream_sent()
{
  update();
}

bool agent_flow::accepts_upstream_bytes() const
{
  return to_caller_.size() <= max_buffered_octets;
}

void agent_flow::update()
{
  open_caller_window();
  if (upstream_)
    upstream_->read();
  if (finished_ && !session_->busy() && !linger_ && !closed_)
    start_linger();
  update_busy_state();
}

void agent_flow::open_caller_window()
{
  const auto buffered =
      session_->buffered_from_caller() + (upstream_ ? upstream_->queued() : 0);
  if (buffered <= max_buffered_octets && unconsumed_octets_ > 0)
    connection_->consume(std::exchange(unconsumed_octets_, 0));
}

/// A session is busy until the caller has acknowledged the whole response.
void agent_flow::update_busy_state()
{
  const bool busy = !closed_ && (session_->busy() || to_caller_.size() > 0 ||
                                 connection_->has_unacknowledged());
  if (busy != std::exchange(busy_, busy))
    runtime_.count_busy(busy);
}

/// Resets a caller that does not close its side in time. Otherwise it would
/// keep the bucket held indefinitely.
void agent_flow::start_linger()
{
  linger_.emplace(runtime_.context(), runtime_.options().linger);
  linger_->async_wait(
      [self = shared_from_this()](std::error_code error)
      {
        if (!error)
          self->connection_->reset();
      });
}

void agent_flow::flush_to_caller()
{
  to_caller_.flush(*connection_);
  if (finish_requested_ && to_caller_.size() == 0 &&
      !std::exchange(finished_, true))
    connection_->finish();
}

} // namespace toucanmill::detail
