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

// Guards against an open flow that is never found because control publishes a
// new table between any two retransmissions: probes are the only way past a
// dead agent that the table still lists.
TEST(entry_search, new_tables_between_attempts_do_not_keep_probes_back)
{
  constexpr std::uint16_t port = 1;
  search_run run(5);
  const auto stops =
      std::get<visit_agent>(run.core.on_packet(data(port), start)).header.stops;
  run.kill(stops.agents[0]);
  run.place(port, stops.agents[1]);
  std::uint64_t index = 1;
  for (const auto at : {200ms, 600ms, 1400ms, 3000ms, 4600ms, 6200ms})
  {
    run.core.set_table(table_of(++index, routes_to(5, {{"notes", 1}}),
                                {service("notes", 1, first_agent, 5)}));
    run.send_all(start + at);
  }
  CHECK_EQUAL(1U, run.reached());
}

// Guards against a search that a wrong found message ends: an agent whose
// upstream was not chosen for the flow reports it too, and passes the packet on
// when its upstream returns it.
TEST(entry_search, search_goes_on_after_a_wrong_found_message)
{
  constexpr std::uint16_t port = 1;
  search_run run(20);
  run.core.set_confirmed(start);
  const auto first =
      std::get<visit_agent>(run.core.on_packet(data(port), start));
  run.core.on_found(first.header, first.header.stops.agents[2],
                    data(port).from_caller(), start + 1ms);
  const auto action = run.core.on_missed(
      first.header, first.header.stops.agents[15], data(port), start + 20ms);
  const auto* next = std::get_if<visit_agent>(&action);
  CHECK_TRUE(next != nullptr);
  CHECK_EQUAL(1, next->header.stage);
}

// Guards against a reset of an open flow by a miss of an earlier attempt. That
// attempt had put the flow's agent, which had left a probe unanswered, into its
// last stage; the present one visits the agent in the first stage.
TEST(entry_search, late_miss_by_other_stages_does_not_reset_an_open_flow)
{
  constexpr std::uint16_t port = 1;
  entry_options chosen;
  chosen.self = endpoint_at(1, 7720);
  chosen.max_probes_per_tick = 1; // used up by the first flow
  entry_core core(chosen);
  core.set_table(
      table_of(1, routes_to(5, {{"notes", 1}, {"images", 1}}),
               {service("notes", 1, 10, 3), service("images", 2, 20, 2)}));
  core.set_confirmed(start);

  // A flow of the same services leaves a probe unanswered at one agent.
  const auto& table = core.table();
  const auto stages = search_stages(table, *table.find_route(public_address()),
                                    flow_hash(data(port).from_caller()));
  CHECK_EQUAL(2U, stages.size());
  std::uint16_t other = port + 1;
  while (search_stages(table, *table.find_route(public_address()),
                       flow_hash(data(other).from_caller()))[0]
             .service != stages[0].service)
    ++other;
  const auto holder = stages[0].stops.agents[stages[0].stops.size - 1U];
  core.on_packet(data(other), start);
  const auto probes =
      std::get<visit_all>(core.on_packet(data(other), start + 200ms));
  for (const auto& probe : probes.visits)
    if (probe.header.probe && !(probe.agent == holder))
      core.on_missed(probe.header, probe.agent, data(other), start + 210ms);

  // First attempt for the open flow: the holder comes last.
  const auto first =
      std::get<visit_agent>(core.on_packet(data(port), start + 400ms));
  CHECK_EQUAL(stages[0].stops.size - 1U, first.header.stops.size);
  const auto second = std::get<visit_agent>(core.on_missed(
      first.header, first.header.stops.agents[first.header.stops.size - 1U],
      data(port), start + 410ms));
  CHECK_EQUAL(1, second.header.stage);

  // The holder answers for another flow. The next attempt visits it in the
  // first stage, and its packet is under way.
  core.on_found(first.header, holder, data(other).from_caller(), start + 500ms);
  core.set_confirmed(start + 520ms);
  const auto present =
      std::get<visit_agent>(core.on_packet(data(port), start + 520ms));
  CHECK_EQUAL(stages[0].stops.size, present.header.stops.size);

  const auto action = core.on_missed(
      second.header, second.header.stops.agents[second.header.stops.size - 1U],
      data(port), start + 521ms);
  CHECK_FALSE(std::holds_alternative<reset_caller>(action));
  CHECK_FALSE(std::holds_alternative<await_table>(action));
}

