#include "announce_core.hpp"

#include <algorithm>
#include <utility>

namespace toucanmill
{

void announce_core::set_ready()
{
  if (std::exchange(ready_, true) || retiring_since_)
    return;
  next_message_time_ = time_point{};
}

void announce_core::retire(time_point now)
{
  if (retiring_since_)
    return;
  retiring_since_ = now;
  next_message_time_ = now;
}

std::optional<fabric_message> announce_core::poll(time_point now)
{
  if (now < next_message_time_)
    return std::nullopt;
  next_message_time_ = now + interval_;
  if (retiring_since_)
    return fabric_message::withdraw;
  if (ready_)
    return fabric_message::announce;
  return std::nullopt;
}

bool announce_core::retired(time_point now) const
{
  return retiring_since_ &&
         now - std::max(*retiring_since_, last_forwarded_) >= quiet_period_;
}

} // namespace toucanmill
