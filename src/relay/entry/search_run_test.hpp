#ifndef TOUCANMILL_SRC_RELAY_SEARCH_RUN_TEST_HPP
#define TOUCANMILL_SRC_RELAY_SEARCH_RUN_TEST_HPP

#include <algorithm>
#include <array>
#include <map>
#include <set>

#include <toucanmill/relay/entry_core.hpp>
#include <toucanmill/table/flow_hash.hpp>

#include "../relay_fixture_test.hpp"

namespace toucanmill::relay_test
{

/// Times at which a caller sends a packet that stays unanswered.
inline constexpr std::array transmissions{0ms, 200ms, 600ms, 1400ms};

inline constexpr std::uint32_t first_agent = 10;

/// Plays the agents that a balancer's packets visit. Each answer reaches the
/// balancer before the next packet does.
class search_run
{
public:
  explicit search_run(std::size_t holders)
  {
    core.set_table(table_of(1, routes_to(5, {{"notes", 1}}),
                            {service("notes", 1, first_agent, holders)}));
  }

  /// Packets that visit this agent are lost.
  void kill(const endpoint& agent)
  {
    dead_.insert(agent);
  }

  void place(std::uint16_t port, const endpoint& holder)
  {
    holder_[port] = holder;
  }

  /// Sends a packet of each flow that has not reached its holder yet.
  void send_all(time_point now)
  {
    core.set_confirmed(now);
    for (const auto& [port, agent] : holder_)
      if (reached_.count(port) == 0)
        play(port, core.on_packet(data(port), now), now);
  }

  std::size_t flows() const
  {
    return holder_.size();
  }

  std::size_t reached() const
  {
    return reached_.size();
  }

  std::size_t resets() const
  {
    return resets_;
  }

  entry_core core{options()};

private:
  static entry_options options()
  {
    entry_options value;
    value.self = endpoint_at(1, 7720);
    return value;
  }

  void play(std::uint16_t port, const entry_action& action, time_point now)
  {
    if (const auto* visit = std::get_if<visit_agent>(&action))
      walk(port, visit->header, now);
    else if (const auto* all = std::get_if<visit_all>(&action))
      for (const auto& each : all->visits)
        walk(port, each.header, now);
    else if (std::holds_alternative<reset_caller>(action))
      ++resets_;
  }

  /// Visits the stops in order until one is dead or holds the flow.
  void walk(std::uint16_t port, relay_header header, time_point now)
  {
    for (std::size_t i = 0; i < header.stops.size; ++i)
    {
      const auto& agent = header.stops.agents[i];
      if (dead_.count(agent) != 0)
        return;
      if (holder_.at(port) == agent)
      {
        reached_.insert(port);
        core.on_found(header, agent, data(port).from_caller(), now);
        return;
      }
    }
    header.kind = relay_kind::missed;
    play(port,
         core.on_missed(header, header.stops.agents[header.stops.size - 1U],
                        data(port), now),
         now);
  }

  std::set<endpoint> dead_;
  std::map<std::uint16_t, endpoint> holder_;
  std::set<std::uint16_t> reached_;
  std::size_t resets_ = 0;
};

/// The stages in which a new search visits the agents of a flow.
inline std::vector<search_stage> stages_of(const entry_core& core,
                                           std::uint16_t port)
{
  const auto& table = core.table();
  return search_stages(table, *table.find_route(public_address()),
                       flow_hash(data(port).from_caller()));
}

} // namespace toucanmill::relay_test

#endif
