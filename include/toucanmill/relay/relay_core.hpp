#ifndef TOUCANMILL_RELAY_RELAY_CORE_HPP
#define TOUCANMILL_RELAY_RELAY_CORE_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <toucanmill/admission/opening_policy.hpp>
#include <toucanmill/admission/request_queue.hpp>
#include <toucanmill/admission/warm_up_limiter.hpp>
#include <toucanmill/base/time.hpp>
#include <toucanmill/load/upstream_meter.hpp>
#include <toucanmill/packet/flow_packet.hpp>
#include <toucanmill/relay/relay_message.hpp>
#include <toucanmill/relay/returned_flows.hpp>
#include <toucanmill/relay/upstream_core.hpp>
#include <toucanmill/table/configuration.hpp>
#include <toucanmill/table/flow_list.hpp>

namespace toucanmill
{

/// Latencies of the upstream that the agent measures.
enum class relay_timing : std::uint8_t
{
  handshake, ///< from the opening packet to the answer that accepts it
  request, ///< from the first packet of a request to the first of its response
  held,    ///< from the arrival of what was held to its release
};

/// Carries out the decisions of relay_core. Implementations copy the packets
/// before they return.
class relay_sink
{
public:
  virtual ~relay_sink() = default;

  /// Sends the packet to the upstream, with the tag written into it.
  virtual void deliver(byte_view packet, std::uint32_t tag) = 0;

  /// Sends to an agent or, for found and missed, to a balancer. The tag and the
  /// bounce mark of the packet are cleared.
  virtual void send(const endpoint& to, const relay_header& header,
                    byte_view packet) = 0;

  /// Sends the upstream's packet to its caller, unchanged.
  virtual void reply(const endpoint& caller, byte_view packet) = 0;

  /// Sends the caller of the flow a reset that the agent made itself.
  virtual void reset(const flow_key& flow, std::uint32_t sequence) = 0;

  /// Passes on a decision that belongs in the operator's log.
  virtual void record(const struct relay_decision& value) = 0;

  /// Passes on a measured latency.
  virtual void record_latency(relay_timing what, duration taken) = 0;
};

/// What an agent did with a packet or a flow, and why.
enum class relay_event : std::uint8_t
{
  delivered,
  replied,
  passed_on,      ///< forwarded to the next stop
  missed,         ///< returned to the balancer
  not_held,       ///< not delivered; the upstream does not have the flow
  bounced,        ///< returned by the upstream: flow unknown or refused
  not_admitted,   ///< opening packet; the upstream admits no new flows now
  busy,           ///< opening packet; too many requests in progress
  other_service,  ///< visit for another service
  route_replaced, ///< opening packet; the route no longer leads to this service
  older_routing,  ///< opening packet; routed by an outdated configuration
  unknown_bounce, ///< bounced packet whose visit is no longer tracked
  malformed,
  flow_reset,         ///< its upstream ended
  request_waits,      ///< no response after slow_request_limit
  request_unanswered, ///< its flow ended without a response
  evacuated, ///< opening packet; no new flows in the agent's data centre
  cold,      ///< opening packet; the upstream is cold and has had its share
  reduced,   ///< opening packet; beyond the share that a failing upstream gets
  held_opening,     ///< opening packet; waits until the upstream can take it
  held_request,     ///< request on an open flow; waits
  held_copy,        ///< copy of a packet that waits
  opening_expired,  ///< held opening packet given up; its time was up
  opening_returned, ///< held opening packet given up; no new flows any more
  request_expired,  ///< held request dropped; its time was up
  queue_full,       ///< request passed on at once for want of memory
};

inline constexpr std::size_t relay_event_count = 26;

const char* to_string(relay_event event);

/// A decision about one flow and the state it was based on, for the log.
struct relay_decision
{
  relay_event event = relay_event::delivered;
  flow_key flow;
  std::string request_id;          ///< of the request in progress, if known
  std::optional<endpoint> next;    ///< agent or balancer that gets the packet
  std::uint64_t routed_by = 0;     ///< configuration version of the balancer
  std::uint64_t configuration = 0; ///< configuration version of this agent
  std::size_t busy = 0;            ///< flows with a request in progress
  duration waited{0};              ///< since the request arrived
};

enum class admission_mode : std::uint8_t
{
  slots,      ///< new flows by requests per slot; nothing waits
  objectives, ///< by the objectives of routes; requests and new flows wait
};

struct relay_options
{
  admission_mode admission = admission_mode::slots;
  upstream_core::options upstream;
  time_point started; ///< start of this agent's process
  /// Flows end this long after their opening packet. An agent that has run for
  /// this time knows all flows of its upstream.
  duration max_flow_age = std::chrono::seconds(60);
  /// Flows without packets for this long are evicted. At least max_flow_age, so
  /// that no flow that may still go on is evicted.
  duration flow_idle_limit = std::chrono::seconds(60);
  /// A flow that has ended stays known for this long: late packets of it still
  /// go to the upstream.
  duration ended_flow_retention = std::chrono::seconds(5);
  /// Limit of requests in progress per slot for admitting a new flow that no
  /// other agent has admitted. Two waiting requests for each running one still
  /// meet a latency objective of five times the service time.
  std::uint32_t requests_per_slot = 3;
  /// Minimum time between two found messages for one flow.
  duration found_interval = std::chrono::milliseconds(200);
  /// A request without a response for this long is logged.
  duration slow_request_limit = std::chrono::seconds(1);
  /// Number of latest visits kept to match bounced packets; a power of two.
  std::size_t max_tracked_visits = 4096;
  /// A found message that waits this long for a packet of the upstream is
  /// dropped.
  duration proof_timeout = std::chrono::seconds(2);
  std::size_t max_awaited_proofs = 4096;
  /// Flows kept to deny them at once since the upstream has returned a packet
  /// of them, 75 octets each. Needed until the agent knows all flows: after a
  /// loss of power, searches for thousands of flows visit it.
  std::size_t max_returned_flows = 16384;

