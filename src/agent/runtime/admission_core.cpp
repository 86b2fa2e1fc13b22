#include <toucanmill/agent/admission_core.hpp>

#include <algorithm>

#include <toucanmill/base/invariant.hpp>

namespace toucanmill
{

admission_core::admission_core(admission_options options) : options_(options) {}

admission_answer admission_core::request(session_id session,
                                         time_point deadline)
{
  const auto is_session = [session](const queue_entry& entry)
  {
    return entry.session == session;
  };
  if (running_.count(session) != 0)
    return admission_answer::granted;
  if (std::any_of(queue_.begin(), queue_.end(), is_session))
    return admission_answer::queued;
  if (running_.size() < options_.slots && queue_.empty())
  {
    running_.insert(session);
    return admission_answer::granted;
  }
  if (queue_.size() >= options_.queue_capacity)
    return admission_answer::refused;
  queue_.push_back({session, deadline});
  return admission_answer::queued;
}

std::vector<admission_change> admission_core::release(session_id session,
                                                      time_point now)
{
  const auto is_session = [session](const queue_entry& entry)
  {
    return entry.session == session;
  };
  running_.erase(session);
  queue_.erase(std::remove_if(queue_.begin(), queue_.end(), is_session),
               queue_.end());

  auto changes = expire(now);
  while (running_.size() < options_.slots && !queue_.empty())
  {
    running_.insert(queue_.front().session);
    changes.push_back({queue_.front().session, true});
    queue_.pop_front();
  }
  TOUCANMILL_INVARIANT(running_.size() <= options_.slots,
                       "more slots granted than the upstream has");
  return changes;
}

std::vector<admission_change> admission_core::expire(time_point now)
{
  std::vector<admission_change> refused;
  std::deque<queue_entry> kept;
  for (const auto& entry : queue_)
  {
    if (entry.deadline <= now)
      refused.push_back({entry.session, false});
    else
      kept.push_back(entry);
  }
  queue_ = std::move(kept);
  return refused;
}

std::optional<time_point> admission_core::next_deadline() const
{
  if (queue_.empty())
    return std::nullopt;
  const auto earliest =
      std::min_element(queue_.begin(), queue_.end(),
                       [](const queue_entry& left, const queue_entry& right)
                       {
                         return left.deadline < right.deadline;
                       });
  return earliest->deadline;
}

duration admission_core::retry_after() const
{
  return options_.retry_after;
}

std::size_t admission_core::slots_in_use() const
{
  return running_.size();
}

std::size_t admission_core::queue_length() const
{
  return queue_.size();
}

} // namespace toucanmill
