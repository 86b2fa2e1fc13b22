// Requests on open flows: they wait while the upstream has enough to do.

#include <toucanmill/relay/relay_core.hpp>

#include <algorithm>
#include <utility>

namespace toucanmill
{

namespace
{

/// Service times after which a request counts as unanswered, if its objective
/// is shorter.
constexpr int overdue_services = 4;

} // namespace

bool relay_core::is_new_data(const flow_state& flow, const flow_packet& packet)
{
  return packet.payload_size > 0 &&
         (!flow.passed_end ||
          is_after(packet.sequence + packet.payload_size, *flow.passed_end));
}

bool relay_core::has_capacity() const
{
  const auto slots = std::max<std::size_t>(upstream_.slots(), 1);
  return in_progress_ < slots * options_.passed_per_slot;
}

void relay_core::await_request(const flow_key& key, flow_state& flow,
                               time_point now)
{
  if (options_.admission != admission_mode::objectives)
    return;
  flow.awaited_since = flow.opened = now;
  ++awaited_;
  awaited_flows_.emplace_back(now, key);
}

std::size_t relay_core::awaited_requests(time_point now)
{
  while (!awaited_flows_.empty() &&
         now - awaited_flows_.front().first >= options_.request_awaited)
  {
    const auto& [since, key] = awaited_flows_.front();
    if (const auto found = flows_.find(key);
        found != flows_.end() && found->second.awaited_since == since)
    {
      found->second.awaited_since.reset();
      --awaited_;
    }
    awaited_flows_.pop_front();
  }
  return awaited_;
}

bool relay_core::hold_request(const relay_message& message,
                              const flow_packet& packet, time_point now,
                              relay_sink& sink)
{
  if (options_.admission != admission_mode::objectives)
    return false;
  const auto key = packet.from_caller();
  const auto found = flows_.find(key);
  if (found == flows_.end() || found->second.ended || found->second.listed)
    return false;
  auto& flow = found->second;
  if (queue_.requests().contains(key))
    return hold_more(message, packet, now, sink);
  if (flow.busy || !is_new_data(flow, packet))
    return false;
  if (flow.expired && now - flow.expired->first < options_.expired_retention &&
      !is_after(packet.sequence + packet.payload_size, flow.expired->second))
  {
    count(relay_event::held_copy);
    return true;
  }
  return !has_capacity() && hold_first(message, packet, flow, now);
}

bool relay_core::hold_first(const relay_message& message,
                            const flow_packet& packet, flow_state& flow,
                            time_point now)
{
  const auto key = packet.from_caller();
  const data_range range{packet.sequence, packet.payload_size};
  // Callers count the time of the first request from the opening packet.
  const bool awaited = flow.awaited_since &&
                       now - *flow.awaited_since < options_.request_awaited;
  const auto since = awaited ? flow.opened : now;
  if (queue_.add_request(key, terms_of(packet.destination), range,
                         meter_.service_time(), since,
                         now) == hold_verdict::full)
  {
    count(relay_event::queue_full);
    return false;
  }
  count(relay_event::held_request);
  flow.used = now;
  if (std::exchange(flow.awaited_since, std::nullopt))
    --awaited_;
  keep(message, packet);
  return true;
}

/// Data follows the data that waits, so that the upstream gets it in order.
bool relay_core::hold_more(const relay_message& message,
                           const flow_packet& packet, time_point now,
                           relay_sink& sink)
{
  const auto key = packet.from_caller();
  auto& flow = flows_.find(key)->second;
  flow.used = now;
  if (packet.resets)
  {
    forget_held(key);
    return false;
  }
  if (!packet.finishes && !is_new_data(flow, packet))
    return false;
  switch (queue_.add_data(key, {packet.sequence, packet.payload_size}))
  {
  case hold_verdict::merged:
    count(relay_event::held_copy);
    return true;
  case hold_verdict::held:
    keep(message, packet);
    return true;
  case hold_verdict::full:
    break;
  }
  count(relay_event::queue_full);
  queue_.remove_request(key);
  deliver_held(key, now, sink);
  return false;
}

void relay_core::keep(const relay_message& message, const flow_packet& packet)
{
  auto& packets = held_requests_[packet.from_caller()];
  held_packet held{message.header, {}, packet, std::string(packet.request_id)};
  held.bytes.assign(message.packet.data,
                    message.packet.data + message.packet.size);
  held.packet.request_id = {};
  const auto after =
      std::find_if(packets.begin(), packets.end(),
                   [&](const held_packet& other)
                   {
                     return is_after(other.packet.sequence, packet.sequence);
                   });
  packets.insert(after, std::move(held));
}

void relay_core::release_requests(time_point now, relay_sink& sink)
{
  while (has_capacity())
  {
    const auto* next = queue_.requests().next(now);
    if (next == nullptr)
      return;
    release_request(queue_.take_request(next->flow), now, sink);
  }
}

void relay_core::release_request(const waiting_entry& entry, time_point now,
                                 relay_sink& sink)
{
  sink.record_latency(relay_timing::held, now - entry.since);
  deliver_held(entry.flow, now, sink);
  // The latency of the request includes its wait here.
  if (const auto found = flows_.find(entry.flow); found != flows_.end())
    found->second.busy_since = entry.since;
}

void relay_core::deliver_held(const flow_key& flow, time_point now,
                              relay_sink& sink)
{
  const auto found = held_requests_.find(flow);
  if (found == held_requests_.end())
    return;
  auto packets = std::move(found->second);
  held_requests_.erase(found);
  auto& state = flows_.find(flow)->second;
  // Acknowledgements that came meanwhile are newer than those held.
  const auto acknowledged = state.acknowledged;
  for (auto& held : packets)
  {
    held.packet.request_id = held.request_id;
    track_caller_packet(held.packet, now);
    deliver({held.header, {held.bytes.data(), held.bytes.size()}}, held.packet,
            sink);
  }
  if (is_after(acknowledged, state.acknowledged))
    state.acknowledged = acknowledged;
}

void relay_core::drop_expired_requests(time_point now, relay_sink& sink)
{
  for (const auto& entry : queue_.take_expired_requests(now))
  {
    const auto held = held_requests_.find(entry.flow);
    const auto flow = flows_.find(entry.flow);
    if (held == held_requests_.end() || flow == flows_.end())
      continue;
    count(relay_event::request_expired);
    const auto& last = held->second.back().packet;
    flow->second.expired = {now, last.sequence + last.payload_size};
    relay_decision value;
    value.event = relay_event::request_expired;
    value.flow = entry.flow;
    value.request_id = held->second.front().request_id;
    value.configuration = configuration_;
    value.busy = busy_;
    value.waited = now - entry.since;
    sink.record(value);
    held_requests_.erase(held);
  }
}

void relay_core::forget_held(const flow_key& flow)
{
  queue_.remove_request(flow);
  held_requests_.erase(flow);
}

/// Data that the upstream has received is not new, also if another agent or an
/// earlier process passed it on: a late copy of it would count as a request
/// that never gets a response.
void relay_core::note_received(flow_state& flow, std::uint32_t position)
{
  if (!flow.passed_end || is_after(position, *flow.passed_end))
    flow.passed_end = position;
}

/// With at most one request queued for each slot, an upstream that works
/// answers within its objective. One that hangs, or a flow that it gave up,
/// must not keep the requests behind it from the upstream.
bool relay_core::is_overdue(const flow_key& key, time_point passed_at,
                            time_point now) const
{
  const auto terms = terms_of(key.service);
  const auto limit =
      std::clamp(overdue_services * meter_.service_time(), terms.objective,
                 std::max(terms.objective, terms.time_limit));
  return now - passed_at > limit;
}

void relay_core::stop_counting_overdue(time_point now)
{
  for (; !passed_requests_.empty(); passed_requests_.pop_front())
  {
    const auto& [passed_at, key] = passed_requests_.front();
    const auto found = flows_.find(key);
    if (found == flows_.end() || !found->second.counted ||
        found->second.passed_at != passed_at)
      continue;
    if (!is_overdue(key, passed_at, now))
      return;
    found->second.counted = false;
    --in_progress_;
    meter_.on_failure(passed_at, now);
  }
}

} // namespace toucanmill
