#include <toucanmill/relay/entry_core.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <set>

#include <toucanmill/table/flow_hash.hpp>

#include "relay_fixture_test.hpp"

using namespace toucanmill;
using namespace toucanmill::relay_test;

namespace
{

/// Times at which a caller sends a packet that stays unanswered.
constexpr std::array transmissions{0ms, 200ms, 600ms, 1400ms};

constexpr std::uint32_t first_agent = 10;

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

} // namespace

TEST_GROUP(entry_search){};

// Guards against open flows whose retransmissions are all lost at the same dead
// agents, which the table still lists, when their balancer has just restarted.
TEST(entry_search, flows_of_a_restarted_balancer_get_past_dead_agents)
{
  constexpr std::size_t agents = 55;
  constexpr std::uint16_t flows = 600;
  search_run run(agents);
  const std::set<std::uint32_t> dead{3, 17, 21, 38, 44, 50};
  for (const auto agent : dead)
    run.kill(endpoint_at(first_agent + agent));
  for (std::uint16_t port = 0; port < flows; ++port)
    if (const std::uint32_t agent = port % agents; dead.count(agent) == 0)
      run.place(port, endpoint_at(first_agent + agent));
  for (const auto at : transmissions)
    run.send_all(start + at);
  CHECK_EQUAL(run.flows(), run.reached());
  CHECK_EQUAL(0U, run.resets());
}

// Guards against an open flow that is never found because two agents that the
// table still lists are dead, each in another stage of its search.
TEST(entry_search, flow_behind_dead_agents_of_two_stages_is_found)
{
  constexpr std::uint16_t port = 1;
  search_run run(55);
  const auto stages = search_stages(
      run.core.table(), *run.core.table().find_route(public_address()),
      flow_hash(data(port).from_caller()));
  run.kill(stages[0].stops.agents[1]);
  run.kill(stages[1].stops.agents[1]);
  run.place(port, stages[2].stops.agents[1]);
  for (const auto at : transmissions)
    run.send_all(start + at);
  CHECK_EQUAL(1U, run.reached());
}

// Guards against copies to all agents for each packet of a caller's burst; only
// a retransmission shows that the packet before was lost.
TEST(entry_search, packets_of_one_burst_are_one_attempt)
{
  constexpr std::uint16_t port = 1;
  search_run run(5);
  run.core.set_confirmed(start);
  for (const auto at : {0ms, 1ms, 40ms})
    CHECK_TRUE(std::holds_alternative<visit_agent>(
        run.core.on_packet(data(port), start + at)));
  CHECK_TRUE(std::holds_alternative<visit_all>(
      run.core.on_packet(data(port), start + 200ms)));
}

// Guards against a reset of an open flow whose upstream did not answer a probe
// in time, for example while its machine stood still.
TEST(entry_search, unresponsive_agent_is_asked_last_and_before_a_reset)
{
  constexpr std::uint16_t port = 1;
  search_run run(3);
  const auto first =
      std::get<visit_agent>(run.core.on_packet(data(port), start));
  run.core.on_packet(data(port), start + 200ms);
  run.core.set_confirmed(start + 600ms);
  const auto silent = first.header.stops.agents[0];
  for (std::size_t i = 1; i < first.header.stops.size; ++i)
    run.core.on_missed(first.header, first.header.stops.agents[i], data(port),
                       start + 210ms);
  const auto next =
      std::get<visit_agent>(run.core.on_packet(data(port), start + 600ms));
  CHECK_EQUAL(2U, next.header.stops.size);
  const auto last = std::get<visit_agent>(run.core.on_missed(
      next.header, next.header.stops.agents[1], data(port), start + 601ms));
  CHECK_TRUE(last.agent == silent);
}

// Guards against a reset of an open flow because a late answer to an earlier
// attempt, which visited other agents, counts for the present one.
TEST(entry_search, late_answer_to_an_earlier_attempt_does_not_end_the_search)
{
  constexpr std::uint16_t port = 1;
  search_run run(3);
  const auto first =
      std::get<visit_agent>(run.core.on_packet(data(port), start));
  run.core.on_packet(data(port), start + 200ms);
  run.core.set_confirmed(start + 600ms);
  run.core.on_found(first.header, first.header.stops.agents[2],
                    data(port + 1).from_caller(), start + 210ms);
  const auto next =
      std::get<visit_agent>(run.core.on_packet(data(port), start + 600ms));
  CHECK_EQUAL(1U, next.header.stops.size);
  const auto action = run.core.on_missed(
      first.header, first.header.stops.agents[2], data(port), start + 601ms);
  CHECK_TRUE(std::get<entry_drop>(action) == entry_drop::stale_answer);
}
