#include "slot_scheduler.hpp"

#include <algorithm>
#include <utility>

#include <toucanmill/base/clock.hpp>

namespace toucanmill::detail
{

slot_scheduler::slot_scheduler(asio::io_context& context,
                               admission_options options,
                               agent_counters& counts, change_handler on_change)
    : admission_(options), counts_(counts), on_change_(std::move(on_change)),
      timer_(context)
{
}

admission_answer slot_scheduler::request(session_id session,
                                         time_point deadline)
{
  const auto answer = admission_.request(session, deadline);
  update();
  return answer;
}

void slot_scheduler::release(session_id session)
{
  const auto changes = admission_.release(session, monotonic_now());
  update();
  notify(changes);
}

void slot_scheduler::notify(const std::vector<admission_change>& changes) const
{
  for (const auto& change : changes)
    on_change_(change);
}

void slot_scheduler::update()
{
  counts_.slots_in_use = admission_.slots_in_use();
  counts_.queue_length = admission_.queue_length();
  if (const auto next = admission_.next_deadline(); next != deadline_)
  {
    deadline_ = next;
    arm_timer();
  }
}

void slot_scheduler::arm_timer()
{
  if (!deadline_)
  {
    timer_.cancel();
    return;
  }
  timer_.expires_after(
      std::max(*deadline_ - monotonic_now(), duration::zero()));
  timer_.async_wait(
      [this](std::error_code error)
      {
        if (!error)
          on_timer();
      });
}

void slot_scheduler::on_timer()
{
  const auto refused = admission_.expire(monotonic_now());
  deadline_.reset();
  update();
  notify(refused);
}

} // namespace toucanmill::detail