  // Mode objectives.
  request_queue::options queue;
  upstream_meter::options meter;
  /// Requests at the upstream per slot, running and queued there. One queued
  /// for each slot keeps the slots busy while the next one is on its way.
  std::uint32_t passed_per_slot = 2;
  /// Callers send the first request of a flow at once. It counts as waiting for
  /// this long after the flow was admitted.
  duration request_awaited = std::chrono::milliseconds(100);
  /// Used where no limit is declared, or the route is not known.
  duration default_time_limit = std::chrono::seconds(3);
  /// Retransmissions of a request that was dropped are dropped for this long.
  /// Their interval is at most 1.6 s.
  duration expired_retention = std::chrono::seconds(2);
};

/// State of an agent for reports and metrics.
struct relay_status
{
  bool present = false; ///< upstream is alive and this agent is not stopping
  bool ended = false;   ///< the upstream announced its end and is silent
  bool leave_pending = false; ///< it announced its end and may still live
  bool draining = false;
  incarnation life;
  std::uint32_t slots = 0;
  std::size_t flows = 0;
  std::size_t busy = 0;        ///< flows whose request has no response yet
  std::size_t in_progress = 0; ///< of these, at the upstream and not overdue
  /// Buckets in which the upstream may hold flows, ascending.
  std::vector<std::uint16_t> held_buckets;
  bool knows_buckets = false; ///< their number, without which none is held
  bool knows_all_flows = false;
  std::uint64_t configuration = 0;
  std::size_t held_requests = 0;
  std::size_t held_openings = 0;
  std::size_t held_data = 0; ///< octets
  std::array<std::uint64_t, relay_event_count> events{};
};

/// Decisions of the agent on the host of an upstream that terminates the flows
/// itself. The upstream is authoritative for its flows; the flow table of the
/// agent only serves load counting, found messages and resets.
class relay_core
{
public:
  explicit relay_core(relay_options options);

  /// Takes over the routes that lead to this service, if the version is newer.
  void set_configuration(const configuration& declared);

  /// Number of buckets of the service, a power of two.
  void set_bucket_count(std::size_t count);

  /// `changes` must be relative to the present configuration or an earlier one.
  void change_routes(const route_changes& changes);

  /// Whether the agent's data centre is evacuated: its upstream gets no new
  /// flows and keeps those it has.
  void set_evacuated(bool evacuated)
  {
    evacuated_ = evacuated;
  }

  /// New flows in 1,000 s that a cold upstream of the service gets; 0: no
  /// limit. Unknown until the first call.
  void set_warm_up_rate(std::uint32_t flows)
  {
    warm_up_.set_rate(flows);
  }

  upstream_core& upstream()
  {
    return upstream_;
  }

