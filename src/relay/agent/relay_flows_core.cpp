// What relay_core knows about the flows of its upstream.

#include <toucanmill/relay/relay_core.hpp>

#include <algorithm>
#include <numeric>
#include <set>
#include <utility>

#include <toucanmill/table/flow_hash.hpp>

namespace toucanmill
{

namespace
{

/// Octets of a response that its caller has not acknowledged yet: at most 16
/// packets of 1,200, and those of a lost acknowledgement.
constexpr std::uint32_t max_unacknowledged = 65'536;

/// Whether two positions of upstreams may be of the same flow. Flows start at
/// random positions.
bool may_be_of_one_flow(std::uint32_t left, std::uint32_t right)
{
  return left - right <= max_unacknowledged ||
         right - left <= max_unacknowledged;
}

} // namespace

bool relay_core::knows_all_flows(time_point now) const
{
  return saw_start_of_upstream_ || inherits_all_flows_ ||
         options_.max_flow_age <= now - options_.started;
}

bool relay_core::lacks_open_flows(time_point now) const
{
  return knows_all_flows(now) && std::none_of(flows_.begin(), flows_.end(),
                                              [](const auto& item)
                                              {
                                                return item.second.open &&
                                                       !item.second.ended;
                                              });
}

/// A listed flow may have ended before this process began.
bool relay_core::is_of_current_start(const flow_state& flow) const
{
  return flow.open && !flow.ended && !flow.listed &&
         flow.seen_since <= upstream_.accepted_until();
}

/// Saves the way to the upstream and back, which are most of the cost of a
/// search for a flow that nobody holds.
bool relay_core::lacks_flow(const flow_key& flow, time_point now) const
{
  return flows_.count(flow) == 0 &&
         (knows_all_flows(now) || returned_.contains(flow));
}

void relay_core::reset_flows(time_point before, time_point now,
                             relay_sink& sink)
{
  const bool listed_are_unresolved = !(listed_of_ == upstream_start{});
  for (auto it = flows_.begin(); it != flows_.end();)
  {
    const auto& state = it->second;
    const bool is_of_another_start = state.listed && listed_are_unresolved;
    const bool stays = state.seen_since >= before || is_of_another_start;
    it = stays ? std::next(it) : reset_flow(it, now, sink);
  }
}

relay_core::flow_iterator
relay_core::reset_flow(flow_iterator at, time_point now, relay_sink& sink)
{
  auto& [flow, state] = *at;
  // Several upstreams may have accepted copies of one opening packet, so the
  // flow may be open at another one.
  if (state.open && !state.ended)
  {
    count(relay_event::flow_reset);
    sink.reset(flow, state.acknowledged);
    record_unanswered(flow, state, relay_event::flow_reset, now, sink);
  }
  awaited_proofs_.erase(flow);
  release(flow, state, now);
  ended_flows_ -= state.ended ? 1 : 0;
  return flows_.erase(at);
}

void relay_core::track_caller_packet(const flow_packet& packet, time_point now)
{
  const auto found = flows_.find(packet.from_caller());
  if (found == flows_.end())
    return;
  auto& flow = found->second;
  flow.used = now;
  // Another flow of the same address and port may be open at another upstream.
  if (packet.acknowledges &&
      may_be_of_one_flow(packet.acknowledged, flow.acknowledged))
    flow.acknowledged = packet.acknowledged;
  // An upstream that does not hold the flow any more has not failed a request.
  if (flow.listed)
    return;
  // Only mode objectives tells data from its retransmission.
  const bool carries = options_.admission == admission_mode::objectives
                           ? is_new_data(flow, packet)
                           : packet.payload_size > 0;
  if (packet.payload_size > 0 && is_new_data(flow, packet))
    flow.passed_end = packet.sequence + packet.payload_size;
  if (carries && !flow.ended)
  {
    if (!flow.busy)
    {
      flow.busy_since = now;
      flow.wait_recorded = false;
      flow.request_id = packet.request_id;
    }
    begin_request(packet.from_caller(), flow, now);
  }
  flow.caller_finished |= packet.finishes;
  // The flow stays known: the upstream may not accept the reset.
  if (packet.resets && options_.admission == admission_mode::objectives)
    stop_waiting(flow, now);
}

void relay_core::track_upstream_packet(const flow_packet& packet,
                                       time_point now, relay_sink& sink)
{
  const auto key = packet.from_upstream();
  const auto known = flows_.find(key);
  const bool is_new = known == flows_.end();
  if (!is_new && is_of_current_start(known->second))
    upstream_.on_proof_of_life(now);
  if (packet.resets)
    return end(key, now, sink);
  returned_.erase(key);
  // A bare acknowledgement may follow the end of a flow, so it creates no
  // entry.
  if (packet.payload_size == 0 && !packet.accepts && is_new)
    return;
  auto& flow = is_new ? flows_[key] : known->second;
  if (is_new)
    flow.seen_since = now;
  flow.used = now;
  flow.listed = false;
  flow.answered = true;
  if (!may_be_of_one_flow(packet.sequence, flow.acknowledged))
  {
    flow.acknowledged = packet.sequence;
    // The caller has opened another flow from the same port.
    if (packet.accepts)
      flow.seen_since = now;
    flow.open &= !packet.accepts;
  }
  flow.open |= !packet.accepts;
  if (packet.acknowledges && !packet.accepts)
    note_received(flow, packet.acknowledged);
  if (const auto awaited = awaited_proofs_.find(key);
      awaited != awaited_proofs_.end())
  {
    send_found(awaited->second.visit, key, flow, now, sink);
    awaited_proofs_.erase(awaited);
  }
  if (const auto opening = std::exchange(flow.opening, {});
      opening && packet.accepts)
    sink.record_latency(relay_timing::handshake, now - *opening);
  if (packet.payload_size > 0)
  {
    if (flow.busy)
      sink.record_latency(relay_timing::request, now - flow.busy_since);
    end_request(flow, packet.response_status, now);
  }
  flow.upstream_finished |= packet.finishes;
  if (flow.caller_finished && flow.upstream_finished)
    end(key, now, sink);
}

void relay_core::begin_request(const flow_key& key, flow_state& flow,
                               time_point now)
{
  if (flow.awaited_since)
    --awaited_;
  flow.awaited_since.reset();
  if (flow.busy)
    return;
  flow.busy = flow.counted = true;
  flow.passed_at = now;
  ++busy_;
  ++in_progress_;
  meter_.on_request(now);
  if (options_.admission == admission_mode::objectives)
    passed_requests_.emplace_back(now, key);
}

void relay_core::end_request(flow_state& flow,
                             std::optional<std::uint16_t> status,
                             time_point now)
{
  if (!flow.busy)
    return;
  flow.busy = false;
  --busy_;
  if (!std::exchange(flow.counted, false))
    return;
  --in_progress_;
  if (status)
    meter_.on_response(flow.passed_at, *status, now);
  else
    meter_.on_failure(flow.passed_at, now);
}

void relay_core::stop_waiting(flow_state& flow, time_point now)
{
  end_request(flow, std::nullopt, now);
  if (flow.awaited_since)
    --awaited_;
  flow.awaited_since.reset();
}

void relay_core::release(const flow_key& key, flow_state& flow, time_point now)
{
  stop_waiting(flow, now);
  forget_held(key);
}

void relay_core::end(const flow_key& flow, time_point now, relay_sink& sink)
{
  const auto found = flows_.find(flow);
  if (found == flows_.end() || found->second.ended)
    return;
  if (found->second.busy)
    record_unanswered(flow, found->second, relay_event::request_unanswered, now,
                      sink);
  release(flow, found->second, now);
  found->second.ended = true;
  ++ended_flows_;
}

void relay_core::erase(const flow_key& flow, time_point now, relay_sink& sink)
{
  end(flow, now, sink);
  ended_flows_ -= flows_.erase(flow);
}

void relay_core::record_unanswered(const flow_key& flow,
                                   const flow_state& state, relay_event event,
                                   time_point now, relay_sink& sink)
{
  if (event != relay_event::flow_reset)
    count(event);
  relay_decision value;
  value.event = event;
  value.flow = flow;
  value.configuration = configuration_;
  value.busy = busy_;
  if (state.busy)
  {
    value.request_id = state.request_id;
    value.waited = now - state.busy_since;
  }
  sink.record(value);
}

void relay_core::on_tick(time_point now, relay_sink& sink)
{
  stop_counting_overdue(now);
  settle_leave(now, sink);
  if (knows_all_flows(now))
    returned_.clear();
  for (auto it = awaited_proofs_.begin(); it != awaited_proofs_.end();)
    it = now - it->second.since > options_.proof_timeout
             ? awaited_proofs_.erase(it)
             : std::next(it);
  for (auto it = flows_.begin(); it != flows_.end();)
  {
    auto& [key, flow] = *it;
    const bool waits = flow.busy && !flow.wait_recorded &&
                       now - flow.busy_since > options_.slow_request_limit;
    if (waits)
    {
      flow.wait_recorded = true;
      record_unanswered(key, flow, relay_event::request_waits, now, sink);
    }
    const auto limit =
        flow.ended ? options_.ended_flow_retention : options_.flow_idle_limit;
    if (now - flow.used <= limit)
    {
      ++it;
      continue;
    }
    release(key, flow, now);
    ended_flows_ -= flow.ended ? 1 : 0;
    it = flows_.erase(it);
  }
}

// Control drops an agent from the chains of the buckets that it does not hold,
// and balancers then look for it there last. An agent that restarted beside its
// upstream must not report flows as gone because it has not seen them.
std::vector<std::uint16_t> relay_core::held_buckets(time_point now) const
{
  std::vector<std::uint16_t> held;
  if (!upstream_.ended() && !knows_all_flows(now))
  {
    held.resize(bucket_count_);
    std::iota(held.begin(), held.end(), std::uint16_t{0});
    return held;
  }
  std::set<std::uint16_t> buckets;
  if (bucket_count_ > 0)
    for (const auto& [key, flow] : flows_)
      if (!flow.ended)
        buckets.insert(static_cast<std::uint16_t>(
            bucket_of(flow_hash(key), bucket_count_)));
  held.assign(buckets.begin(), buckets.end());
  return held;
}

} // namespace toucanmill
