#include <toucanmill/relay/relay_core.hpp>

#include <algorithm>
#include <utility>

namespace toucanmill
{

namespace
{

miss_reason miss_reason_of(relay_event event)
{
  return event == relay_event::route_replaced ? miss_reason::route_replaced
                                              : miss_reason::refused;
}

} // namespace

const char* to_string(relay_event event)
{
  switch (event)
  {
  case relay_event::delivered:
    return "delivered";
  case relay_event::replied:
    return "replied";
  case relay_event::passed_on:
    return "passed_on";
  case relay_event::missed:
    return "missed";
  case relay_event::not_held:
    return "not_held";
  case relay_event::bounced:
    return "bounced";
  case relay_event::not_admitted:
    return "not_admitted";
  case relay_event::busy:
    return "busy";
  case relay_event::other_service:
    return "other_service";
  case relay_event::route_replaced:
    return "route_replaced";
  case relay_event::older_routing:
    return "older_routing";
  case relay_event::unknown_bounce:
    return "unknown_bounce";
  case relay_event::malformed:
    return "malformed";
  case relay_event::flow_reset:
    return "flow_reset";
  case relay_event::request_waits:
    return "request_waits";
  case relay_event::request_unanswered:
    return "request_unanswered";
  case relay_event::evacuated:
    return "evacuated";
  case relay_event::cold:
    return "cold";
  case relay_event::reduced:
    return "reduced";
  case relay_event::held_opening:
    return "held_opening";
  case relay_event::held_request:
    return "held_request";
  case relay_event::held_copy:
    return "held_copy";
  case relay_event::opening_expired:
    return "opening_expired";
  case relay_event::opening_returned:
    return "opening_returned";
  case relay_event::request_expired:
    return "request_expired";
  case relay_event::queue_full:
    return "queue_full";
  }
  return "unknown";
}

relay_core::relay_core(relay_options options)
    : options_(std::move(options)),
      service_(key_of_service(options_.upstream.service)),
      upstream_(options_.upstream), warm_up_(options_.started),
      returned_(options_.max_returned_flows),
      tracked_visits_(options_.max_tracked_visits), meter_(options_.meter),
      queue_(options_.queue)
{
}

void relay_core::set_bucket_count(std::size_t count)
{
  bucket_count_ = count;
}

void relay_core::set_stopping()
{
  stopping_ = true;
}

std::optional<relay_event>
relay_core::standing_refusal(const relay_header& header,
                             const flow_packet& packet, time_point now) const
{
  if (stopping_ || !upstream_.admits(now))
    return relay_event::not_admitted;
  if (evacuated_)
    return relay_event::evacuated;
  if (header.configuration <= configuration_ &&
      !route_allows(packet.destination))
    return relay_event::route_replaced;
  if (header.configuration < newest_seen_ && configuration_ < newest_seen_)
    return relay_event::older_routing;
  return std::nullopt;
}

/// Why this agent does not admit the new flow; none when it does.
std::optional<relay_event> relay_core::refusal(const relay_header& header,
                                               const flow_packet& packet,
                                               time_point now) const
{
  if (const auto standing = standing_refusal(header, packet, now))
    return standing;
  // The first stop passes the flow on when all its slots are taken, so that
  // requests do not queue at one upstream while another is idle.
  const bool first = header.stop == 0 && header.stops.size > 1;
  const auto limit =
      upstream_.slots() * (first ? 1 : options_.requests_per_slot);
  if (busy_ >= limit)
    return relay_event::busy;
  if (!warm_up_.has_room(now))
    return relay_event::cold;
  return std::nullopt;
}

void relay_core::on_visit(const relay_message& message,
                          const std::optional<flow_packet>& packet,
                          time_point now, relay_sink& sink)
{
  const auto& header = message.header;
  if (header.kind == relay_kind::visit && header.locates)
    return on_locate(message, now, sink);
  if (!packet || packet->bounced || header.kind != relay_kind::visit)
    return count(relay_event::malformed);
  newest_seen_ = std::max(newest_seen_, header.configuration);
  settle_leave(now, sink);
  serve_held(now, sink);
  if (header.service != service_)
  {
    count(relay_event::other_service);
    return pass_on(header, message.packet, miss_reason::other_service, sink);
  }
  if (packet->opens)
    return open_flow(message, *packet, now, sink);
  if (upstream_.ended() || lacks_flow(packet->from_caller(), now))
  {
    count(relay_event::not_held);
    return pass_on(header, message.packet, miss_reason::unknown_flow, sink);
  }
  if (!header.remembered && is_undecided_for_now(packet->from_caller(), now))
    return pass_on(undecided(header), message.packet, miss_reason::unknown_flow,
                   sink);
  const bool held = hold_request(message, *packet, now, sink);
  if (!held)
    track_caller_packet(*packet, now);
  if (!header.remembered || header.probe)
    report_found(header, packet->from_caller(), now, sink);
  if (!held)
    deliver(message, *packet, sink);
}

// An agent that has not seen all flows of its upstream cannot tell without the
// packet; the balancer then sends it the packet itself.
void relay_core::on_locate(const relay_message& message, time_point now,
                           relay_sink& sink)
{
  const auto& header = message.header;
  const auto key = decode_flow(message.packet);
  if (!key)
    return count(relay_event::malformed);
  newest_seen_ = std::max(newest_seen_, header.configuration);
  if (header.service != service_)
  {
    count(relay_event::other_service);
    return pass_on(header, message.packet, miss_reason::other_service, sink);
  }
  const auto found = flows_.find(*key);
  if (found != flows_.end() && found->second.answered)
    return send_found(header, *key, found->second, now, sink);
  const bool lacks = lacks_flow(*key, now);
  if (lacks)
    count(relay_event::not_held);
  pass_on(lacks ? header : undecided(header), message.packet,
          miss_reason::unknown_flow, sink);
}

relay_header relay_core::undecided(relay_header header)
{
  header.undecided |= static_cast<std::uint16_t>(1U << header.stop);
  return header;
}

void relay_core::open_flow(const relay_message& message,
                           const flow_packet& packet, time_point now,
                           relay_sink& sink)
{
  // A caller may use the address and port of an ended flow again.
  const auto found = flows_.find(packet.from_caller());
  const bool known =
      found != flows_.end() && !found->second.ended && !found->second.listed;
  if (known && upstream_.present(now))
    return admit_flow(message, packet, now, sink);
  if (options_.admission == admission_mode::objectives)
    return decide_flow(message, packet, now, sink);
  if (const auto refused = refusal(message.header, packet, now))
    return refuse_flow(message, packet, *refused, sink);
  admit_flow(message, packet, now, sink);
}

void relay_core::refuse_flow(const relay_message& message,
                             const flow_packet& packet, relay_event reason,
                             relay_sink& sink)
{
  count(reason);
  sink.record(make_decision(reason, packet.from_caller(), message.header));
  // Dropped unless another stop may admit it: the agent soon has the newest
  // configuration, and the caller retransmits.
  const bool goes_on = options_.admission == admission_mode::objectives &&
                       next_stop(message.header);
  if (reason == relay_event::older_routing && !goes_on)
    return;
  pass_on(message.header, message.packet, miss_reason_of(reason), sink);
}

void relay_core::admit_flow(const relay_message& message,
                            const flow_packet& packet, time_point now,
                            relay_sink& sink)
{
  const auto key = packet.from_caller();
  const auto found = flows_.find(key);
  const bool known =
      found != flows_.end() && !found->second.ended && !found->second.listed;
  upstream_.on_opening_delivered(now);
  if (!known)
  {
    warm_up_.take(now);
    erase(key, now, sink);
  }
  returned_.erase(key);
  auto& flow = flows_[key];
  flow.used = now;
  if (!known)
  {
    flow.opening = flow.seen_since = now;
    await_request(key, flow, now);
  }
  if (message.header.stop > 0)
    send_found(message.header, key, flow, now, sink);
  deliver(message, packet, sink);
  flow.opening_delivery = deliveries_;
}

/// Tells the balancer that this agent holds the flow, at once or when the
/// upstream sends a packet of it: an agent that has restarted does not know its
/// flows, and an upstream may never have answered an opening packet.
void relay_core::report_found(const relay_header& header, const flow_key& key,
                              time_point now, relay_sink& sink)
{
  const auto found = flows_.find(key);
  if (found == flows_.end() || !found->second.answered)
  {
    if (awaited_proofs_.size() < options_.max_awaited_proofs)
      awaited_proofs_[key] = {header, now};
    return;
  }
  auto& flow = found->second;
  if (header.probe || now - flow.found_sent >= options_.found_interval)
    send_found(header, key, flow, now, sink);
}

void relay_core::send_found(const relay_header& visit, const flow_key& key,
                            flow_state& flow, time_point now, relay_sink& sink)
{
  flow.found_sent = now;
  send_found(visit, key, sink);
}

void relay_core::send_found(const relay_header& visit, const flow_key& key,
                            relay_sink& sink)
{
  relay_header reply;
  reply.kind = relay_kind::found;
  reply.service = service_;
  reply.configuration = newest_seen_;
  reply.locates = visit.locates;
  const auto bytes = encode(key);
  sink.send(visit.balancer, reply, {bytes.data(), bytes.size()});
}

void relay_core::deliver(const relay_message& message,
                         const flow_packet& packet, relay_sink& sink)
{
  const auto tag = next_tag_++;
  if (next_tag_ == 0)
    next_tag_ = 1;
  tracked_visits_[tag & (tracked_visits_.size() - 1)] = {
      tag, ++deliveries_, packet.from_caller(), message.header};
  count(relay_event::delivered);
  sink.deliver(message.packet, tag);
}

void relay_core::pass_on(relay_header header, byte_view packet,
                         miss_reason reason, relay_sink& sink)
{
  // The balancer's table is outdated if it lists this agent for another
  // service, so a miss proves nothing.
  header.inconclusive |= reason == miss_reason::other_service;
  const auto next = next_stop(header);
  if (!next)
    return return_missed(header, packet, reason, sink);
  count(relay_event::passed_on);
  header.final_stop = *next <= header.stop;
  header.stop = *next;
  sink.send(header.stops.agents[header.stop], header, packet);
}

// An opening packet goes from its last stop to the best one, unless that is
// this one.
std::optional<std::uint8_t> relay_core::next_stop(const relay_header& header)
{
  if (header.final_stop)
    return std::nullopt;
  if (header.stop + 1 < header.stops.size)
    return static_cast<std::uint8_t>(header.stop + 1);
  if (header.best_stop < header.stop)
    return header.best_stop;
  return std::nullopt;
}

void relay_core::return_missed(relay_header header, byte_view packet,
                               miss_reason reason, relay_sink& sink)
{
  count(relay_event::missed);
  header.kind = relay_kind::missed;
  header.reason = reason;
  header.configuration = std::max(header.configuration, newest_seen_);
  sink.send(header.balancer, header, packet);
}

void relay_core::on_upstream_packet(byte_view bytes,
                                    const std::optional<flow_packet>& packet,
                                    time_point now, relay_sink& sink)
{
  if (!packet)
    return count(relay_event::malformed);
  upstream_.on_packet(now);
  if (packet->bounced)
    return on_bounced(bytes, *packet, now, sink);
  track_upstream_packet(*packet, now, sink);
  count(relay_event::replied);
  sink.reply(packet->destination, bytes);
  serve_held(now, sink);
}

void relay_core::on_bounced(byte_view bytes, const flow_packet& packet,
                            time_point now, relay_sink& sink)
{
  count(relay_event::bounced);
  const auto& visit =
      tracked_visits_[packet.tag & (tracked_visits_.size() - 1)];
  const auto flow = packet.from_caller();
  if (visit.tag != packet.tag || !(visit.flow == flow))
    return count(relay_event::unknown_bounce);
  sink.record(make_decision(relay_event::bounced, flow, visit.header));
  std::optional<upstream_announcement> successor;
  if (shows_absence(visit, packet))
  {
    const auto found = flows_.find(flow);
    if (!packet.opens && found != flows_.end() &&
        is_of_current_start(found->second))
      successor = upstream_.on_flow_lost(now);
    awaited_proofs_.erase(flow);
    erase(flow, now, sink);
    if (!packet.opens && !knows_all_flows(now))
      returned_.add(flow);
  }
  pass_on(visit.header, bytes,
          packet.opens ? miss_reason::refused : miss_reason::unknown_flow,
          sink);
  if (!successor)
    return;
  on_start_of_upstream(*successor, true, 0, now, sink);
  take_state(*successor, now);
}

/// A packet that was delivered before the latest opening packet of its flow
/// belongs to an earlier flow of the same addresses and ports, or is an earlier
/// copy of that opening packet. An upstream may also return a later copy of the
/// opening packet of a flow that it has accepted. What an earlier start of the
/// upstream returned says nothing about the present one.
bool relay_core::shows_absence(const tracked_visit& visit,
                               const flow_packet& packet) const
{
  if (visit.delivery <= deliveries_before_start_)
    return false;
  const auto known = flows_.find(visit.flow);
  if (known == flows_.end())
    return true;
  const auto& flow = known->second;
  return visit.delivery >= flow.opening_delivery &&
         !(packet.opens && flow.answered);
}

relay_decision relay_core::make_decision(relay_event event,
                                         const flow_key& flow,
                                         const relay_header& header) const
{
  relay_decision value;
  value.event = event;
  value.flow = flow;
  value.routed_by = header.configuration;
  value.configuration = configuration_;
  value.busy = busy_;
  const auto next = next_stop(header);
  value.next = next ? header.stops.agents[*next] : header.balancer;
  return value;
}

relay_status relay_core::status(time_point now) const
{
  relay_status out;
  out.present = upstream_.present(now) && !stopping_;
  out.ended = upstream_.ended();
  out.leave_pending = upstream_.leave_is_pending();
  out.draining = upstream_.draining();
  out.life = upstream_.life();
  out.slots = upstream_.slots();
  out.flows = flows_.size() - ended_flows_;
  out.busy = busy_;
  out.in_progress = in_progress_;
  out.held_buckets = held_buckets(now);
  out.knows_buckets = bucket_count_ > 0;
  out.knows_all_flows = knows_all_flows(now);
  out.configuration = configuration_;
  out.held_requests = queue_.requests().size();
  out.held_openings = queue_.openings().size();
  out.held_data = queue_.data();
  out.events = events_;
  return out;
}

} // namespace toucanmill
