#include "search_run_test.hpp"

#include <map>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace toucanmill;
using namespace toucanmill::relay_test;

namespace
{

/// A balancer before two services, and a flow whose agent is visited last since
/// it left a probe for another flow unanswered.
class unresponsive_holder_run
{
public:
  explicit unresponsive_holder_run(std::size_t max_probes_per_tick)
      : core(options(max_probes_per_tick))
  {
    publish(1);
    core.set_confirmed(start);
    const auto stages = stages_of(core, port);
    CHECK_EQUAL(2U, stages.size());
    while (stages_of(core, other)[0].service != stages[0].service)
      ++other;
    holders = stages[0].stops.size;
    holder = stages[0].stops.agents[holders - 1U];
    core.on_packet(data(other), start);
    const auto probes =
        std::get<visit_all>(core.on_packet(data(other), start + 200ms));
    for (const auto& probe : probes.visits)
      if (probe.header.probe && !(probe.agent == holder))
        core.on_missed(probe.header, probe.agent, data(other), start + 210ms);
  }

  /// Installs a table of the same content.
  void publish(std::uint64_t index)
  {
    core.set_table(
        table_of(index, routes_to(5, {{"notes", 1}, {"images", 1}}),
                 {service("notes", 1, 10, 3), service("images", 2, 20, 2)}));
  }

  visit_agent send(duration at)
  {
    return std::get<visit_agent>(core.on_packet(data(port), start + at));
  }

  /// The last stop of the visit returns the packet.
  entry_action miss(const visit_agent& visit, duration at)
  {
    const auto& stops = visit.header.stops;
    return core.on_missed(visit.header, stops.agents[stops.size - 1U],
                          data(port), start + at);
  }

  /// The holder reports another flow, so it is responsive again.
  void holder_answers(duration at)
  {
    core.on_found({}, holder, data(other).from_caller(), start + at);
  }

  static constexpr std::uint16_t port = 1;
  std::uint16_t other = port + 1; ///< a flow of the same service
  entry_core core;
  endpoint holder;
  std::size_t holders = 0; ///< of the service that is searched first

private:
  static entry_options options(std::size_t max_probes_per_tick)
  {
    entry_options value;
    value.self = endpoint_at(1, 7720);
    value.max_probes_per_tick = max_probes_per_tick;
    return value;
  }
};

bool is_reset_or_waits_for_one(const entry_action& action)
{
  return std::holds_alternative<reset_caller>(action) ||
         std::holds_alternative<await_table>(action);
}

} // namespace

TEST_GROUP(search_plan){};

// Guards against a reset of an open flow because a late answer to an earlier
// attempt, which visited other agents, counts for the present one. Its three
// agents have denied the flow; the one that joined since may hold it.
TEST(search_plan, late_answer_to_an_earlier_attempt_does_not_end_the_search)
{
  constexpr std::uint16_t port = 1;
  search_run run(3);
  const auto first =
      std::get<visit_agent>(run.core.on_packet(data(port), start));
  run.core.on_packet(data(port), start + 200ms);
  run.core.set_table(table_of(2, routes_to(5, {{"notes", 1}}),
                              {service("notes", 1, first_agent, 4)}));
  run.core.set_confirmed(start + 600ms);
  run.core.on_packet(data(port), start + 600ms);
  CHECK_FALSE(is_reset_or_waits_for_one(run.core.on_missed(
      first.header, first.header.stops.agents[2], data(port), start + 601ms)));
  auto joined = first.header;
  joined.stops = {};
  joined.stops.add(endpoint_at(first_agent + 3));
  CHECK_TRUE(is_reset_or_waits_for_one(run.core.on_missed(
      joined, joined.stops.agents[0], data(port), start + 602ms)));
}

// Guards against a search that a wrong found message ends: an agent whose
// upstream was not chosen for the flow reports it too, and passes the packet on
// when its upstream returns it.
TEST(search_plan, search_goes_on_after_a_wrong_found_message)
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
TEST(search_plan, late_miss_by_other_stages_does_not_reset_an_open_flow)
{
  unresponsive_holder_run run(1); // the budget is used up by the other flow
  const auto first = run.send(400ms);
  CHECK_EQUAL(run.holders - 1U, first.header.stops.size);
  const auto second = std::get<visit_agent>(run.miss(first, 410ms));
  CHECK_EQUAL(1, second.header.stage);
  // The next attempt visits the holder in the first stage; its packet is under
  // way when the miss of the earlier attempt arrives.
  run.holder_answers(500ms);
  run.core.set_confirmed(start + 520ms);
  const auto present = run.send(520ms);
  // The two others have denied the flow.
  CHECK_EQUAL(1U, present.header.stops.size);
  CHECK_TRUE(present.agent == run.holder);
  CHECK_FALSE(is_reset_or_waits_for_one(run.miss(second, 521ms)));
}

