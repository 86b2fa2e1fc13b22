#include "late_answers_test.hpp"

#include <cstdlib>

#include <CppUTest/TestHarness.h>

using namespace toucanmill;
using namespace toucanmill::relay_test;

namespace
{

constexpr std::uint16_t port = 1;

/// Agents that the visits of the action send the packet itself to.
std::set<endpoint> packet_stops(const entry_action& action)
{
  std::set<endpoint> agents;
  const auto add = [&agents](const visit_agent& visit)
  {
    const auto& stops = visit.header.stops;
    if (!visit.header.locates)
      agents.insert(stops.agents.begin(), stops.agents.begin() + stops.size);
  };
  if (const auto* visit = std::get_if<visit_agent>(&action))
    add(*visit);
  if (const auto* all = std::get_if<visit_all>(&action))
    for (const auto& visit : all->visits)
      add(visit);
  return agents;
}

/// The last stop of the visit returns the message.
entry_action miss(entry_core& core, const visit_agent& visit, duration at,
                  std::uint16_t undecided = 0)
{
  auto header = visit.header;
  header.kind = relay_kind::missed;
  header.undecided = undecided;
  return core.on_missed(header, header.stops.agents[header.stops.size - 1U],
                        data(port), start + at);
}

/// Uses up the probes of a second by attempts for other flows.
void use_up_probes(entry_core& core)
{
  for (std::uint16_t other = 100; other < 200; ++other)
    core.on_packet(data(other), start);
  for (std::uint16_t other = 100; other < 200; ++other)
    core.on_packet(data(other), start + 150ms);
}

enum class holder_place
{
  first_stage,
  later_stage,
  later_stage_down, ///< and the agent is dead for the first second
};

struct run_result
{
  std::size_t unreached = 0; ///< flows not at their holder within the window
  std::size_t repeated = 0;  ///< flows of which one other agent got more than 2
  std::size_t resets = 0;
  std::size_t visits = 0;
};

/// Plays one flow while the balancer searches for as many others as it may.
void play(holder_place place, duration delay, unsigned seed, run_result& result)
{
  constexpr std::size_t undecided = 50;
  constexpr std::size_t dead = 3;
  constexpr std::uint16_t others = 11;
  constexpr auto flow_window = 2s;
  std::mt19937 random(seed);
  late_answers_run run(delay);
  const auto watched = static_cast<std::uint16_t>(1 + seed);
  const auto stages = stages_of(run.core, watched);
  const auto& stage = place == holder_place::first_stage
                          ? stages.front()
                          : stages[1 + random() % (stages.size() - 1)];
  const auto holder = stage.stops.agents[random() % stage.stops.size];
  std::vector<endpoint> rest;
  for (const auto& each : stages)
    for (std::size_t i = 0; i < each.stops.size; ++i)
      if (!(each.stops.agents[i] == holder))
        rest.push_back(each.stops.agents[i]);
  std::shuffle(rest.begin(), rest.end(), random);
  run.place(watched, holder);
  run.make_undecided(holder);
  if (place == holder_place::later_stage_down)
    run.kill(holder, 1s);
  for (std::size_t i = 0; i + 1 < undecided; ++i)
    run.make_undecided(rest[i]);
  for (std::size_t i = 0; i < dead; ++i)
    run.kill(rest[undecided + i]);
  for (std::uint16_t i = 0; i < others; ++i)
    run.place(static_cast<std::uint16_t>(1000 + i), rest[100 + i]);
  run.play_until(flow_window);
  result.unreached += run.reached(watched) ? 0 : 1;
  run.play_until(2 * flow_window);
  result.repeated += run.most_misplaced(watched) > 2 ? 1 : 0;
  result.resets += run.resets();
  result.visits += run.visits();
}

/// Set to print the result of each group of runs.
constexpr auto print_variable = "LATE_ANSWERS_PRINT";

void check_runs(holder_place place,
                const std::vector<duration>& delays = {300ms, 700ms})
{
  constexpr unsigned runs = 20;
  std::vector<run_result> results(delays.size());
  for (std::size_t i = 0; i < delays.size(); ++i)
  {
    for (unsigned seed = 0; seed < runs; ++seed)
      play(place, delays[i], seed, results[i]);
    const auto& [unreached, repeated, resets, visits] = results[i];
    if (std::getenv(print_variable) != nullptr)
      UT_PRINT(
          StringFromFormat("%u runs, answers after %d ms: %zu not reached, "
                           "%zu repeated, %zu resets, %zu messages",
                           runs, static_cast<int>(delays[i].count()), unreached,
                           repeated, resets, visits));
  }
  for (const auto& result : results)
  {
    CHECK_EQUAL(0U, result.unreached);
    CHECK_EQUAL(0U, result.repeated);
    CHECK_EQUAL(0U, result.resets);
  }
}

} // namespace

