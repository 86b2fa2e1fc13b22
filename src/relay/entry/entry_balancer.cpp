#include <toucanmill/relay/entry_balancer.hpp>

#include <utility>

#include <toucanmill/base/clock.hpp>
#include <toucanmill/net/packet_loop.hpp>
#include <toucanmill/net/udp_channel.hpp>

#include "pending_searches.hpp"

namespace toucanmill
{

namespace
{

constexpr duration tick_interval = std::chrono::seconds(1);

/// Minimum time between two requests to confirm the table.
constexpr duration table_request_interval = std::chrono::milliseconds(20);

/// Interval between checks for searches without an answer.
constexpr duration search_check_interval = std::chrono::milliseconds(50);

/// Packets held until the table is confirmed.
constexpr std::size_t max_pending_packets = 256;

class entry_balancer_thread final : public entry_balancer
{
public:
  entry_balancer_thread(entry_balancer_options options, udp_channel callers,
                        udp_channel agents)
      : options_(std::move(options)), callers_(std::move(callers)),
        agents_(std::move(agents)), core_(options_.entry)
  {
    loop_.watch(callers_.descriptor(),
                [this]
                {
                  return read_callers();
                });
    loop_.watch(agents_.descriptor(),
                [this]
                {
                  return read_agents();
                });
    loop_.every(tick_interval,
                [this]
                {
                  core_.on_tick(monotonic_now());
                });
    loop_.after_each_round(
        [this]
        {
          flush();
        });
    loop_.start();
  }

  ~entry_balancer_thread() override
  {
    loop_.stop();
  }

  void set_table(std::shared_ptr<const relay_table> table) override
  {
    loop_.post(
        [this, table = std::move(table)]
        {
          core_.set_table(table);
        });
  }

  void set_confirmed(time_point at) override
  {
    loop_.post(
        [this, at]
        {
          core_.set_confirmed(at);
          retry_pending_packets();
        });
  }

  entry_status status() override
  {
    return loop_.call<entry_status>(
        [this]
        {
          const auto& table = core_.table();
          return entry_status{core_.counters(),
                              table.version(),
                              table.configuration_version(),
                              core_.remembered_flows(),
                              core_.unresponsive_agents(monotonic_now()),
                              packets_,
                              waiting_dropped_};
        });
  }

private:
  bool read_callers()
  {
    const auto now = monotonic_now();
    const auto count = callers_.receive(
        [&](byte_view datagram, const endpoint&)
        {
          ++packets_;
          handle(datagram, now);
        });
    return count == udp_channel::batch_size;
  }

  void handle(byte_view datagram, time_point now)
  {
    const auto packet = options_.codec->parse(datagram);
    if (packet && must_wait(*packet, now))
      return wait_for_search(packet->from_caller(), datagram);
    const auto action = decide(packet, datagram, now);
    if (packet)
      keep_for_search(action, *packet, datagram);
  }

  /// Whether the packet's flow has to be searched for later.
  bool must_wait(const flow_packet& packet, time_point now) const
  {
    return searches_.must_wait(packet.from_caller()) &&
           core_.would_search(packet, now);
  }

  void wait_for_search(const flow_key& flow, byte_view datagram)
  {
    if (!searches_.wait(flow, datagram))
      ++waiting_dropped_;
  }

  void keep_for_search(const entry_action& action, const flow_packet& packet,
                       byte_view datagram)
  {
    if (is_search(action, packet))
      searches_.hold(packet.from_caller(), datagram);
    if (std::holds_alternative<await_search>(action))
      wait_for_search(packet.from_caller(), datagram);
  }

  entry_action decide(const std::optional<flow_packet>& packet,
                      byte_view datagram, time_point now)
  {
    const auto action = core_.on_packet(packet, now);
    execute(action, packet, datagram);
    if (packet && !is_routine(action, *packet))
      report(action, *packet, nullptr, {}, now);
    return action;
  }

  void send_due_searches()
  {
    const auto now = monotonic_now();
    if (searches_.empty() || now < next_search_check_)
      return;
    next_search_check_ = now + search_check_interval;
    const auto progress = [&](const flow_key& flow)
    {
      return core_.progress(flow, now);
    };
    for (const auto& packet : searches_.take_due(progress))
    {
      const byte_view datagram{packet.data(), packet.size()};
      decide(options_.codec->parse(datagram), datagram, now);
    }
  }

  /// Decides again about the packets held for a confirmation of the table.
  void retry_pending_packets()
  {
    const auto now = monotonic_now();
    for (const auto& packet : std::exchange(pending_packets_, {}))
      handle({packet.data(), packet.size()}, now);
  }

  void on_found(const relay_header& header, const endpoint& agent,
                const flow_key& flow, time_point now)
  {
    core_.on_found(header, agent, flow, now);
    next_search_check_ = {};
    // The agent has the packet that found it, unless it was only asked.
    for (const auto& packet : header.locates ? searches_.take_all(flow)
                                             : searches_.take_waiting(flow))
      handle({packet.data(), packet.size()}, now);
  }

  bool read_agents()
  {
    const auto now = monotonic_now();
    const auto count = agents_.receive(
        [&](byte_view datagram, const endpoint& agent)
        {
          if (const auto message = decode_relay_message(datagram))
            handle(*message, agent, now);
        });
    return count == udp_channel::batch_size;
  }

  void handle(const relay_message& message, const endpoint& agent,
              time_point now)
  {
    const auto& [header, packet] = message;
    if (header.kind == relay_kind::missed && header.locates)
      on_not_located(header, packet, agent, now);
    else if (header.kind == relay_kind::missed)
      on_missed(header, packet, agent, now);
    else if (header.kind == relay_kind::found)
      if (const auto flow = decode_flow(packet))
        on_found(header, agent, *flow, now);
  }