// Guards against a reset of an open flow by an answer that is not late: a miss
// of a search by the previous table makes new stages while another packet of
// the flow is under way by the present table.
TEST(entry_search, miss_by_an_older_table_does_not_change_the_stages_of_others)
{
  constexpr std::uint16_t port = 1;
  entry_options chosen;
  chosen.self = endpoint_at(1, 7720);
  entry_core core(chosen);
  const auto publish = [&](std::uint64_t index)
  {
    core.set_table(
        table_of(index, routes_to(5, {{"notes", 1}, {"images", 1}}),
                 {service("notes", 1, 10, 3), service("images", 2, 20, 2)}));
  };
  publish(1);
  const auto stages =
      search_stages(core.table(), *core.table().find_route(public_address()),
                    flow_hash(data(port).from_caller()));
  std::uint16_t other = port + 1;
  while (search_stages(core.table(), *core.table().find_route(public_address()),
                       flow_hash(data(other).from_caller()))[0]
             .service != stages[0].service)
    ++other;
  const auto holder = stages[0].stops.agents[stages[0].stops.size - 1U];
  core.on_packet(data(other), start);
  const auto probes =
      std::get<visit_all>(core.on_packet(data(other), start + 200ms));
  for (const auto& probe : probes.visits)
    if (probe.header.probe && !(probe.agent == holder))
      core.on_missed(probe.header, probe.agent, data(other), start + 210ms);

  // Two packets of one burst, by two tables; the holder comes last.
  const auto old_visit =
      std::get<visit_agent>(core.on_packet(data(port), start + 400ms));
  publish(2);
  const auto first =
      std::get<visit_agent>(core.on_packet(data(port), start + 401ms));
  const auto second = std::get<visit_agent>(core.on_missed(
      first.header, first.header.stops.agents[first.header.stops.size - 1U],
      data(port), start + 405ms));
  core.on_found(first.header, holder, data(other).from_caller(), start + 406ms);
  core.on_missed(
      old_visit.header,
      old_visit.header.stops.agents[old_visit.header.stops.size - 1U],
      data(port), start + 407ms);
  core.set_confirmed(start + 408ms);
  const auto action = core.on_missed(
      second.header, second.header.stops.agents[second.header.stops.size - 1U],
      data(port), start + 410ms);
  CHECK_FALSE(std::holds_alternative<reset_caller>(action));
  CHECK_FALSE(std::holds_alternative<await_table>(action));
}

// Guards against packets that reach other upstreams for longer than two seconds
// while only one flow is searched for and a data centre's agents are dead.
TEST(entry_search, flow_behind_dead_agents_of_three_stages_is_found_in_time)
{
  constexpr std::uint16_t port = 1;
  search_run run(64);
  const auto stages = search_stages(
      run.core.table(), *run.core.table().find_route(public_address()),
      flow_hash(data(port).from_caller()));
  for (std::size_t i = 0; i < 3; ++i)
    run.kill(stages[i].stops.agents[1]);
  run.place(port, stages[3].stops.agents[1]);
  for (const auto at : transmissions)
    run.send_all(start + at);
  CHECK_EQUAL(1U, run.reached());
}

// Guards against a flow that is never found because dead agents are forgotten
// before the search has got past those of the other stages.
TEST(entry_search, dead_agents_are_not_forgotten_while_a_search_goes_on)
{
  constexpr std::uint16_t port = 1;
  search_run run(96);
  const auto stages = search_stages(
      run.core.table(), *run.core.table().find_route(public_address()),
      flow_hash(data(port).from_caller()));
  for (std::size_t i = 0; i < 5; ++i)
    run.kill(stages[i].stops.agents[1]);
  run.place(port, stages[5].stops.agents[1]);
  duration at{0};
  for (const auto wait : {200ms, 400ms, 800ms})
  {
    run.send_all(start + at);
    at += wait;
  }
  for (int i = 0; i < 20; ++i)
  {
    run.core.on_tick(start + at);
    run.send_all(start + at);
    at += 1600ms;
  }
  CHECK_EQUAL(1U, run.reached());
}

// Guards against a sound agent that missed one probe, for example because the
// balancer's own link was choked, and is then visited after a dead one that the
// table marks as suspect.
TEST(entry_search, sound_agents_come_before_those_that_the_table_marks)
{
  constexpr std::uint16_t port = 1;
  auto table = service("notes", 1, first_agent, 5);
  entry_options chosen;
  chosen.self = endpoint_at(1, 7720);
  entry_core core(chosen);
  core.set_table(table_of(1, routes_to(5, {{"notes", 1}}), {table}));
  const auto order =
      std::get<visit_agent>(core.on_packet(data(port), start)).header.stops;
  for (auto& holder : table.holders)
    holder.suspect = holder.agent == order.agents[0];
  core.set_table(table_of(2, routes_to(5, {{"notes", 1}}), {table}));
  // The second of these packets probes the four live agents.
  core.on_packet(data(port), start + 3000ms);
  CHECK_TRUE(std::holds_alternative<visit_all>(
      core.on_packet(data(port), start + 3200ms)));
  // The third probes the marked agent; the next attempt starts anew.
  CHECK_TRUE(std::holds_alternative<visit_all>(
      core.on_packet(data(port), start + 3600ms)));
  const auto next =
      std::get<visit_agent>(core.on_packet(data(port), start + 3800ms));
  CHECK_FALSE(next.header.stops.agents[0] == order.agents[0]);
}