  /// Takes an announcement of the upstream. A new start of the upstream ends
  /// all flows of the previous one.
  announcement_verdict announce(const upstream_announcement& value,
                                std::uint64_t wall_clock_ms, time_point now,
                                relay_sink& sink);
  /// The upstream announced that it ends. Resets its flows.
  announcement_verdict leave(const std::string& instance, time_point now,
                             relay_sink& sink);

  /// This process is stopping: admits no new flows, still relays packets.
  void set_stopping();

  void on_visit(const relay_message& message,
                const std::optional<flow_packet>& packet, time_point now,
                relay_sink& sink);

  void on_upstream_packet(byte_view bytes,
                          const std::optional<flow_packet>& packet,
                          time_point now, relay_sink& sink);

  /// Refuses and drops what has waited too long, and releases what the upstream
  /// can take; call at least every 50 ms while holds_packets().
  void serve_held(time_point now, relay_sink& sink);

  bool holds_packets() const
  {
    return !queue_.empty();
  }

  /// Evicts idle flows and logs slow requests; call about once a second.
  void on_tick(time_point now, relay_sink& sink);

  relay_status status(time_point now) const;

  /// The open flows of the upstream; empty while its start is not certain.
  flow_list list_flows(time_point now) const;

  /// Takes over a list of an earlier process. If the upstream still runs, the
  /// agent finds its flows without asking it; if it has started again, their
  /// callers are reset at once and need not wait for an answer.
  void restore_flows(const flow_list& kept, time_point now, relay_sink& sink);

  std::uint64_t configuration_version() const
  {
    return configuration_;
  }

  /// Newest configuration version seen in any message; may be newer than the
  /// agent's own.
  std::uint64_t newest_seen() const
  {
    return newest_seen_;
  }

private:
  struct flow_state
  {
    bool busy = false;
    bool answered = false; ///< the upstream sent a packet of the flow
    bool open = false;     ///< the upstream sent more than the accepting packet
    bool caller_finished = false;
    bool upstream_finished = false;
    bool ended = false; ///< kept for late packets only
    /// From the list of an earlier process; its upstream has not sent a packet
    /// of it since, so it may have ended.
    bool listed = false;
    std::uint32_t acknowledged = 0; ///< caller's latest; sequence of a reset
    time_point seen_since;
    time_point used;
    std::optional<time_point> opening; ///< first delivery, until answered
    time_point found_sent;
    time_point busy_since;
    bool wait_recorded = false; ///< request_waits was recorded
    std::string request_id;     ///< of the request in progress

    bool counted = false; ///< its request is in in_progress_
    time_point passed_at; ///< its request went to the upstream
    /// Its first request is awaited since then, and the opening packet came.
    std::optional<time_point> awaited_since;
    time_point opened;
    /// Position after the caller's data that went to the upstream.
    std::optional<std::uint32_t> passed_end;
    /// A held request was dropped then, with data up to this position.
    std::optional<std::pair<time_point, std::uint32_t>> expired;
    /// Number of the delivery of its latest opening packet; 0 if none.
    std::uint64_t opening_delivery = 0;
  };

  /// A copy of a packet that waits.
  struct held_packet
  {
    relay_header header;
    std::vector<std::uint8_t> bytes;
    flow_packet packet; ///< its request_id is empty
    std::string request_id;
  };

  /// A visit that is answered once the upstream has shown that it holds the
  /// flow.
  struct awaited_proof
  {
    relay_header visit;
    time_point since;
  };

  struct tracked_visit
  {
    std::uint32_t tag = 0;
    std::uint64_t delivery = 0; ///< counts from 1; tags start again
    flow_key flow;
    relay_header header;
  };

  /// `restarted`: the agent knew an earlier start of this upstream.
  void on_start_of_upstream(const upstream_announcement& value, bool restarted,
                            std::uint64_t wall_clock_ms, time_point now,
                            relay_sink& sink);
  void settle_leave(time_point now, relay_sink& sink);
  /// The upstream has ended, and its flows with it.
  void end_flows(time_point now, relay_sink& sink);
  void take_state(const upstream_announcement& value, time_point now);
  bool knows_all_flows(time_point now) const;
  /// Whether the upstream is known to have no open flow.
  bool lacks_open_flows(time_point now) const;
  /// Whether the flow is open, and was before the latest announcement of the
  /// current start.
  bool is_of_current_start(const flow_state& flow) const;
  std::vector<std::uint16_t> held_buckets(time_point now) const;
  bool opens_flows(const std::vector<route_target>& targets) const;
  waiting_terms terms_of(const route_objectives& objectives,
                         std::uint32_t timeout_ms) const;
  waiting_terms terms_of(const endpoint& address) const;
  bool route_allows(const endpoint& address) const;
  /// Refusal that does not depend on the load of the upstream.
  std::optional<relay_event> standing_refusal(const relay_header& header,
                                              const flow_packet& packet,
                                              time_point now) const;
  std::optional<relay_event> refusal(const relay_header& header,
                                     const flow_packet& packet,
                                     time_point now) const;
  void open_flow(const relay_message& message, const flow_packet& packet,
                 time_point now, relay_sink& sink);
  void refuse_flow(const relay_message& message, const flow_packet& packet,
                   relay_event reason, relay_sink& sink);
  void admit_flow(const relay_message& message, const flow_packet& packet,
                  time_point now, relay_sink& sink);