TEST_GROUP(late_answers){};

// Guards against an open flow whose agent has restarted and never gets the
// packet: its answer that it cannot tell came after the next attempt began.
TEST(late_answers, undecided_agents_of_a_late_answer_get_the_packet)
{
  late_answers_run run(0ms);
  auto& core = run.core;
  core.set_confirmed(start);
  const auto first = std::get<visit_agent>(core.on_packet(data(port), start));
  const auto round = std::get<visit_all>(miss(core, first, 10ms));
  const auto& late = round.visits[0];
  CHECK_TRUE(late.header.locates);
  core.on_packet(data(port), start + 200ms);
  const auto asked = late.header.stops.agents[2];
  CHECK_EQUAL(1U, packet_stops(miss(core, late, 300ms, 1U << 2)).count(asked));
}

// Guards against packets of an open flow that all go to the same wrong agents,
// while others are never asked, because no probes are left for this second.
TEST(late_answers, attempt_without_probes_asks_the_next_agents)
{
  late_answers_run run(0ms);
  auto& core = run.core;
  use_up_probes(core);
  const auto first = packet_stops(core.on_packet(data(port), start + 160ms));
  const auto again = core.on_packet(data(port), start + 300ms);
  for (const auto& agent : packet_stops(again))
    CHECK_EQUAL(0U, first.count(agent));
  CHECK_TRUE(std::holds_alternative<visit_all>(again) ||
             std::holds_alternative<visit_agent>(again));
}

// Guards against an agent that denied an open flow and gets its packets again
// with a retransmission, because the denial is older than search_timeout.
TEST(late_answers, agent_that_denied_a_flow_gets_no_retransmission_of_it)
{
  late_answers_run run(0ms);
  auto& core = run.core;
  core.set_confirmed(start);
  const auto first = std::get<visit_agent>(core.on_packet(data(port), start));
  const auto denied = packet_stops(first);
  miss(core, first, 10ms);
  for (const auto at : {200ms, 600ms, 1400ms, 3000ms})
    for (const auto& agent :
         packet_stops(core.on_packet(data(port), start + at)))
      CHECK_EQUAL(0U, denied.count(agent));
}

// Guards against sound agents that are visited last for ten seconds because the
// balancer's own link is full and delivers all answers late. An agent without
// any answer still counts as unresponsive within half of the flow window.
TEST(late_answers, agents_are_responsive_while_all_answers_come_late)
{
  constexpr std::uint16_t other = 2;
  search_run run(5);
  auto& core = run.core;
  core.on_packet(data(port), start);
  const auto probes =
      std::get<visit_all>(core.on_packet(data(port), start + 150ms)).visits;
  CHECK_EQUAL(5U, probes.size());
  for (const auto& probe : probes)
    miss(core, probe, 450ms);
  core.on_packet(data(other), start + 500ms);
  CHECK_TRUE(std::holds_alternative<visit_all>(
      core.on_packet(data(other), start + 1100ms)));
  CHECK_EQUAL(0U, core.unresponsive_agents(start + 1300ms));
  CHECK_EQUAL(5U, core.unresponsive_agents(start + 2200ms));
}

