// Admission of new flows by the objectives of their routes.

#include <toucanmill/relay/relay_core.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace toucanmill
{

namespace
{

/// Callers give up an attempt 400 ms after the longest hold. An agent that was
/// paused admits no flow whose caller may have done so.
constexpr duration late_check = std::chrono::milliseconds(200);

/// Callers send the first copy of an opening packet after this time.
constexpr duration first_copy_after = std::chrono::milliseconds(200);

std::uint16_t header_wait(duration wait)
{
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  return static_cast<std::uint16_t>(std::clamp<std::int64_t>(
      ms, 0, std::numeric_limits<std::uint16_t>::max()));
}

} // namespace

opening_view relay_core::view_of(const relay_header& header,
                                 const waiting_terms& terms, time_point now)
{
  opening_view view;
  view.terms = terms;
  const auto passed = in_progress_ + awaited_requests(now);
  view.wait = meter_.expected_wait(
      passed + queue_.requests().ahead(terms.priority, now));
  view.late_wait = meter_.expected_wait(passed + queue_.requests().size());
  view.token_wait = warm_up_.wait(now);
  view.service_time = meter_.service_time();
  view.has_room = queue_.has_room_for_opening();
  view.final_stop = header.final_stop;
  view.last_stop = header.stop + 1 >= header.stops.size;
  if (header.best_stop != no_stop)
    view.best_wait = std::chrono::milliseconds(header.best_wait_ms);
  return view;
}

/// Spreads what is refused evenly: agents that chose by the flow's hash would
/// all refuse the same flows.
bool relay_core::take_share(time_point now)
{
  share_credit_ = std::min(share_credit_ + meter_.admitted_share(now), 1.0);
  if (share_credit_ < 1)
    return false;
  share_credit_ -= 1;
  return true;
}

void relay_core::decide_flow(relay_message message, const flow_packet& packet,
                             time_point now, relay_sink& sink)
{
  auto& header = message.header;
  const auto key = packet.from_caller();
  if (held_openings_.count(key) != 0)
    return answer_copy_of_held(header, key, sink);
  if (const auto refused = standing_refusal(header, packet, now))
    return refuse_flow(message, packet, *refused, sink);
  const auto terms = terms_of(packet.destination);
  // An upstream that hangs ends no request, so only time shows it.
  meter_.advance(now);
  auto view = view_of(header, terms, now);
  const auto held = queue_.openings().ahead(terms.priority, now);
  view.wait += meter_.service_time() * static_cast<std::int64_t>(held) /
               std::max<std::int64_t>(upstream_.slots(), 1);
  view.within_share = header.final_stop || take_share(now);
  const auto [verdict, best] = decide_opening(view);
  if (best)
  {
    header.best_stop = header.stop;
    header.best_wait_ms = header_wait(*best);
  }
  if (verdict == opening_verdict::admit)
    return admit_flow(message, packet, now, sink);
  if (verdict == opening_verdict::hold)
    return hold_opening(message, packet, terms, now, sink);
  refuse_flow(message, packet,
              view.token_wait > duration{0} ? relay_event::cold
              : !view.within_share          ? relay_event::reduced
                                            : relay_event::busy,
              sink);
}

void relay_core::hold_opening(const relay_message& message,
                              const flow_packet& packet,
                              const waiting_terms& terms, time_point now,
                              relay_sink& sink)
{
  const auto key = packet.from_caller();
  if (queue_.add_opening(key, terms, meter_.service_time(), now) !=
      hold_verdict::held)
    return refuse_flow(message, packet, relay_event::busy, sink);
  count(relay_event::held_opening);
  held_packet held{message.header, {}, packet, {}};
  const auto& bytes = message.packet;
  held.bytes.assign(bytes.data, bytes.data + bytes.size);
  held.packet.request_id = {};
  held_openings_.emplace(key, std::move(held));
  send_found(message.header, key, sink);
}

/// The balancer of the copy may be another one, or its found message was lost.
void relay_core::answer_copy_of_held(const relay_header& header,
                                     const flow_key& key, relay_sink& sink)
{
  count(relay_event::held_copy);
  send_found(header, key, sink);
}

/// Held opening packets cannot be admitted later either.
bool relay_core::admits_no_more(time_point now) const
{
  return stopping_ || evacuated_ || upstream_.takes_no_new_flows() ||
         upstream_.is_leaving() || !upstream_.present(now);
}

void relay_core::serve_held(time_point now, relay_sink& sink)
{
  if (queue_.empty())
    return;
  stop_counting_overdue(now);
  drop_expired_requests(now, sink);
  if (admits_no_more(now))
    return_openings(now, sink);
  end_holds(now, sink);
  release_requests(now, sink);
  release_openings(now, sink);
}

void relay_core::end_holds(time_point now, relay_sink& sink)
{
  for (const auto& entry : queue_.openings().take_expired(now))
  {
    const auto found = held_openings_.find(entry.flow);
    if (found == held_openings_.end())
      continue;
    const auto view = view_of(found->second.header, entry.terms, now);
    if (upstream_.admits(now) &&
        admits_at_end_of_hold(view, now - entry.since) &&
        now - entry.since <= options_.queue.max_opening_wait + late_check)
      release_opening(entry, now, sink);
    else
      refuse_held(entry.flow, relay_event::opening_expired,
                  miss_reason::refused, now - entry.since, sink);
  }
}

void relay_core::return_openings(time_point now, relay_sink& sink)
{
  for (const auto& entry : queue_.openings().take_all())
    refuse_held(entry.flow, relay_event::opening_returned, miss_reason::refused,
                now - entry.since, sink);
}

void relay_core::refuse_held(const flow_key& flow, relay_event event,
                             miss_reason reason, duration waited,
                             relay_sink& sink)
{
  const auto found = held_openings_.find(flow);
  if (found == held_openings_.end())
    return;
  const auto held = std::move(found->second);
  held_openings_.erase(found);
  count(event);
  auto decision = make_decision(event, flow, held.header);
  decision.next = held.header.balancer;
  decision.waited = waited;
  sink.record(decision);
  // Another agent may have admitted a copy that came through another balancer,
  // and the refusal would reset the open flow. The caller's attempt ends by
  // itself.
  if (waited >= first_copy_after)
    return;
  return_missed(held.header, {held.bytes.data(), held.bytes.size()}, reason,
                sink);
}

void relay_core::release_openings(time_point now, relay_sink& sink)
{
  // A silent upstream gets no opening packets until it answers.
  while (upstream_.admits(now))
  {
    const auto* next = queue_.openings().next(now);
    if (next == nullptr)
      return;
    const auto found = held_openings_.find(next->flow);
    const auto view = view_of(found->second.header, next->terms, now);
    if (!admits_held_opening(view, now - next->since))
    {
      // It cannot be on time any more, but those behind it may be.
      if (view.token_wait == duration{0} &&
          (queue_.openings().mark_late(next->flow) ||
           queue_.openings().skip_oldest()))
        continue;
      return;
    }
    // The agent soon has the configuration that decides.
    if (standing_refusal(found->second.header, found->second.packet, now) ==
        relay_event::older_routing)
      return;
    release_opening(queue_.openings().take(next->flow), now, sink);
  }
}

void relay_core::release_opening(const waiting_entry& entry, time_point now,
                                 relay_sink& sink)
{
  const auto found = held_openings_.find(entry.flow);
  const auto& waiting = found->second;
  if (const auto refused =
          standing_refusal(waiting.header, waiting.packet, now))
    return refuse_held(entry.flow, relay_event::opening_returned,
                       *refused == relay_event::route_replaced
                           ? miss_reason::route_replaced
                           : miss_reason::refused,
                       now - entry.since, sink);
  const auto held = std::move(found->second);
  held_openings_.erase(found);
  sink.record_latency(relay_timing::held, now - entry.since);
  admit_flow({held.header, {held.bytes.data(), held.bytes.size()}}, held.packet,
             now, sink);
  flows_[entry.flow].opened = entry.since;
}

} // namespace toucanmill
