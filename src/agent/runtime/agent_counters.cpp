#include "agent_counters.hpp"

#include <algorithm>

namespace toucanmill::detail
{

namespace
{

template <class From, class To>
void copy(const From& from, To& to)
{
  std::transform(from.begin(), from.end(), to.begin(),
                 [](const agent_counters::counter& value)
                 {
                   return value.load(std::memory_order_relaxed);
                 });
}

} // namespace

agent_counts agent_counters::snapshot() const
{
  agent_counts values;
  copy(drops, values.drops);
  copy(faults, values.faults);
  copy(requests, values.requests);
  values.unstamped = unstamped;
  values.delivered = delivered;
  values.passed_on = passed_on;
  values.resets = resets;
  values.new_flows = new_flows;
  values.replies = replies;
  values.unroutable = unroutable;
  values.unsent = unsent;
  values.silent_flows = silent_flows;
  values.reset_by_caller = reset_by_caller;
  values.interrupted = interrupted;
  return values;
}

} // namespace toucanmill::detail
