#ifndef TOUCANMILL_SRC_BALANCER_ANNOUNCE_CORE_HPP
#define TOUCANMILL_SRC_BALANCER_ANNOUNCE_CORE_HPP

#include <optional>

#include <toucanmill/base/time.hpp>
#include <toucanmill/packet/gue.hpp>

namespace toucanmill
{

/// Decides when a balancer sends announcements or withdrawals to the fabric
/// edges, and when its retirement is complete.
class announce_core
{
public:
  announce_core(duration interval, duration quiet_period)
      : interval_(interval), quiet_period_(quiet_period)
  {
  }

  /// Call when the balancer has a table. Announcements start only then, because
  /// without a table the balancer drops every packet it receives.
  void set_ready();

  /// From now on, poll() returns withdrawals. A second call has no effect.
  void retire(time_point now);

  /// Call when a packet was forwarded; restarts the quiet period.
  void on_forwarded(time_point now)
  {
    last_forwarded_ = now;
  }

  /// Returns the message that is due, to be sent to every fabric edge. A
  /// withdrawal is repeated like an announcement, as a datagram can be lost.
  std::optional<fabric_message> poll(time_point now);

  /// True once the quiet period has passed without a forwarded packet after
  /// retire().
  bool retired(time_point now) const;

  time_point next_message_time() const
  {
    return next_message_time_;
  }

private:
  duration interval_;
  duration quiet_period_;
  bool ready_ = false;
  std::optional<time_point> retiring_since_;
  time_point last_forwarded_;
  time_point next_message_time_;
};

} // namespace toucanmill

#endif
