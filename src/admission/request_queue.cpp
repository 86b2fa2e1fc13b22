#include <toucanmill/admission/request_queue.hpp>

#include <algorithm>

namespace toucanmill
{

namespace
{

/// A service time measured too long must not use up the whole time limit.
constexpr int limit_parts_for_service = 4;

bool covers(const data_range& held, const data_range& data)
{
  if (data.size == 0)
    return held == data;
  // Positions wrap around.
  const auto offset = data.begin - held.begin;
  return offset <= held.size && data.size <= held.size - offset;
}

waiting_entry make_entry(const flow_key& flow, const waiting_terms& terms,
                         duration service_time, time_point now)
{
  const auto reserve =
      std::min(service_time, terms.time_limit / limit_parts_for_service);
  return {flow, terms, now,
          now + terms.objective - service_reserve(terms, service_time),
          now + terms.time_limit - reserve};
}

} // namespace

bool request_queue::has_room(data_range data) const
{
  return data_ + data.size + packet_overhead <= options_.max_data;
}

hold_verdict request_queue::add_request(const flow_key& flow,
                                        const waiting_terms& terms,
                                        data_range data, duration service_time,
                                        time_point since, time_point now)
{
  if (requests_.contains(flow))
    return add_data(flow, data);
  if (!has_room(data))
    return hold_verdict::full;
  requests_.add(make_entry(flow, terms, service_time, since), now);
  ranges_[flow] = {data};
  data_ += data.size + packet_overhead;
  return hold_verdict::held;
}

hold_verdict request_queue::add_data(const flow_key& flow, data_range data)
{
  auto& ranges = ranges_[flow];
  if (std::any_of(ranges.begin(), ranges.end(),
                  [&](const data_range& held)
                  {
                    return covers(held, data);
                  }))
    return hold_verdict::merged;
  if (!has_room(data) || ranges.size() >= options_.max_packets_per_request)
    return hold_verdict::full;
  ranges.push_back(data);
  data_ += data.size + packet_overhead;
  return hold_verdict::held;
}

hold_verdict request_queue::add_opening(const flow_key& flow,
                                        const waiting_terms& terms,
                                        duration service_time, time_point now)
{
  if (openings_.contains(flow))
    return hold_verdict::merged;
  auto entry = make_entry(flow, terms, service_time, now);
  entry.expires = std::min(entry.expires, now + options_.max_opening_wait);
  if (!has_room_for_opening() || entry.expires <= now)
    return hold_verdict::full;
  openings_.add(entry, now);
  return hold_verdict::held;
}

void request_queue::forget_data(const flow_key& flow)
{
  const auto found = ranges_.find(flow);
  if (found == ranges_.end())
    return;
  for (const auto& range : found->second)
    data_ -= range.size + packet_overhead;
  ranges_.erase(found);
}

void request_queue::remove_request(const flow_key& flow)
{
  forget_data(flow);
  requests_.remove(flow);
}

waiting_entry request_queue::take_request(const flow_key& flow)
{
  forget_data(flow);
  return requests_.take(flow);
}

std::vector<waiting_entry> request_queue::take_expired_requests(time_point now)
{
  auto expired = requests_.take_expired(now);
  for (const auto& entry : expired)
    forget_data(entry.flow);
  return expired;
}

} // namespace toucanmill
