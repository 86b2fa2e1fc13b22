#include <memory>
#include <vector>

#include "tcp_stack_state.hpp"

namespace toucanmill::detail
{

namespace
{

/// Interval of the check for closing flows; equals that of lwIP's slow timer.
constexpr u32_t closing_check_interval_ms = TCP_SLOW_INTERVAL;

u32_t to_ticks(duration value)
{
  const auto count =
      std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
  return static_cast<u32_t>(count / TCP_SLOW_INTERVAL);
}

} // namespace

void tcp_stack_state::schedule_closing_check()
{
  sys_timeout(closing_check_interval_ms, &tcp_stack_state::on_timer, this);
}

void tcp_stack_state::on_timer(void* argument)
{
  auto& self = *static_cast<tcp_stack_state*>(argument);
  self.check_closing_flows();
  self.schedule_closing_check();
}

/// lwIP neither reports the end of TIME_WAIT nor sends keepalives after its
/// FIN. This runs on the thread of lwIP's timers, so that it detects
/// TIME_WAIT well before lwIP frees the connection after 120 s.
void tcp_stack_state::check_closing_flows()
{
  std::vector<std::shared_ptr<connection_state>> expired;
  for (const auto& [flow, entry] : flows_)
    if (entry.state->finished && has_expired(*entry.state))
      expired.push_back(entry.state);
    else if (entry.state->finished)
      send_keepalive_if_due(*entry.state);
  for (const auto& connection : expired)
    abort(*connection, tcp_end::finished);
}

void tcp_stack_state::abort(connection_state& connection,
                            tcp_end time_wait_reason)
{
  const bool in_time_wait = connection.pcb->state == TIME_WAIT;
  tcp_abort(connection.pcb);
  if (in_time_wait)
    close(connection, time_wait_reason);
}

/// True if TIME_WAIT is over, or if a peer that has not sent its FIN has not
/// answered the keepalives. Must be called once per check, since it counts the
/// ticks in TIME_WAIT.
bool tcp_stack_state::has_expired(connection_state& connection) const
{
  const auto& pcb = *connection.pcb;
  if (pcb.state != TIME_WAIT)
  {
    const auto limit =
        to_ticks(options_.keepalive_idle +
                 options_.keepalive_probes * options_.keepalive_interval);
    return tcp_ticks - pcb.tmr > limit;
  }
  return ++connection.time_wait_ticks > to_ticks(options_.time_wait);
}

void tcp_stack_state::send_keepalive_if_due(connection_state& connection) const
{
  auto& pcb = *connection.pcb;
  const auto due = to_ticks(options_.keepalive_idle +
                            pcb.keep_cnt_sent * options_.keepalive_interval);
  if (pcb.state == FIN_WAIT_2 && tcp_ticks - pcb.tmr > due &&
      tcp_keepalive(&pcb) == ERR_OK)
    ++pcb.keep_cnt_sent;
}

} // namespace toucanmill::detail
