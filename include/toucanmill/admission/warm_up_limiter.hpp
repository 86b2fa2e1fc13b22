#ifndef TOUCANMILL_ADMISSION_WARM_UP_LIMITER_HPP
#define TOUCANMILL_ADMISSION_WARM_UP_LIMITER_HPP

#include <cstdint>
#include <optional>

#include <toucanmill/base/time.hpp>

namespace toucanmill
{

/// Token bucket for the new flows of a cold upstream. It holds one token at
/// most and is empty at each start of the agent or of the upstream, so that any
/// interval of a second gets one flow above the rate at most.
class warm_up_limiter
{
public:
  explicit warm_up_limiter(time_point started) : filled_at_(started) {}

  /// New flows in 1,000 s; 0: no limit. Until the first call the rate is
  /// unknown, and a cold upstream gets `flows_before_rate` new flows.
  void set_rate(std::uint32_t flows);

  /// The upstream started; it is not cold until it announces so.
  void restart(time_point now);

  /// The upstream announced how long it stays cold. After that the rate doubles
  /// each `doubling_interval`, and the limit ends instead of the fourth
  /// doubling.
  void announce(duration cold_left, time_point now);

  /// False while the limit leaves no room for a new flow.
  bool has_room(time_point now) const;

  /// Counts a new flow; has_room() must be true.
  void take(time_point now);

  /// Time until there is room, at most an hour.
  duration wait(time_point now) const;

  static constexpr duration doubling_interval = std::chrono::milliseconds(250);

  /// With the one token of the previous process these are the five flows above
  /// the rate that an upstream bears in a second.
  static constexpr std::uint32_t flows_before_rate = 4;

private:
  bool limits(time_point now) const;
  /// Part of a token in units of 10^-9.
  std::uint64_t credit(time_point now) const;
  std::uint64_t gain(time_point from, time_point to,
                     std::uint32_t factor) const;

  std::optional<std::uint32_t> rate_;
  std::uint32_t taken_before_rate_ = 0;
  std::uint64_t credit_ = 0; ///< at filled_at_
  time_point filled_at_;
  time_point cold_until_ = time_point::min();
};

} // namespace toucanmill

#endif
