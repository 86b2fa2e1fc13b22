#ifndef TOUCANMILL_SRC_BALANCER_ANNOUNCE_CORE_HPP
#define TOUCANMILL_SRC_BALANCER_ANNOUNCE_CORE_HPP

#include <optional>

#include <toucanmill/base/time.hpp>
#include <toucanmill/packet/gue.hpp>

namespace toucanmill
{

/// Decides when a balancer announces or withdraws itself, and when its
/// retirement is complete.
class announce_core
{
public:
  announce_core(duration interval, duration quiet_period)
      : interval_(interval), quiet_period_(quiet_period)
  {
  }

  /// The balancer has a table. Before that it would drop what it attracts.
  void set_ready();

  /// Withdraws from the next poll() on. A second call has no effect.
  void retire(time_point now);

  /// A packet was forwarded.
  void on_forwarded(time_point now)
  {
    last_forwarded_ = now;
  }

  /// The message that is due now, for every fabric endpoint. A withdrawal is
  /// repeated like an announcement, because a datagram can be lost.
  std::optional<fabric_message> poll(time_point now);

  /// True when no packet was forwarded for the quiet period after retire().
  bool retired(time_point now) const;

  /// When the next message is due.
  time_point next() const
  {
    return next_message_;
  }

private:
  duration interval_;
  duration quiet_period_;
  bool ready_ = false;
  std::optional<time_point> retiring_since_;
  time_point last_forwarded_;
  time_point next_message_;
};

} // namespace toucanmill

#endif
