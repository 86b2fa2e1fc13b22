#ifndef TOUCANMILL_SRC_RELAY_AGENT_RELAY_LIST_MODEL_TEST_HPP
#define TOUCANMILL_SRC_RELAY_AGENT_RELAY_LIST_MODEL_TEST_HPP

// Agents with lists of open flows, of any age, beside upstreams that start
// again, and callers that use their ports again.

#include "relay_visit_test.hpp"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <tuple>

#include <CppUTest/TestHarness.h>

namespace toucanmill::relay_test
{

constexpr std::uint32_t reset_window = 76'800; ///< octets around a position
constexpr duration flow_window = 2s;
constexpr duration announcement_interval = 500ms;
constexpr std::uint16_t ports = 6;

/// What the model does wrong, to show that its checks see it, or does worse
/// than connections allow, which the agent withstands.
enum class list_flaw
{
  none,
  late_announcements_count_as_first, ///< withstood
  late_announcements_state_a_later_birth,
  callers_take_any_position,
  returned_packets_are_lost,
};

class list_model
{
public:
  explicit list_model(unsigned seed, list_flaw present = list_flaw::none)
      : random_(seed), flaw_(present), announces_birth_(seed % 2 == 0)
  {
    for (auto* node : {&nodes_[0], &nodes_[1]})
    {
      start_upstream(*node);
      start_agent(*node, {});
    }
  }

  void run(int steps)
  {
    for (int i = 0; i < steps; ++i)
    {
      const auto until = now_ + std::chrono::milliseconds(random_() % 60);
      while (!due_.empty() && due_.begin()->first <= until)
      {
        now_ = std::max(now_, due_.begin()->first);
        const auto act = std::move(due_.begin()->second);
        due_.erase(due_.begin());
        act();
      }
      now_ = until;
      step();
    }
  }

  struct counters
  {
    std::size_t cut = 0;      ///< open flows reset
    std::size_t astray = 0;   ///< open flows whose packets went elsewhere
    std::size_t claimed = 0;  ///< found messages after a returned packet
    std::size_t resets = 0;   ///< all
    std::size_t returned = 0; ///< packets
  };

  counters seen;

private:
  struct upstream_flow
  {
    std::uint32_t generation = 0;
    std::uint32_t next = 0;
  };

  /// What a returned packet says something about: the process of the agent, the
  /// start of the upstream, as it is and as the agent knows it, and the flow.
  using visit_state =
      std::tuple<std::size_t, std::size_t, incarnation, std::size_t>;

  struct node;

  struct agent_sink final : relay_sink
  {
    agent_sink(list_model& of, node& at) : all(of), here(at) {}
    void deliver(byte_view packet, std::uint32_t tag) override
    {
      all.on_deliver(here, id_of(packet), tag);
    }
    void send(const endpoint& to, const relay_header& header,
              byte_view packet) override
    {
      all.on_sent(here, to, header, {packet.data, packet.data + packet.size});
    }
    void reply(const endpoint&, byte_view packet) override
    {
      all.on_reply(here, id_of(packet));
    }
    void reset(const flow_key& flow, std::uint32_t position) override
    {
      all.on_reset(flow.caller.port, position);
    }
    void record(const relay_decision&) override {}
    void record_latency(relay_timing, duration) override {}

    list_model& all;
    node& here;
  };

  struct node
  {
    std::size_t index = 0;
    std::size_t start = 0; ///< of the upstream; 0: none yet
    std::uint64_t born_ms = 0;
    std::uint64_t sequence = 0;
    time_point next_announcement;
    time_point runs_from; ///< the upstream; packets before are lost
    std::map<std::uint16_t, upstream_flow> held;
    std::size_t process = 0; ///< of the agent
    std::unique_ptr<relay_core> agent;
    std::unique_ptr<agent_sink> sink;
    std::vector<flow_list> kept;
    std::map<std::uint16_t, std::size_t> openings; ///< delivered, by port
    std::set<std::uint16_t> denied; ///< their packets were returned
  };

  struct caller_flow
  {
    std::uint32_t generation = 0;
    bool open = false;
    std::size_t holder = 0; ///< index of the node
    std::size_t start = 0;  ///< of its upstream
    std::uint32_t acknowledged = 0;
    std::uint32_t next = 1;
    /// Packets at the other upstream since the last one at its own.
    std::vector<time_point> lost;
  };

  struct packet
  {
    flow_packet fields;
    std::uint32_t generation = 0;
  };

  using octets = std::vector<std::uint8_t>;

  bool chance(unsigned one_in)
  {
    return random_() % one_in == 0;
  }

