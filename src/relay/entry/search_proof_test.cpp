#include "search_run_test.hpp"

#include <set>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace toucanmill;
using namespace toucanmill::relay_test;

namespace
{

constexpr std::uint16_t port = 1;

std::vector<visit_agent> visits_of(const entry_action& action)
{
  if (const auto* visit = std::get_if<visit_agent>(&action))
    return {*visit};
  if (const auto* all = std::get_if<visit_all>(&action))
    return all->visits;
  return {};
}

bool is_reset(const entry_action& action)
{
  return std::holds_alternative<reset_caller>(action);
}

/// A search of which the first attempt was lost, so that the second one asks
/// the agents again. The table is confirmed after the first packet came.
class repeated_search
{
public:
  explicit repeated_search(std::size_t agents) : run_(agents), core(run_.core)
  {
    core.on_packet(data(port), start);
    core.set_confirmed(start + 20ms);
    for (const auto& visit : visits_of(core.on_packet(data(port), later())))
      ask(visit);
  }

  /// Each asked agent denies the flow, in turn, and so does each that is asked
  /// after that, until one of the actions is a reset. Returns that one, or the
  /// last action.
  entry_action deny_all(const std::set<endpoint>& except = {})
  {
    entry_action action = entry_drop::probe_missed;
    while (!asked_.empty() && !is_reset(action))
    {
      const auto visit = asked_.back();
      asked_.pop_back();
      const auto& stops = visit.header.stops;
      if (has_any(stops, except))
        continue;
      for (std::size_t i = 0; i < stops.size; ++i)
        denied.insert(stops.agents[i]);
      auto header = visit.header;
      header.kind = relay_kind::missed;
      action = core.on_missed(header, stops.agents[stops.size - 1U], data(port),
                              later());
      for (const auto& next : visits_of(action))
        ask(next);
    }
    return action;
  }

  static time_point later()
  {
    return start + 200ms;
  }

  repeated_search(const repeated_search&) = delete;
  repeated_search& operator=(const repeated_search&) = delete;

private:
  void ask(const visit_agent& visit)
  {
    asked_.push_back(visit);
  }

  static bool has_any(const visit_stops& stops, const std::set<endpoint>& of)
  {
    for (std::size_t i = 0; i < stops.size; ++i)
      if (of.count(stops.agents[i]) != 0)
        return true;
    return false;
  }

  search_run run_;
  std::vector<visit_agent> asked_;

public:
  entry_core& core;
  std::set<endpoint> denied;
};

} // namespace

TEST_GROUP(search_proof){};

// Guards against a caller that waits until its deadline for a flow that is
// gone, because one message of the first attempt was lost: after a loss of
// power this held for two of five flows.
TEST(search_proof, flow_that_all_agents_denied_in_two_attempts_is_reset)
{
  repeated_search search(48);
  const auto action = search.deny_all();
  CHECK_TRUE(is_reset(action));
  CHECK_EQUAL(48U, search.denied.size());
  CHECK_EQUAL(48U, std::get<reset_caller>(action).denied_by);
}

// Guards against a reset of an open flow whose agent has not answered.
TEST(search_proof, flow_is_not_reset_while_one_agent_has_not_denied_it)
{
  const auto holder = endpoint_at(first_agent + 7);
  repeated_search search(48);
  CHECK_FALSE(is_reset(search.deny_all({holder})));
  CHECK_EQUAL(0U, search.denied.count(holder));
}

// Guards against the same with an agent that cannot tell without the packet.
TEST(search_proof, answer_that_an_agent_cannot_tell_is_no_denial)
{
  search_run run(2);
  run.core.set_confirmed(start + 20ms);
  run.core.on_packet(data(port), start);
  const auto probes = visits_of(run.core.on_packet(data(port), start + 200ms));
  CHECK_EQUAL(2U, probes.size());
  run.core.on_missed(probes[0].header, probes[0].agent, data(port),
                     start + 210ms);
  auto undecided = probes[1].header;
  undecided.undecided = 1;
  CHECK_FALSE(is_reset(run.core.on_missed(undecided, probes[1].agent,
                                          data(port), start + 211ms)));
}

// Guards against a reset of a flow that an upstream took that the table did not
// list when the search began.
TEST(search_proof, agent_of_a_newer_table_has_to_deny_the_flow_too)
{
  repeated_search search(20);
  search.core.set_table(table_of(2, routes_to(5, {{"notes", 1}}),
                                 {service("notes", 1, first_agent, 21)}));
  search.core.set_confirmed(search.later());
  const auto joined = endpoint_at(first_agent + 20);
  CHECK_FALSE(is_reset(search.deny_all({joined})));
}

// Guards against a reset of a flow that another balancer opened by a table that
// this one has not seen.
TEST(search_proof, flow_is_reset_only_by_a_table_confirmed_after_its_packet)
{
  search_run run(2);
  run.core.set_confirmed(start - 1ms);
  run.core.on_packet(data(port), start);
  const auto probes = visits_of(run.core.on_packet(data(port), start + 200ms));
  entry_action last;
  for (const auto& probe : probes)
    last = run.core.on_missed(probe.header, probe.agent, data(port),
                              start + 210ms);
  CHECK_TRUE(std::holds_alternative<await_table>(last));
  run.core.set_confirmed(start + 1ms);
  CHECK_TRUE(is_reset(run.core.on_packet(data(port), start + 220ms)));
}

// Guards against a reset of a new flow by denials of an earlier one of the same
// address and port.
TEST(search_proof, denials_count_for_packets_of_one_position_only)
{
  search_run run(2);
  run.core.set_confirmed(start + 20ms);
  run.core.on_packet(data(port), start);
  const auto probes = visits_of(run.core.on_packet(data(port), start + 200ms));
  run.core.on_missed(probes[0].header, probes[0].agent, data(port),
                     start + 210ms);
  auto later_flow = data(port);
  later_flow.acknowledged += 1'000'000;
  run.core.on_packet(later_flow, start + 211ms);
  CHECK_FALSE(is_reset(run.core.on_missed(probes[1].header, probes[1].agent,
                                          data(port), start + 212ms)));
}

// Guards against a reset that hits a later flow of the same address and port.
TEST(search_proof, reset_has_the_position_of_the_first_packet)
{
  search_run run(1);
  run.core.set_confirmed(start + 20ms);
  run.core.on_packet(data(port), start);
  const auto probe =
      visits_of(run.core.on_packet(data(port), start + 200ms)).at(0);
  const auto action =
      run.core.on_missed(probe.header, probe.agent, data(port), start + 210ms);
  CHECK_TRUE(is_reset(action));
  CHECK_EQUAL(data(port).acknowledged, std::get<reset_caller>(action).sequence);
}