// Guards against a reset of an open flow by an answer that is not late: a miss
// of a search by the previous table makes new stages while another packet of
// the flow is under way by the present table. Only the holder's own denial
// completes the proof that the flow is gone.
TEST(search_plan, miss_by_an_older_table_does_not_change_the_stages_of_others)
{
  unresponsive_holder_run run(1); // the budget is used up by the other flow
  // Packets of two attempts, by two tables; the holder comes last.
  const auto by_old_table = run.send(400ms);
  run.publish(2);
  const auto second = run.send(520ms);
  const auto to_holder = std::get<visit_agent>(run.miss(second, 525ms));
  CHECK_TRUE(to_holder.agent == run.holder);
  run.holder_answers(526ms);
  CHECK_FALSE(is_reset_or_waits_for_one(run.miss(by_old_table, 527ms)));
  run.core.set_confirmed(start + 528ms);
  CHECK_FALSE(is_reset_or_waits_for_one(run.miss(second, 530ms)));
  CHECK_TRUE(is_reset_or_waits_for_one(run.miss(to_holder, 531ms)));
}

// Guards against one packet of a flow that has ended being sent to all
// upstreams again and again, and never answered with a reset, because each
// confirmation comes with a new table that changes another service only.
TEST(search_plan, new_tables_of_other_services_do_not_restart_a_search)
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
TEST(search_plan, found_message_discards_an_earlier_not_found_result)
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

// Guards against a reset of an open flow whose agent has restarted: it cannot
// tell without the packet whether its upstream holds the flow.
TEST(search_plan, undecided_agents_get_the_packet_before_a_reset)
{
  constexpr std::uint16_t port = 1;
  search_run run(20);
  run.core.set_confirmed(start);
  const auto first =
      std::get<visit_agent>(run.core.on_packet(data(port), start));
  CHECK_FALSE(first.header.locates);
  const auto second = std::get<visit_agent>(
      run.core.on_missed(first.header, first.agent, data(port), start));
  CHECK_TRUE(second.header.locates);
  auto answer = second.header;
  answer.undecided = 1U << 2;
  const auto third = std::get<visit_agent>(
      run.core.on_missed(answer, second.agent, data(port), start));
  CHECK_FALSE(third.header.locates);
  CHECK_EQUAL(1, third.header.stops.size);
  CHECK_TRUE(third.agent == second.header.stops.agents[2]);
  CHECK_TRUE(std::holds_alternative<reset_caller>(
      run.core.on_missed(third.header, third.agent, data(port), start)));
}

// Guards against a dead agent that hides an open flow behind it, whose own
// agent has restarted: probes ask without the packet too.
TEST(search_plan, undecided_agent_of_a_probe_gets_the_packet)
{
  constexpr std::uint16_t port = 1;
  search_run run(20);
  run.core.set_confirmed(start);
  const auto first =
      std::get<visit_agent>(run.core.on_packet(data(port), start));
  run.core.on_missed(first.header, first.agent, data(port), start);
  const auto probes =
      std::get<visit_all>(run.core.on_packet(data(port), start + 200ms));
  auto answer = probes.visits[1].header;
  CHECK_TRUE(answer.probe);
  CHECK_TRUE(answer.locates);
  answer.undecided = 1;
  const auto again = std::get<visit_agent>(
      run.core.on_missed(answer, probes.visits[1].agent, data(port), start));
  CHECK_TRUE(again.agent == probes.visits[1].agent);
  CHECK_FALSE(again.header.locates);
}

namespace
{

/// Many agents behind one balancer; a new table changes an unrelated holder of
/// the service each time, as during a rolling restart.
class changing_cluster
{
public:
  static constexpr std::uint16_t port = 1;
  static constexpr std::size_t agents = 160;

  changing_cluster()
  {
    publish();
  }

  void publish()
  {
    auto table = service("notes", 1, first_agent, agents);
    table.holders[published_++ % agents].suspect = true;
    core.set_table(table_of(published_, routes_to(5, {{"notes", 1}}), {table}));
  }