  // Opening packets by objectives (relay_admission_core.cpp).
  void decide_flow(relay_message message, const flow_packet& packet,
                   time_point now, relay_sink& sink);
  opening_view view_of(const relay_header& header, const waiting_terms& terms,
                       time_point now);
  bool take_share(time_point now);
  void hold_opening(const relay_message& message, const flow_packet& packet,
                    const waiting_terms& terms, time_point now,
                    relay_sink& sink);
  void answer_copy_of_held(const relay_header& header, const flow_key& key,
                           relay_sink& sink);
  bool admits_no_more(time_point now) const;
  /// Admits or refuses those that have been held for the longest time.
  void end_holds(time_point now, relay_sink& sink);
  void release_openings(time_point now, relay_sink& sink);
  void release_opening(const waiting_entry& entry, time_point now,
                       relay_sink& sink);
  /// Gives up an opening packet that has been held for `waited`.
  void refuse_held(const flow_key& flow, relay_event event, miss_reason reason,
                   duration waited, relay_sink& sink);
  void return_openings(time_point now, relay_sink& sink);

  // Requests on open flows by objectives (relay_requests_core.cpp).
  /// True if the packet is held, or dropped since it is not needed.
  bool hold_request(const relay_message& message, const flow_packet& packet,
                    time_point now, relay_sink& sink);
  bool hold_more(const relay_message& message, const flow_packet& packet,
                 time_point now, relay_sink& sink);
  bool hold_first(const relay_message& message, const flow_packet& packet,
                  flow_state& flow, time_point now);
  /// Stores a copy of the packet, in the order of the data.
  void keep(const relay_message& message, const flow_packet& packet);
  bool has_capacity() const;
  void await_request(const flow_key& key, flow_state& flow, time_point now);
  /// Flows whose first request is awaited; it is not awaited for long.
  std::size_t awaited_requests(time_point now);
  void release_requests(time_point now, relay_sink& sink);
  void release_request(const waiting_entry& entry, time_point now,
                       relay_sink& sink);
  void deliver_held(const flow_key& flow, time_point now, relay_sink& sink);
  void drop_expired_requests(time_point now, relay_sink& sink);
  void forget_held(const flow_key& flow);
  static void note_received(flow_state& flow, std::uint32_t position);
  bool is_overdue(const flow_key& key, time_point passed_at,
                  time_point now) const;
  void stop_counting_overdue(time_point now);
  static bool is_new_data(const flow_state& flow, const flow_packet& packet);