  /// After the way between two processes; some messages take long.
  void later(std::function<void()> act)
  {
    const auto delay = std::chrono::microseconds(
        100 + random_() % (chance(20) ? 300'000 : 5'000));
    due_.emplace(now_ + delay, std::move(act));
  }

  octets add(const flow_packet& fields, std::uint32_t generation)
  {
    packets_.push_back({fields, generation});
    const auto id = packets_.size() - 1;
    return {static_cast<std::uint8_t>(id >> 16),
            static_cast<std::uint8_t>(id >> 8), static_cast<std::uint8_t>(id)};
  }

  static std::size_t id_of(byte_view view)
  {
    return std::size_t{view.data[0]} << 16 | std::size_t{view.data[1]} << 8 |
           view.data[2];
  }

  std::uint64_t wall_clock_ms() const
  {
    return milliseconds_of(now_.time_since_epoch() + clock_offset_);
  }

  // Upstreams and their announcements (relay_list_model_test.cpp).
  void start_upstream(node& at);
  void announce(node& at);
  void deliver(node& at, const upstream_announcement& value);
  void on_deliver(node& at, std::size_t id, std::uint32_t tag);
  void on_delivered(node& at, std::size_t id, std::uint32_t tag,
                    const visit_state& sent);
  void respond(node& at, const flow_packet& fields, std::uint32_t generation);

  // Agents and their lists.

  void start_agent(node& at, const flow_list& list)
  {
    auto options = agent_options(now_);
    options.max_tracked_visits = 256;
    ++at.process;
    at.index = static_cast<std::size_t>(&at - nodes_.data());
    at.denied.clear();
    at.agent = std::make_unique<relay_core>(options);
    at.sink = std::make_unique<agent_sink>(*this, at);
    at.agent->set_configuration(routes_to(5, {{"notes", 1}}));
    due_.emplace(now_ + std::chrono::milliseconds(random_() % 400),
                 [this, &at, list, process = at.process]
                 {
                   if (process == at.process)
                     at.agent->restore_flows(list, now_, *at.sink);
                 });
  }

  void restart_agent(node& at)
  {
    const auto kind = random_() % 3;
    if (kind == 0 || at.kept.empty())
      return start_agent(at, {});
    start_agent(at, kind == 1 ? at.kept.back()
                              : at.kept[random_() % at.kept.size()]);
  }

  void keep_list(node& at)
  {
    if (auto list = at.agent->list_flows(now_); !(list == flow_list{}))
      at.kept.push_back(std::move(list));
  }

  void on_sent(node& from, const endpoint& to, const relay_header& header,
               const octets& body)
  {
    if (header.kind == relay_kind::found)
      seen.claimed += from.denied.count(
          decode_flow({body.data(), body.size()})->caller.port);
    if (chance(20))
      return;
    later(
        [this, &from, to, header, body]
        {
          if (header.kind == relay_kind::visit)
            return visit_agent(nodes_[to.address.value - 100], header, body);
          on_answer(from, header, body);
        });
  }

  void visit_agent(node& at, const relay_header& header, const octets& body)
  {
    const byte_view view{body.data(), body.size()};
    std::optional<flow_packet> fields;
    if (!header.locates)
      fields = packets_[id_of(view)].fields;
    at.agent->on_visit({header, view}, fields, now_, *at.sink);
  }

  // The balancer.

  relay_message visit_of(std::uint16_t port)
  {
    auto message = visit();
    message.header.stops = {};
    const auto first = random_() % 2;
    const auto known = memory_.find(port);
    message.header.remembered = known != memory_.end();
    if (message.header.remembered)
      message.header.stops.add(
          endpoint_at(100U + static_cast<std::uint32_t>(known->second)));
    else
      for (const auto stop : {first, 1 - first})
        message.header.stops.add(
            endpoint_at(100U + static_cast<std::uint32_t>(stop)));
    return message;
  }

  void send(const relay_header& header, const octets& body)
  {
    if (!chance(20))
      later(
          [this, header, body]
          {
            visit_agent(nodes_[header.stops.agents[0].address.value - 100],
                        header, body);
          });
  }

  void send_data(std::uint16_t port)
  {
    auto header = visit_of(port).header;
    if (header.remembered)
      return send(header, data_of(port));
    header.locates = true;
    const auto key = encode(data(port).from_caller());
    send(header, {key.begin(), key.end()});
  }

