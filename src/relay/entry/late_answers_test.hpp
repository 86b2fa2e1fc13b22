#ifndef TOUCANMILL_SRC_RELAY_LATE_ANSWERS_TEST_HPP
#define TOUCANMILL_SRC_RELAY_LATE_ANSWERS_TEST_HPP

#include <map>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "pending_searches.hpp"
#include "search_run_test.hpp"

namespace toucanmill::relay_test
{

/// A balancer whose link delivers the answers of agents late, before 160
/// agents. Each call of step() plays 10 ms. The balancer's part is that of
/// entry_balancer.
class late_answers_run
{
public:
  static constexpr std::size_t agents = 160;
  static constexpr duration step_length = 10ms;

  explicit late_answers_run(duration delay) : delay_(delay)
  {
    core.set_table(table_of(1, routes_to(5, {{"notes", 1}}),
                            {service("notes", 1, first_agent, agents)}));
  }

  /// Restarted a short time ago: cannot tell whether its upstream holds a flow.
  void make_undecided(const endpoint& agent)
  {
    undecided_.insert(agent);
  }

  /// Messages to the agent are lost until then.
  void kill(const endpoint& agent, duration until = 1h)
  {
    dead_until_[agent] = until;
  }

  /// The caller's packets start at once; it repeats the one without an answer.
  void place(std::uint16_t port, const endpoint& holder)
  {
    flows_[port].holder = holder;
  }

  void play_until(duration end)
  {
    for (; at_ < end; at_ += step_length)
      step();
  }

  std::optional<duration> reached(std::uint16_t port) const
  {
    return flows_.at(port).reached;
  }

  /// Most packets of the flow that one other agent gave its upstream.
  std::size_t most_misplaced(std::uint16_t port) const
  {
    std::size_t most = 0;
    for (const auto& [agent, packets] : flows_.at(port).misplaced)
      most = std::max(most, packets);
    return most;
  }

  std::size_t resets() const
  {
    return resets_;
  }

  /// Messages that the balancer sent to agents.
  std::size_t visits() const
  {
    return visits_;
  }

  entry_core core{options()};

private:
  static constexpr std::array caller_sends{0ms, 200ms, 600ms, 1400ms, 3000ms};

  struct flow_play
  {
    endpoint holder;
    std::optional<duration> reached;
    std::map<endpoint, std::size_t> misplaced;
  };

  struct agent_message
  {
    relay_header header;
    endpoint agent;
    std::uint16_t port;
  };

  static entry_options options()
  {
    entry_options value;
    value.self = endpoint_at(1, 7720);
    return value;
  }

  static flow_key flow_of(std::uint16_t port)
  {
    return data(port).from_caller();
  }

  static pending_searches::packet_bytes bytes_of(std::uint16_t port)
  {
    return {static_cast<std::uint8_t>(port >> 8U),
            static_cast<std::uint8_t>(port & 255U)};
  }

  static std::uint16_t port_of(const pending_searches::packet_bytes& packet)
  {
    return static_cast<std::uint16_t>(packet[0] << 8U | packet[1]);
  }

  time_point now() const
  {
    return start + at_;
  }

  void step()
  {
    core.set_confirmed(now());
    if (at_ > duration{0} && at_ % 1s == duration{0})
      core.on_tick(now());
    for (const auto port : std::exchange(awaiting_table_, {}))
      handle(port);
    deliver_answers();
    for (const auto wait : caller_sends)
      if (at_ == wait)
        for (const auto& [port, flow] : flows_)
          if (!flow.reached)
            handle(port);
    if (at_ >= next_check_)
      send_due();
  }

  void deliver_answers()
  {
    while (!under_way_.empty() && under_way_.begin()->first <= at_)
    {
      const auto message = under_way_.begin()->second;
      under_way_.erase(under_way_.begin());
      if (message.header.kind == relay_kind::found)
        on_found(message);
      else
        on_missed(message);
    }
  }

  void on_found(const agent_message& message)
  {
    const auto& [header, agent, port] = message;
    const auto flow = flow_of(port);
    core.on_found(header, agent, flow, now());
    next_check_ = at_;
    for (const auto& packet : header.locates ? searches_.take_all(flow)
                                             : searches_.take_waiting(flow))
      handle(port_of(packet));
  }