// Guards against retransmissions that all go to one silent agent: the balancer
// remembers the first stop of the opening packet, the flow was opened at
// another agent through another balancer, and the first stop has died.
TEST(entry_search, remembered_agent_that_stays_silent_is_not_the_only_one_asked)
{
  constexpr std::uint16_t port = 1;
  search_run run(5);
  const auto opened =
      std::get<visit_agent>(run.core.on_packet(opening(port), start));
  run.kill(opened.agent);
  run.place(port, opened.header.stops.agents[1]);
  duration at = 2s;
  for (const auto wait : {200ms, 400ms, 800ms, 1600ms, 1600ms, 1600ms})
  {
    run.send_all(start + at);
    at += wait;
  }
  CHECK_EQUAL(1U, run.reached());
}

// Guards against a search whose packets are lost in most stages when a whole
// data centre has lost its power and its agents are still listed as live.
TEST(entry_search, flows_get_past_the_agents_of_a_lost_data_centre)
{
  constexpr std::size_t agents = 55;
  constexpr std::uint16_t flows = 600;
  search_run run(agents);
  for (std::uint32_t agent = 0; agent < agents; agent += 3)
    run.kill(endpoint_at(first_agent + agent));
  for (std::uint16_t port = 0; port < flows; ++port)
    if (const std::uint32_t agent = port % agents; agent % 3 != 0)
      run.place(port, endpoint_at(first_agent + agent));
  for (const auto at : transmissions)
    run.send_all(start + at);
  CHECK_EQUAL(run.flows(), run.reached());
}

// Guards against one packet of a flow that has ended being sent to all
// upstreams again and again, and never answered with a reset, because each
// confirmation comes with a new table that changes another service only.
TEST(entry_search, new_tables_of_other_services_do_not_restart_a_search)
{
  constexpr std::uint16_t port = 1;
  entry_options chosen;
  chosen.self = endpoint_at(1, 7720);
  entry_core core(chosen);
  const auto publish = [&](std::uint64_t index)
  {
    core.set_table(table_of(
        index, routes_to(5, {{"notes", 1}}),
        {service("notes", 1, 10, 3), service("images", 2, 100, 3 + index)}));
  };
  publish(1);
  std::size_t walks = 0;
  bool reset = false;
  for (std::uint64_t i = 0; i < 20 && !reset; ++i)
  {
    // The confirmation that the held packet waits for comes with a new table.
    const auto now = start + std::chrono::milliseconds(50 * i);
    publish(2 + i);
    core.set_confirmed(now - 10ms);
    auto action = core.on_packet(data(port), now);
    while (const auto* visit = std::get_if<visit_agent>(&action))
    {
      ++walks;
      const auto header = visit->header;
      action =
          core.on_missed(header, header.stops.agents[header.stops.size - 1U],
                         data(port), now + 1ms);
    }
    reset = std::holds_alternative<reset_caller>(action);
  }
  CHECK_TRUE(reset);
  CHECK_EQUAL(1U, walks);
}

// Guards against a reset of an open flow that an agent has reported since the
// search ended without a result: the earlier result no longer counts.
TEST(entry_search, found_message_discards_an_earlier_not_found_result)
{
  constexpr std::uint16_t port = 1;
  search_run run(3);
  run.core.set_confirmed(start);
  const auto arrival = start + 500ms;
  const auto first =
      std::get<visit_agent>(run.core.on_packet(data(port), arrival));
  const auto& stops = first.header.stops;
  CHECK_TRUE(std::holds_alternative<await_table>(run.core.on_missed(
      first.header, stops.agents[2], data(port), arrival + 1ms)));
  run.core.on_found(first.header, stops.agents[1], data(port).from_caller(),
                    arrival + 2ms);
  run.core.set_confirmed(arrival + 3ms);
  const auto next =
      std::get<visit_agent>(run.core.on_packet(data(port), arrival + 4ms));
  CHECK_TRUE(next.header.remembered);
  const auto action = run.core.on_missed(next.header, stops.agents[1],
                                         data(port), arrival + 5ms);
  CHECK_FALSE(std::holds_alternative<reset_caller>(action));
}