  /// The agents were asked without the packet, which is held here. It is copied
  /// since a reset gives it up.
  void on_not_located(const relay_header& header, byte_view body,
                      const endpoint& agent, time_point now)
  {
    const auto flow = decode_flow(body);
    if (!flow)
      return;
    const auto packet = searches_.sent_packet(*flow);
    on_missed(header, {packet.data(), packet.size()}, agent, now);
  }

  void on_missed(const relay_header& header, byte_view packet,
                 const endpoint& agent, time_point now)
  {
    const auto parsed = options_.codec->parse(packet);
    const bool may_search =
        !parsed || !searches_.must_wait(parsed->from_caller());
    const auto action = core_.on_missed(header, agent, parsed, now, may_search);
    execute(action, parsed, packet);
    if (parsed && header.remembered)
      keep_for_search(action, *parsed, packet);
    if (parsed && (!header.probe || header.remembered))
      report(action, *parsed, &header, agent, now);
  }

  static bool is_search(const entry_action& action, const flow_packet& packet)
  {
    const auto* visit = std::get_if<visit_agent>(&action);
    return std::holds_alternative<visit_all>(action) ||
           (visit != nullptr && !visit->header.remembered && !packet.opens);
  }

  static bool is_routine(const entry_action& action, const flow_packet& packet)
  {
    if (std::holds_alternative<await_search>(action))
      return true;
    if (const auto* drop = std::get_if<entry_drop>(&action))
      return *drop == entry_drop::unknown_reset;
    const auto* visit = std::get_if<visit_agent>(&action);
    return visit != nullptr && (visit->header.remembered || packet.opens);
  }

  /// `returned`: header with which an agent returned the packet; null for a
  /// packet from the caller.
  void report(const entry_action& action, const flow_packet& packet,
              const relay_header* returned, const endpoint& agent,
              time_point now)
  {
    if (!options_.on_decision)
      return;
    entry_decision value;
    value.action = action;
    value.flow = packet.from_caller();
    value.opens = packet.opens;
    value.request_id = packet.request_id;
    if (returned != nullptr)
    {
      value.returned_by = agent;
      value.returned_for = returned->reason;
    }
    value.table = core_.table().version();
    value.configuration = core_.table().configuration_version();
    value.confirmed_ago = core_.confirmed_ago(now);
    options_.on_decision(value);
  }

  /// `parsed`: the content of `packet`; a decision to visit agents follows from
  /// a valid packet only.
  void send(const visit_agent& visit, const std::optional<flow_packet>& parsed,
            byte_view packet)
  {
    if (!visit.header.locates)
      return agents_.send(visit.agent, encode(visit.header).view(), packet);
    const auto flow = encode(parsed->from_caller());
    agents_.send(visit.agent, encode(visit.header).view(),
                 {flow.data(), flow.size()});
  }

  void execute(const entry_action& action,
               const std::optional<flow_packet>& parsed, byte_view packet)
  {
    if (const auto* visit = std::get_if<visit_agent>(&action))
      send(*visit, parsed, packet);
    if (const auto* all = std::get_if<visit_all>(&action))
      for (const auto& visit : all->visits)
        send(visit, parsed, packet);
    if (const auto* reset = std::get_if<reset_caller>(&action))
    {
      const auto bytes =
          options_.codec->make_reset(reset->flow, reset->sequence);
      callers_.send({reset->flow.caller.address, options_.caller_port}, {},
                    {bytes.data(), bytes.size()});
      searches_.drop(reset->flow);
      next_search_check_ = {};
    }
    // Above the limit the packet is dropped; the caller's retransmission takes
    // the same path.
    if (std::holds_alternative<await_table>(action) &&
        pending_packets_.size() < max_pending_packets)
      pending_packets_.emplace_back(packet.data, packet.data + packet.size);
  }

  void flush()
  {
    send_due_searches();
    if (!searches_.empty())
      loop_.wake_at(next_search_check_);
    agents_.flush();
    callers_.flush();
    const bool newer = core_.wants_table();
    // Without a table the node reports as often as it can anyway.
    const bool waits =
        !pending_packets_.empty() &&
        core_.table().version() != table_version{} &&
        monotonic_now() - table_requested_at_ >= table_request_interval;
    if ((waits || (newer && !newer_table_requested_)) &&
        options_.on_table_wanted)
    {
      table_requested_at_ = monotonic_now();
      options_.on_table_wanted();
    }
    newer_table_requested_ = newer;
  }

  const entry_balancer_options options_;
  udp_channel callers_;
  udp_channel agents_;
  entry_core core_;
  std::uint64_t packets_ = 0;
  std::uint64_t waiting_dropped_ = 0; ///< for want of room in searches_
  bool newer_table_requested_ = false;
  time_point table_requested_at_;
  pending_searches searches_{pending_searches::options{}};
  time_point next_search_check_;
  std::vector<std::vector<std::uint8_t>> pending_packets_;
  packet_loop loop_;
};

} // namespace

result<std::unique_ptr<entry_balancer>>
entry_balancer::start(entry_balancer_options options)
{
  BOOST_OUTCOME_TRY(callers, udp_channel::open(options.callers));
  BOOST_OUTCOME_TRY(agents, udp_channel::open(options.entry.self));
  return std::unique_ptr<entry_balancer>(
      std::make_unique<entry_balancer_thread>(
          std::move(options), std::move(callers), std::move(agents)));
}

} // namespace toucanmill