  void on_missed(const agent_message& message)
  {
    const auto& [header, agent, port] = message;
    const bool lacks_packet =
        header.locates && searches_.sent_packet(flow_of(port)).empty();
    const auto packet =
        lacks_packet ? std::nullopt : std::optional<flow_packet>{data(port)};
    const auto action = core.on_missed(header, agent, packet, now());
    execute(action, port);
    if (packet && header.remembered)
      keep(action, port);
  }

  void handle(std::uint16_t port)
  {
    const auto bytes = bytes_of(port);
    if (searches_.must_wait(flow_of(port)) &&
        core.would_search(data(port), now()))
    {
      searches_.wait(flow_of(port), {bytes.data(), bytes.size()});
      return;
    }
    const auto action = core.on_packet(data(port), now());
    execute(action, port);
    keep(action, port);
  }

  void keep(const entry_action& action, std::uint16_t port)
  {
    const auto bytes = bytes_of(port);
    const auto* visit = std::get_if<visit_agent>(&action);
    if (std::holds_alternative<visit_all>(action) ||
        (visit != nullptr && !visit->header.remembered))
      searches_.hold(flow_of(port), {bytes.data(), bytes.size()});
    if (std::holds_alternative<await_search>(action))
      searches_.wait(flow_of(port), {bytes.data(), bytes.size()});
  }

  void send_due()
  {
    next_check_ = at_ + 50ms;
    const auto progress = [this](const flow_key& flow)
    {
      return core.progress(flow, now());
    };
    for (const auto& packet : searches_.take_due(progress))
      execute(core.on_packet(data(port_of(packet)), now()), port_of(packet));
  }

  void execute(const entry_action& action, std::uint16_t port)
  {
    if (const auto* visit = std::get_if<visit_agent>(&action))
      travel(visit->header, port);
    if (const auto* all = std::get_if<visit_all>(&action))
      for (const auto& visit : all->visits)
        travel(visit.header, port);
    if (std::holds_alternative<reset_caller>(action))
    {
      ++resets_;
      searches_.drop(flow_of(port));
    }
    if (std::holds_alternative<await_table>(action))
      awaiting_table_.push_back(port);
  }

  bool is_dead(const endpoint& agent) const
  {
    const auto found = dead_until_.find(agent);
    return found != dead_until_.end() && at_ < found->second;
  }

  /// The message goes from stop to stop until an agent is dead or reports the
  /// flow.
  void travel(relay_header header, std::uint16_t port)
  {
    ++visits_;
    auto& flow = flows_.at(port);
    for (std::size_t i = 0; i < header.stops.size; ++i)
    {
      const auto& agent = header.stops.agents[i];
      if (is_dead(agent))
        return;
      const bool holds = flow.holder == agent;
      const bool undecided = undecided_.count(agent) != 0;
      if (holds && !header.locates && !flow.reached)
        flow.reached = at_;
      if (holds && !(header.locates && undecided))
        return answer(header, relay_kind::found, agent, port);
      if (undecided && header.locates)
        header.undecided |= static_cast<std::uint16_t>(1U << i);
      else if (undecided)
        ++flow.misplaced[agent];
    }
    answer(header, relay_kind::missed,
           header.stops.agents[header.stops.size - 1U], port);
  }

  void answer(relay_header header, relay_kind kind, const endpoint& agent,
              std::uint16_t port)
  {
    header.kind = kind;
    under_way_.emplace(at_ + delay_, agent_message{header, agent, port});
  }

  duration delay_;
  duration at_{0};
  duration next_check_{0};
  std::set<endpoint> undecided_;
  std::map<endpoint, duration> dead_until_;
  std::map<std::uint16_t, flow_play> flows_;
  std::multimap<duration, agent_message> under_way_;
  std::vector<std::uint16_t> awaiting_table_;
  pending_searches searches_{pending_searches::options{}};
  std::size_t resets_ = 0;
  std::size_t visits_ = 0;
};

} // namespace toucanmill::relay_test

#endif