  void on_answer(node& from, const relay_header& header, const octets& body)
  {
    const byte_view view{body.data(), body.size()};
    const bool is_key = header.locates || header.kind == relay_kind::found;
    const auto port = is_key ? decode_flow(view)->caller.port
                             : packets_[id_of(view)].fields.source.port;
    if (header.kind == relay_kind::found)
    {
      memory_[port] = from.index;
      // The packets that waited for the search.
      for (auto burst = header.locates ? random_() % 16 : 0; burst > 0; --burst)
        send(visit_of(port).header, data_of(port));
      return;
    }
    memory_.erase(port);
    if (header.locates && header.undecided != 0)
      send(visit_of(port).header, data_of(port));
    if (!header.locates && callers_[port].open && !chance(8))
      send_data(port); // a balancer goes on with the packet
  }

  // Callers.

  octets data_of(std::uint16_t port)
  {
    auto& flow = callers_[port];
    auto fields = data(port);
    fields.sequence = flow.next;
    fields.acknowledged = flow.acknowledged;
    return add(fields, flow.generation);
  }

  void open_flow(std::uint16_t port)
  {
    auto& flow = callers_[port];
    if (flow.open)
      end_flow(port);
    flow = {};
    flow.generation = ++generations_;
    auto& at = nodes_[random_() % 2];
    memory_[port] = at.index;
    const auto body = add(opening(port), flow.generation);
    send(visit_of(port).header, body);
  }

  /// The upstream knows it at once; its agent only in half of all cases.
  void end_flow(std::uint16_t port)
  {
    auto& at = nodes_[callers_[port].holder];
    at.held.erase(port);
    if (!chance(2))
      return;
    auto last = answer(data(port));
    last.resets = true;
    const auto body = add(last, callers_[port].generation);
    at.agent->on_upstream_packet({body.data(), body.size()}, last, now_,
                                 *at.sink);
  }

  bool is_held(const caller_flow& flow, std::uint16_t port) const
  {
    const auto& at = nodes_[flow.holder];
    const auto held = at.held.find(port);
    return flow.open && flow.start == at.start && held != at.held.end() &&
           held->second.generation == flow.generation;
  }

  void on_reply(node& at, std::size_t id)
  {
    const auto& [fields, generation] = packets_[id];
    auto& flow = callers_[fields.destination.port];
    if (generation != flow.generation || fields.resets)
      return;
    flow.acknowledged = fields.sequence + fields.payload_size;
    flow.next = std::max(flow.next, fields.acknowledged);
    if (flow.open)
      return;
    flow.open = true;
    flow.holder = at.index;
    flow.start = at.start;
  }

  void on_reset(std::uint16_t port, std::uint32_t position)
  {
    ++seen.resets;
    auto& flow = callers_[port];
    const auto distance =
        static_cast<std::int32_t>(position - flow.acknowledged);
    const bool hits = flaw_ == list_flaw::callers_take_any_position ||
                      std::abs(std::int64_t{distance}) <= reset_window;
    seen.cut += is_held(flow, port) && hits ? 1 : 0;
  }

  void note_arrival(const node& at, std::uint16_t port,
                    std::uint32_t generation, bool opens)
  {
    auto& flow = callers_[port];
    if (generation != flow.generation || opens || !is_held(flow, port))
      return;
    if (at.index == flow.holder)
    {
      flow.lost.clear();
      return;
    }
    flow.lost.push_back(now_);
    if (flow.lost.size() >= 3 && now_ - flow.lost.front() >= flow_window)
    {
      ++seen.astray;
      flow = {};
    }
  }

  void step()
  {
    for (auto& at : nodes_)
      if (now_ >= at.next_announcement)
      {
        announce(at);
        keep_list(at);
        at.agent->on_tick(now_, *at.sink);
      }
    auto& at = nodes_[random_() % 2];
    if (chance(120))
      start_upstream(at);
    if (chance(80))
      restart_agent(at);
    if (chance(200))
      clock_offset_ -= std::chrono::milliseconds(random_() % 2'000);
    const auto port = static_cast<std::uint16_t>(1 + random_() % ports);
    if (chance(25))
      open_flow(port);
    if (chance(40))
      memory_.erase(port);
    for (std::uint16_t each = 1; each <= ports; ++each)
      if (callers_[each].open && chance(each % 2 == 0 ? 3 : 60))
        send_data(each);
  }

  std::mt19937 random_;
  list_flaw flaw_;
  bool announces_birth_;
  time_point now_ = start;
  duration clock_offset_{0};
  std::multimap<time_point, std::function<void()>> due_;
  std::deque<packet> packets_;
  std::uint32_t generations_ = 0;
  std::array<node, 2> nodes_;
  std::map<std::uint16_t, caller_flow> callers_;
  std::map<std::uint16_t, std::size_t> memory_; ///< node by port
};

} // namespace toucanmill::relay_test

#endif