// Guards against a balancer that forgets the right agent of an open flow since
// its own link is full, and searches for the flow at wrong ones.
TEST(late_answers, remembered_agent_is_kept_while_answers_come_late)
{
  constexpr std::uint16_t other = 2;
  search_run run(5);
  auto& core = run.core;
  core.on_packet(opening(port), start);
  core.on_packet(opening(other), start);
  core.on_packet(data(other), start);
  const auto question =
      std::get<visit_agent>(core.on_packet(data(other), start + 200ms));
  CHECK_TRUE(question.header.probe);
  core.on_found(question.header, question.agent, data(other).from_caller(),
                start + 700ms);
  const auto first =
      std::get<visit_agent>(core.on_packet(data(port), start + 1s));
  for (const auto at : {1200ms, 1600ms})
  {
    const auto again =
        std::get<visit_agent>(core.on_packet(data(port), start + at));
    CHECK_TRUE(again.header.remembered);
    CHECK_TRUE(again.agent == first.agent);
  }
  core.on_packet(data(port), start + 2400ms);
  CHECK_EQUAL(1U, core.counters().searches);
}

// Guards against searches beyond the limit, which keep a full link full: an
// agent has restarted and returns the packets of all flows remembered there.
TEST(late_answers, search_for_a_returned_flow_waits_for_its_turn)
{
  search_run run(5);
  auto& core = run.core;
  core.on_packet(opening(port), start);
  const auto visit =
      std::get<visit_agent>(core.on_packet(data(port), start + 10ms));
  CHECK_TRUE(visit.header.remembered);
  auto header = visit.header;
  header.kind = relay_kind::missed;
  CHECK_TRUE(std::holds_alternative<await_search>(
      core.on_missed(header, visit.agent, data(port), start + 20ms, false)));
  CHECK_EQUAL(0U, core.counters().searches);
  CHECK_TRUE(core.would_search(data(port), start + 20ms));
}

// Guards against the same for a flow whose remembered agent is silent.
TEST(late_answers, search_for_a_flow_of_a_silent_agent_waits_for_its_turn)
{
  search_run run(5);
  auto& core = run.core;
  core.on_packet(opening(port), start);
  for (const auto at : {10ms, 210ms})
    core.on_packet(data(port), start + at);
  CHECK_FALSE(core.would_search(data(port), start + 250ms));
  CHECK_TRUE(core.would_search(data(port), start + 610ms));
  CHECK_EQUAL(0U, core.counters().searches);
}

// Guards against an open flow of which only wrong upstreams get packets: the
// agent has restarted and is not in the first stage.
TEST(late_answers, flow_of_a_restarted_agent_of_a_later_stage_reaches_it)
{
  check_runs(holder_place::later_stage);
}

// Guards against the same with the agent in the first stage.
TEST(late_answers, flow_of_a_restarted_agent_of_the_first_stage_reaches_it)
{
  check_runs(holder_place::first_stage);
}

// Guards against the same with an agent that is down when the search starts:
// what was sent to it in the meantime is lost.
TEST(late_answers, flow_of_an_agent_that_was_down_reaches_it)
{
  check_runs(holder_place::later_stage_down);
}

// Guards against the same while answers come as fast as on a sound link.
TEST(late_answers, flow_of_an_agent_that_was_down_reaches_it_on_a_fast_link)
{
  check_runs(holder_place::later_stage_down, {30ms, 60ms, 100ms});
}

// Guards against the same in single runs beyond those above.
TEST(late_answers, flow_of_an_agent_that_was_down_reaches_it_in_later_seeds)
{
  const std::vector<std::pair<duration, unsigned>> runs = {
      {30ms, 133},  {60ms, 95},  {60ms, 133},
      {700ms, 160}, {800ms, 80}, {800ms, 160}};
  run_result result;
  for (const auto& [delay, seed] : runs)
    play(holder_place::later_stage_down, delay, seed, result);
  CHECK_EQUAL(0U, result.unreached);
}
