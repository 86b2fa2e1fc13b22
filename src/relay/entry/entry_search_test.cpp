#include "search_run_test.hpp"

#include <CppUTest/TestHarness.h>

using namespace toucanmill;
using namespace toucanmill::relay_test;

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
  const auto stages = stages_of(run.core, port);
  run.kill(stages[0].stops.agents[1]);
  run.kill(stages[1].stops.agents[1]);
  run.place(port, stages[2].stops.agents[1]);
  for (const auto at : transmissions)
    run.send_all(start + at);
  CHECK_EQUAL(1U, run.reached());
}

// Guards against a search by each packet of a caller's burst; only a
// retransmission shows that the packet before was lost.
TEST(entry_search, packets_of_one_burst_are_one_attempt)
{
  constexpr std::uint16_t port = 1;
  search_run run(5);
  run.core.set_confirmed(start);
  CHECK_TRUE(std::holds_alternative<visit_agent>(
      run.core.on_packet(data(port), start)));
  for (const auto at : {1ms, 40ms})
    CHECK_TRUE(std::holds_alternative<await_search>(
        run.core.on_packet(data(port), start + at)));
  CHECK_TRUE(std::holds_alternative<visit_all>(
      run.core.on_packet(data(port), start + 200ms)));
}

// Guards against a reset of an open flow whose upstream did not answer a probe
// in time, for example while its machine stood still.
TEST(entry_search, unresponsive_agent_is_asked_last_and_before_a_reset)
{
  constexpr std::uint16_t port = 1;
  constexpr std::uint16_t other = 2;
  search_run run(3);
  const auto first =
      std::get<visit_agent>(run.core.on_packet(data(port), start));
  const auto probes =
      std::get<visit_all>(run.core.on_packet(data(port), start + 200ms));
  run.core.set_confirmed(start + 600ms);
  const auto silent = first.header.stops.agents[0];
  for (const auto& probe : probes.visits)
    if (!(probe.agent == silent))
      run.core.on_missed(probe.header, probe.agent, data(port), start + 210ms);
  // The others have denied this flow.
  const auto next =
      std::get<visit_agent>(run.core.on_packet(data(port), start + 600ms));
  CHECK_EQUAL(1U, next.header.stops.size);
  CHECK_TRUE(next.agent == silent);
  // They have not been asked for this one.
  const auto fresh =
      std::get<visit_agent>(run.core.on_packet(data(other), start + 600ms));
  CHECK_EQUAL(2U, fresh.header.stops.size);
  const auto last = std::get<visit_agent>(run.core.on_missed(
      fresh.header, fresh.header.stops.agents[1], data(other), start + 601ms));
  CHECK_TRUE(last.agent == silent);
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

// Guards against probes and further attempts for a flow whose packet still
// visits agents: with many stages that takes longer than an attempt may stay
// without an answer.
TEST(entry_search, search_that_gets_answers_is_not_repeated)
{
  constexpr std::uint16_t port = 1;
  search_run run(96);
  run.core.set_confirmed(start);
  const auto flow = data(port).from_caller();
  const auto first =
      std::get<visit_agent>(run.core.on_packet(data(port), start));
  auto visits =
      std::get<visit_all>(run.core.on_missed(first.header, first.agent,
                                             data(port), start + 60ms))
          .visits;
  CHECK_EQUAL(4U, visits.size());
  duration at = 60ms;
  for (const auto& visit : visits)
  {
    at += 60ms;
    CHECK_TRUE(run.core.progress(flow, start + at) == search_progress::waiting);
    CHECK_TRUE(std::holds_alternative<await_search>(
        run.core.on_packet(data(port), start + at)));
    run.core.on_missed(visit.header, visit.agent, data(port), start + at);
  }
  CHECK_TRUE(run.core.progress(flow, start + at + 150ms) ==
             search_progress::overdue);
}

// Guards against a search through many agents that takes longer than callers
// wait: the stages after the first are visited in parallel, and the flow is
// reset only after the last one has answered.
TEST(entry_search, stages_of_a_round_are_visited_in_parallel)
{
  constexpr std::uint16_t port = 1;
  search_run run(160);
  run.core.set_confirmed(start);
  auto visits = std::vector<visit_agent>{
      std::get<visit_agent>(run.core.on_packet(data(port), start))};
  std::size_t rounds = 0;
  std::size_t stages = 0;
  entry_action action;
  while (!visits.empty())
  {
    ++rounds;
    std::vector<visit_agent> next;
    for (const auto& visit : visits)
    {
      CHECK_FALSE(std::holds_alternative<reset_caller>(action));
      ++stages;
      action = run.core.on_missed(visit.header, visit.agent, data(port), start);
      if (const auto* all = std::get_if<visit_all>(&action))
        next = all->visits;
      else if (const auto* one = std::get_if<visit_agent>(&action))
        next = {*one};
    }
    visits = next;
  }
  CHECK_TRUE(std::holds_alternative<reset_caller>(action));
  CHECK_EQUAL(10U, stages);
  CHECK_EQUAL(3U, rounds);
}

// Guards against packets that reach other upstreams for longer than two seconds
// while only one flow is searched for and a data centre's agents are dead.
TEST(entry_search, flow_behind_dead_agents_of_three_stages_is_found_in_time)
{
  constexpr std::uint16_t port = 1;
  search_run run(64);
  const auto stages = stages_of(run.core, port);
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
  const auto stages = stages_of(run.core, port);
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
      std::get<visit_agent>(core.on_packet(data(port), start + 4100ms));
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

// Guards against an open flow that is found only after seconds while control is
// away: many dead agents are listed as live, one at least in each stage, and
// each retransmission got past one stage only (2.8 s in a run of 300
// machines).
TEST(entry_search, flow_behind_dead_agents_of_every_stage_is_found_in_time)
{
  constexpr std::uint16_t port = 1;
  search_run run(160);
  const auto stages = stages_of(run.core, port);
  for (const auto& stage : stages)
    run.kill(stage.stops.agents[1]);
  run.place(port, stages.back().stops.agents[2]);
  for (const auto at : transmissions)
    run.send_all(start + at);
  CHECK_EQUAL(1U, run.reached());
}