  /// The agent that the search visits last.
  endpoint last_agent() const
  {
    const auto stages = stages_of(core, port);
    for (auto stage = stages.rbegin(); stage != stages.rend(); ++stage)
      if (stage->health == holder_health::live)
        return stage->stops.agents[stage->stops.size - 1U];
    return {};
  }

  /// Each agent denies the flow, but for `holder`, which reports it. Returns
  /// whether a message reached the holder.
  bool play(const entry_action& action, const endpoint& holder, time_point now)
  {
    if (const auto* visit = std::get_if<visit_agent>(&action))
      return walk(visit->header, holder, now);
    bool reached = false;
    if (const auto* all = std::get_if<visit_all>(&action))
      for (const auto& visit : all->visits)
        reached |= walk(visit.header, holder, now);
    return reached;
  }

  /// Packets that each agent other than the holder got for its upstream.
  std::map<endpoint, std::size_t> misplaced;
  entry_core core{options()};

private:
  static entry_options options()
  {
    entry_options value;
    value.self = endpoint_at(1, 7720);
    return value;
  }

  bool walk(const relay_header& header, const endpoint& holder, time_point now)
  {
    for (std::size_t i = 0; i < header.stops.size; ++i)
      if (header.stops.agents[i] == holder)
        return true;
      else if (!header.locates)
        ++misplaced[header.stops.agents[i]];
    answers.emplace_back(header, now);
    return false;
  }

public:
  /// Misses under way to the balancer.
  std::vector<std::pair<relay_header, time_point>> answers;

private:
  std::uint64_t published_ = 0;
};

} // namespace

// Guards against a search that starts anew with each table, and reaches the
// agent of an open flow only when tables stop changing.
TEST(search_plan, search_ends_while_tables_keep_changing)
{
  constexpr auto flow_window = 2s;
  constexpr auto table_interval = 20ms;
  constexpr auto answer_time = 30ms;
  changing_cluster run;
  const auto holder = run.last_agent();
  bool reached = false;
  for (duration at{0}; at < flow_window && !reached; at += 10ms)
  {
    const auto now = start + at;
    run.core.set_confirmed(now);
    if (at % table_interval == duration{0})
      run.publish();
    for (auto& [header, sent] : std::exchange(run.answers, {}))
      if (now - sent < answer_time)
        run.answers.emplace_back(header, sent);
      else
        reached |=
            run.play(run.core.on_missed(
                         header, header.stops.agents[header.stops.size - 1U],
                         data(run.port), now),
                     holder, now);
    // The balancer sends its copy again when the search makes no progress.
    if (at == duration{0} || run.core.progress(data(run.port).from_caller(),
                                               now) == search_progress::overdue)
      reached |= run.play(run.core.on_packet(data(run.port), now), holder, now);
  }
  CHECK_TRUE(reached);
}

// Guards against packets of an open flow that go to the same wrong upstream
// with each attempt: it has denied the flow.
TEST(search_plan, agent_that_denied_a_flow_gets_no_further_packet_of_it)
{
  changing_cluster run;
  const auto holder = run.last_agent();
  for (duration at{0}; at < 1500ms; at += 300ms)
  {
    run.core.set_confirmed(start + at);
    run.play(run.core.on_packet(data(run.port), start + at), holder,
             start + at);
    // Only the first stage of each attempt is answered.
    for (const auto& [header, sent] : std::exchange(run.answers, {}))
      if (!header.locates)
        run.core.on_missed(header, header.stops.agents[header.stops.size - 1U],
                           data(run.port), start + at + 1ms);
    run.publish();
  }
  for (const auto& [agent, packets] : run.misplaced)
    CHECK_EQUAL(1U, packets);
}

// Guards against an open flow whose packets go on to a wrong agent because its
// answers are lost: the third transmission of the same data leaves it.
TEST(search_plan, silent_remembered_agent_gets_two_transmissions)
{
  changing_cluster run;
  run.core.set_confirmed(start);
  const auto flow = data(run.port).from_caller();
  const auto wrong = run.last_agent();
  relay_header report;
  report.kind = relay_kind::found;
  report.service = key_of_service("notes");
  run.core.on_found(report, wrong, flow, start);
  std::size_t sent_to_wrong = 0;
  for (const auto at : transmissions)
  {
    const auto action = run.core.on_packet(data(run.port), start + at);
    const auto* visit = std::get_if<visit_agent>(&action);
    sent_to_wrong += visit != nullptr && visit->agent == wrong ? 1 : 0;
  }
  CHECK_EQUAL(2U, sent_to_wrong);
}