  void deliver(const relay_message& message, const flow_packet& packet,
               relay_sink& sink);
  void track_caller_packet(const flow_packet& packet, time_point now);
  void report_found(const relay_header& header, const flow_key& key,
                    time_point now, relay_sink& sink);
  /// Answers the visit: this agent holds the flow.
  void send_found(const relay_header& visit, const flow_key& key,
                  flow_state& flow, time_point now, relay_sink& sink);
  void send_found(const relay_header& visit, const flow_key& key,
                  relay_sink& sink);
  void on_locate(const relay_message& message, time_point now,
                 relay_sink& sink);
  /// The header of a visit after this agent, which cannot tell whether it holds
  /// the flow.
  static relay_header undecided(relay_header header);
  void pass_on(relay_header header, byte_view packet, miss_reason reason,
               relay_sink& sink);
  void return_missed(relay_header header, byte_view packet, miss_reason reason,
                     relay_sink& sink);
  /// The stop after the present one; none if the balancer gets the packet.
  static std::optional<std::uint8_t> next_stop(const relay_header& header);
  void on_bounced(byte_view bytes, const flow_packet& packet, time_point now,
                  relay_sink& sink);
  /// Whether the packet, returned from this visit, shows that the upstream does
  /// not hold the flow now.
  bool shows_absence(const tracked_visit& visit,
                     const flow_packet& packet) const;
  void track_upstream_packet(const flow_packet& packet, time_point now,
                             relay_sink& sink);
  void begin_request(const flow_key& key, flow_state& flow, time_point now);
  /// `status`: of the response; none when there was no response.
  void end_request(flow_state& flow, std::optional<std::uint16_t> status,
                   time_point now);
  /// Neither a response nor the first request is expected any more.
  void stop_waiting(flow_state& flow, time_point now);
  /// Takes the flow, which is about to be erased or ended, out of all counts.
  void release(const flow_key& key, flow_state& flow, time_point now);
  /// Whether the upstream is known not to hold the flow.
  bool lacks_flow(const flow_key& flow, time_point now) const;
  void end(const flow_key& flow, time_point now, relay_sink& sink);
  void erase(const flow_key& flow, time_point now, relay_sink& sink);
  void record_unanswered(const flow_key& flow, const flow_state& state,
                         relay_event event, time_point now, relay_sink& sink);
  relay_decision make_decision(relay_event event, const flow_key& flow,
                               const relay_header& header) const;
  using flow_iterator = std::unordered_map<flow_key, flow_state>::iterator;
  /// Resets the flow if it is open, and forgets it; returns the next one.
  flow_iterator reset_flow(flow_iterator at, time_point now, relay_sink& sink);
  bool knows_last_flows(time_point now) const;
  bool is_undecided_for_now(const flow_key& flow, time_point now) const;
  void inherit_flows();
  void reset_listed(time_point now, relay_sink& sink);
  /// Forgets the listed flows of which the upstream has not sent a packet.
  void forget_listed(time_point now);
  /// Resets and forgets the flows that the agent saw first before this time.
  void reset_flows(time_point before, time_point now, relay_sink& sink);
  void count(relay_event event)
  {
    ++events_[static_cast<std::size_t>(event)];
  }

  relay_options options_;
  const service_key service_;
  upstream_core upstream_;
  warm_up_limiter warm_up_;
  bool stopping_ = false;
  bool evacuated_ = false;
  bool saw_start_of_upstream_ = false;
  bool saw_first_announcement_ = false; ///< of the current start
  /// The list of an earlier process has all flows that this one has not seen.
  bool inherits_all_flows_ = false;
  /// An announcement, by the start that it is of and its number.
  struct numbered_announcement
  {
    upstream_start of;
    std::uint64_t number = 0;

    bool operator==(const numbered_announcement& other) const
    {
      return of == other.of && number == other.number;
    }
  };
  std::optional<numbered_announcement> first_announced_; ///< to this process
  /// The first one to this process has to be this one for it to inherit.
  std::optional<numbered_announcement> inheritable_;
  std::size_t bucket_count_ = 0;
  std::uint64_t configuration_ = 0;
  std::uint64_t newest_seen_ = 0;
  /// By address and port.
  std::unordered_map<std::uint64_t, waiting_terms> routes_;
  std::unordered_map<flow_key, flow_state> flows_;
  /// Of the listed flows, until the upstream has shown whether it is that one.
  upstream_start listed_of_;
  std::unordered_map<flow_key, awaited_proof> awaited_proofs_;
  returned_flows returned_; ///< none of them in flows_
  std::size_t busy_ = 0;
  std::size_t ended_flows_ = 0; ///< in flows_
  std::vector<tracked_visit> tracked_visits_;
  std::uint32_t next_tag_ = 1;
  std::uint64_t deliveries_ = 0;
  /// deliveries_ when the upstream announced its start.
  std::uint64_t deliveries_before_start_ = 0;
  std::array<std::uint64_t, relay_event_count> events_{};

  upstream_meter meter_;
  request_queue queue_;
  std::unordered_map<flow_key, held_packet> held_openings_;
  std::unordered_map<flow_key, std::vector<held_packet>> held_requests_;
  /// Requests in the order in which they were passed on, some already answered.
  std::deque<std::pair<time_point, flow_key>> passed_requests_;
  std::size_t in_progress_ = 0; ///< requests at the upstream, overdue ones not
  std::size_t awaited_ = 0;     ///< flows with awaited_since
  std::deque<std::pair<time_point, flow_key>> awaited_flows_; ///< by time
  double share_credit_ = 0; ///< an admitted opening packet takes 1
};

} // namespace toucanmill

#endif
