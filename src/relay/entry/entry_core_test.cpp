#include <toucanmill/relay/entry_core.hpp>

#include <CppUTest/TestHarness.h>

#include <set>

#include "../relay_fixture_test.hpp"

using namespace toucanmill;
using namespace toucanmill::relay_test;

namespace
{

const visit_agent& visit_of(const entry_action& action)
{
  const auto* visit = std::get_if<visit_agent>(&action);
  CHECK_TRUE(visit != nullptr);
  return *visit;
}

/// All visits of the action, none for any other action.
std::vector<visit_agent> visits_of(const entry_action& action)
{
  if (const auto* all = std::get_if<visit_all>(&action))
    return all->visits;
  if (const auto* visit = std::get_if<visit_agent>(&action))
    return {*visit};
  return {};
}

entry_drop drop_of(const entry_action& action)
{
  const auto* drop = std::get_if<entry_drop>(&action);
  CHECK_TRUE(drop != nullptr);
  return *drop;
}

bool is_reset(const entry_action& action, reset_reason reason)
{
  const auto* reset = std::get_if<reset_caller>(&action);
  return reset != nullptr && reset->reason == reason;
}

entry_options options()
{
  entry_options value;
  value.self = endpoint_at(1, 7720);
  return value;
}

/// The header with which the last stop returns the packet.
relay_header returned(relay_header header,
                      miss_reason reason = miss_reason::unknown_flow)
{
  header.kind = relay_kind::missed;
  header.reason = reason;
  return header;
}

} // namespace

TEST_GROUP(entry_core)
{
  entry_core core{options()};

  void install_table(std::shared_ptr<const relay_table> table)
  {
    core.set_table(std::move(table));
    core.set_confirmed(start);
  }

  void install_one_service_table()
  {
    install_table(table_of(1, routes_to(5, {{"notes", 1}}),
                           {service("notes", 1, 10, 3)}));
  }
};

// Guards against a balancer that sends the packets of one flow to several
// agents.
TEST(entry_core, flow_is_remembered_from_its_opening_packet)
{
  install_one_service_table();
  const auto opened = visit_of(core.on_packet(opening(), start));
  CHECK_TRUE(opened.agent == endpoint_at(10));
  CHECK_EQUAL(3, opened.header.stops.size);
  const auto next = visit_of(core.on_packet(data(), start));
  CHECK_TRUE(next.agent == endpoint_at(10));
  CHECK_TRUE(next.header.remembered);
}

// Guards against sending every copy of an opening packet to the same dead
// agent.
TEST(entry_core, copy_of_an_opening_packet_starts_at_another_agent)
{
  install_one_service_table();
  const auto first = visit_of(core.on_packet(opening(1), start)).agent;
  const auto copy = visit_of(core.on_packet(opening(1, 1), start)).agent;
  CHECK_FALSE(first == copy);
  // A packet to the first agent was lost, so other flows avoid it for a while.
  CHECK_FALSE(visit_of(core.on_packet(opening(2), start)).agent == first);
  CHECK_TRUE(visit_of(core.on_packet(opening(2), start + 2s)).agent == first);
}

// Guards against a reset of an open flow whose route now leads to another
// service, or whose weight selects another one.
TEST(entry_core, all_services_of_a_route_are_searched_before_a_reset)
{
  auto declared = routes_to(5, {{"notes", 1}});
  declared.services = {"notes", "old"};
  declared.routes[0].former = {"old"};
  install_table(table_of(
      1, declared, {service("notes", 1, 10, 2), service("old", 2, 20, 1)}));
  const auto first = visit_of(core.on_packet(data(), start));
  CHECK_EQUAL(2, first.header.stops.size);
  const auto second = visit_of(
      core.on_missed(returned(first.header), endpoint_at(11), data(), start));
  CHECK_TRUE(second.agent == endpoint_at(20));
  CHECK_TRUE(is_reset(
      core.on_missed(returned(second.header), endpoint_at(20), data(), start),
      reset_reason::unknown_flow));
}

// Guards against a reset of an open flow on a service that is not listed any
// more (review/11), and against questions to agents that do not relay packets.
TEST(entry_core, all_relay_services_are_searched_if_the_list_is_incomplete)
{
  auto declared = routes_to(5, {{"notes", 1}});
  declared.services = {"notes", "old"};
  auto streams = service("streams", 3, 30, 1);
  streams.kind = service_kind::stream;
  for (const bool incomplete : {false, true})
  {
    declared.routes[0].former_incomplete = incomplete;
    install_table(table_of(
        incomplete ? 2 : 1, declared,
        {service("notes", 1, 10, 2), service("old", 2, 20, 1), streams}));
    const auto first = visit_of(core.on_packet(data(), start));
    const auto action =
        core.on_missed(returned(first.header), endpoint_at(11), data(), start);
    CHECK_EQUAL(!incomplete, is_reset(action, reset_reason::unknown_flow));
    if (!incomplete)
      continue;
    const auto second = visit_of(action);
    CHECK_TRUE(second.agent == endpoint_at(20));
    CHECK_TRUE(is_reset(
        core.on_missed(returned(second.header), endpoint_at(20), data(), start),
        reset_reason::unknown_flow));
  }
}

// Guards against a reset of an open flow whose upstream was never asked, when a
// service has more upstreams than one stage has stops.
TEST(entry_core, every_holder_is_asked_before_a_reset)
{
  constexpr std::size_t agents = 55;
  install_table(table_of(1, routes_to(5, {{"notes", 1}}),
                         {service("notes", 1, 10, agents)}));
  std::set<std::uint32_t> asked;
  auto action = core.on_packet(data(), start);
  auto visits = visits_of(action);
  while (!visits.empty())
  {
    CHECK_FALSE(is_reset(action, reset_reason::unknown_flow));
    const auto header = visits.front().header;
    visits.erase(visits.begin());
    for (std::size_t i = 0; i < header.stops.size; ++i)
      asked.insert(header.stops.agents[i].address.value);
    action = core.on_missed(returned(header),
                            header.stops.agents[header.stops.size - 1U], data(),
                            start);
    const auto further = visits_of(action);
    visits.insert(visits.end(), further.begin(), further.end());
  }
  CHECK_TRUE(is_reset(action, reset_reason::unknown_flow));
  CHECK_EQUAL(agents, asked.size());
}

// Guards against an open flow whose packets are all lost at a dead agent of
// another service that is asked first (seen as 2.5 s without an answer).
TEST(entry_core, suspect_agents_are_asked_after_all_live_ones)
{
  auto first = service("notes", 1, 10, 2);
  first.holders[0].suspect = true;
  auto declared = routes_to(5, {{"notes", 1}, {"old", 0}});
  install_table(table_of(1, declared, {first, service("old", 2, 20, 1)}));
  const auto live = visit_of(core.on_packet(data(), start));
  CHECK_EQUAL(1, live.header.stops.size);
  CHECK_TRUE(live.agent == endpoint_at(11));
  const auto other = visit_of(
      core.on_missed(returned(live.header), endpoint_at(11), data(), start));
  CHECK_TRUE(other.agent == endpoint_at(20));
  const auto suspect = visit_of(
      core.on_missed(returned(other.header), endpoint_at(20), data(), start));
  CHECK_TRUE(suspect.agent == endpoint_at(10));
}

// Guards against packets of a flow that are lost because an agent earlier in
// the search order has just died and is not yet suspect.
TEST(entry_core, repeated_search_asks_all_agents_at_once)
{
  install_one_service_table();
  visit_of(core.on_packet(data(), start));
  const auto again = core.on_packet(data(), start + 200ms);
  const auto* all = std::get_if<visit_all>(&again);
  CHECK_TRUE(all != nullptr);
  std::set<endpoint> asked;
  for (const auto& visit : all->visits)
  {
    CHECK_TRUE(visit.header.probe);
    CHECK_EQUAL(1, visit.header.stops.size);
    asked.insert(visit.agent);
  }
  CHECK_EQUAL(3U, asked.size());
  // A single miss proves nothing about the other probed agents.
  CHECK_TRUE(drop_of(core.on_missed(returned(all->visits[0].header),
                                    endpoint_at(10), data(), start)) ==
             entry_drop::probe_missed);
}

// Guards against copies to every holder, which saturate the link of a balancer
// when the flows of a failed agent are searched for.
TEST(entry_core, repeated_search_probes_only_the_unanswered_stages)
{
  install_table(
      table_of(1, routes_to(5, {{"notes", 1}}), {service("notes", 1, 10, 55)}));
  const auto first = visit_of(core.on_packet(data(), start));
  const auto second = visits_of(core.on_missed(
      returned(first.header), endpoint_at(9), data(), start + 1ms));
  CHECK_EQUAL(3U, second.size());
  core.on_missed(returned(second[1].header), endpoint_at(9), data(),
                 start + 2ms);
  const auto visits = visits_of(core.on_packet(data(), start + 200ms));
  CHECK_EQUAL(second[0].header.stops.size + second[2].header.stops.size,
              visits.size());
  std::size_t octets = 0;
  for (const auto& visit : visits)
  {
    CHECK_TRUE(visit.header.probe);
    CHECK_TRUE(visit.header.locates);
    octets += encode(visit.header).size + encoded_flow_size;
  }
  CHECK_TRUE(visits[0].agent == second[0].agent);
  // A stage of copies of the largest packet takes 20 KB.
  CHECK_TRUE(octets < 4096);
  // A stop that did not answer may hold the flow: the search is inconclusive.
  for (const auto& visit : visits)
    if (!(visit.agent == visits[0].agent))
      CHECK_TRUE(drop_of(core.on_missed(returned(visit.header), visit.agent,
                                        data(), start + 201ms)) ==
                 entry_drop::probe_missed);
  for (const auto at : {700ms, 1500ms})
    CHECK_FALSE(is_reset(core.on_packet(data(), start + at),
                         reset_reason::unknown_flow));
}

// Guards against probes that saturate the link when many flows are searched for
// at once.
TEST(entry_core, probes_are_rate_limited)
{
  install_table(
      table_of(1, routes_to(5, {{"notes", 1}}), {service("notes", 1, 10, 55)}));
  std::size_t visits = 0;
  for (std::uint16_t port = 1; port <= 1000; ++port)
  {
    core.on_packet(data(port), start);
    const auto again = core.on_packet(data(port), start + 200ms);
    if (const auto* all = std::get_if<visit_all>(&again))
      visits += all->visits.size();
    else
      visit_of(again);
  }
  CHECK_TRUE(visits > options().max_probes_per_tick);
  CHECK_TRUE(visits <
             options().max_probes_per_tick + 2 * visit_stops::capacity);
  core.on_tick(start + 1s);
  CHECK_TRUE(
      std::holds_alternative<visit_all>(core.on_packet(data(1), start + 1s)));
}

// Guards against a reset that is based on the answer of an agent chosen by a
// stale table, or sent by a balancer without a recent table confirmation.
TEST(entry_core, inconclusive_or_unconfirmed_search_sends_no_reset)
{
  install_one_service_table();
  auto header = visit_of(core.on_packet(data(), start)).header;
  CHECK_TRUE(drop_of(core.on_missed(returned(header), endpoint_at(12), data(),
                                    start + 3s)) == entry_drop::unconfirmed);
  header = visit_of(core.on_packet(data(2), start)).header;
  header.inconclusive = true;
  CHECK_TRUE(drop_of(core.on_missed(returned(header), endpoint_at(12), data(2),
                                    start)) == entry_drop::unconfirmed);
}

// Guards against callers that time out although every upstream has refused.
TEST(entry_core, refused_flow_is_reset_at_once)
{
  install_one_service_table();
  const auto header = visit_of(core.on_packet(opening(), start)).header;
  CHECK_TRUE(is_reset(core.on_missed(returned(header, miss_reason::refused),
                                     endpoint_at(12), opening(), start),
                      reset_reason::refused));
}

// Guards against callers that retry an overloaded service while another service
// of the route is idle.
TEST(entry_core, flow_that_a_service_refuses_goes_to_the_next_of_the_route)
{
  install_table(
      table_of(1, routes_to(5, {{"notes", 100}, {"other", 1}, {"off", 0}}),
               {service("notes", 1, 10, 1), service("other", 2, 20, 1),
                service("off", 3, 30, 1)}));
  std::size_t spilled = 0;
  for (std::uint16_t port = 1; port <= 50; ++port)
  {
    const auto first = visit_of(core.on_packet(opening(port), start));
    const auto second =
        visit_of(core.on_missed(returned(first.header, miss_reason::refused),
                                first.agent, opening(port), start));
    CHECK_FALSE(second.agent == first.agent);
    CHECK_FALSE(second.agent == endpoint_at(30));
    spilled += second.agent == endpoint_at(20) ? 1 : 0;
    CHECK_TRUE(
        is_reset(core.on_missed(returned(second.header, miss_reason::refused),
                                second.agent, opening(port), start),
                 reset_reason::refused));
  }
  CHECK_TRUE(spilled > 40);
}

// Guards against a refusal because the service that the weights select has no
// upstream.
TEST(entry_core, service_without_upstreams_takes_no_flows)
{
  install_table(
      table_of(1, routes_to(5, {{"notes", 100}, {"other", 1}}),
               {service("notes", 1, 10, 0), service("other", 2, 20, 1)}));
  CHECK_TRUE(visit_of(core.on_packet(opening(), start)).agent ==
             endpoint_at(20));
}

// Guards against a reset of a new flow by a balancer that does not have the
// newest configuration yet.
TEST(entry_core, newer_configuration_at_an_agent_asks_for_the_table)
{
  install_one_service_table();
  auto header = visit_of(core.on_packet(opening(), start)).header;
  header.configuration = 9;
  CHECK_TRUE(drop_of(core.on_missed(
                 returned(header, miss_reason::route_replaced), endpoint_at(12),
                 opening(), start)) == entry_drop::newer_table);
  CHECK_TRUE(core.wants_table());
  install_table(
      table_of(2, routes_to(9, {{"notes", 1}}), {service("notes", 1, 10, 1)}));
  CHECK_FALSE(core.wants_table());
}

// Guards against a reset for a missing route by a balancer without a current
// table, and against dropping the packet when the table is current.
TEST(entry_core, address_without_a_route_is_reset_only_with_a_current_table)
{
  CHECK_TRUE(
      std::holds_alternative<await_table>(core.on_packet(opening(), start)));
  install_one_service_table();
  auto packet = opening();
  packet.destination = public_address(444);
  CHECK_TRUE(is_reset(core.on_packet(packet, start), reset_reason::no_route));
  CHECK_TRUE(drop_of(core.on_packet(packet, start + 3s)) ==
             entry_drop::no_route);
}

// Guards against a flow cache that grows without bound.
TEST(entry_core, idle_flows_are_forgotten)
{
  install_one_service_table();
  core.on_packet(opening(), start);
  core.on_tick(start + 60s);
  CHECK_EQUAL(1U, core.remembered_flows());
  core.on_tick(start + 80s);
  CHECK_EQUAL(0U, core.remembered_flows());
}

// Guards against shares of new flows that differ from the declared weights.
TEST(entry_core, new_flows_are_split_by_weight)
{
  install_table(
      table_of(1, routes_to(5, {{"notes", 90}, {"other", 10}}),
               {service("notes", 1, 10, 1), service("other", 2, 20, 1)}));
  int others = 0;
  for (std::uint16_t port = 1; port <= 10000; ++port)
    others +=
        visit_of(core.on_packet(opening(port), start)).agent == endpoint_at(20);
  CHECK_TRUE(others > 900 && others < 1100);
}

// Guards against a reset of an open flow because the order of the services
// changed between two stages of its search: each agent of the new table has to
// deny the flow, also the one whose stage number has been answered before.
TEST(entry_core, search_over_two_tables_resets_after_the_denial_of_each_agent)
{
  install_table(
      table_of(1, routes_to(5, {{"notes", 1}, {"other", 0}}),
               {service("notes", 1, 10, 1), service("other", 2, 20, 1)}));
  const auto first = visit_of(core.on_packet(data(), start));
  CHECK_TRUE(first.agent == endpoint_at(10));
  install_table(
      table_of(2, routes_to(6, {{"notes", 0}, {"other", 1}, {"third", 0}}),
               {service("notes", 1, 10, 1), service("other", 2, 20, 1),
                service("third", 3, 30, 1)}));
  auto action =
      core.on_missed(returned(first.header), endpoint_at(10), data(), start);
  const auto second = visit_of(action);
  CHECK_TRUE(second.agent == endpoint_at(20));
  action = core.on_missed(returned(second.header), second.agent, data(), start);
  const auto others = std::get<visit_all>(action).visits;
  CHECK_EQUAL(2U, others.size());
  const auto& third = others[others[0].agent == endpoint_at(30) ? 0 : 1];
  const auto& again = others[others[0].agent == endpoint_at(30) ? 1 : 0];
  CHECK_TRUE(again.agent == endpoint_at(10));
  CHECK_FALSE(is_reset(
      core.on_missed(returned(again.header), again.agent, data(), start),
      reset_reason::unknown_flow));
  CHECK_TRUE(is_reset(
      core.on_missed(returned(third.header), third.agent, data(), start),
      reset_reason::unknown_flow));
}

// Guards against a reset of a flow by a balancer whose table is older than the
// flow's upstream (fault_soak seed 1: the upstream had joined 30 ms before).
TEST(entry_core, flow_younger_than_the_table_is_not_reset)
{
  install_one_service_table();
  const auto arrival = start + 500ms;
  const auto header = visit_of(core.on_packet(data(), arrival)).header;
  CHECK_TRUE(std::holds_alternative<await_table>(
      core.on_missed(returned(header), endpoint_at(12), data(), arrival)));
  core.set_table(
      table_of(2, routes_to(6, {{"notes", 1}}), {service("notes", 1, 20, 1)}));
  core.set_confirmed(arrival + 5ms);
  CHECK_TRUE(visit_of(core.on_packet(data(), arrival + 6ms)).agent ==
             endpoint_at(20));
}

// Guards against a caller that waits for an upstream that is gone although the
// table is confirmed.
TEST(entry_core, lost_flow_is_reset_once_the_table_is_confirmed)
{
  install_one_service_table();
  const auto arrival = start + 500ms;
  const auto header = visit_of(core.on_packet(data(), arrival)).header;
  core.on_missed(returned(header), endpoint_at(12), data(), arrival);
  core.set_confirmed(arrival - 1ms);
  CHECK_TRUE(std::holds_alternative<await_table>(
      core.on_packet(data(), arrival + 1ms)));
  core.set_confirmed(arrival + 2ms);
  CHECK_TRUE(is_reset(core.on_packet(data(), arrival + 5ms),
                      reset_reason::unknown_flow));
}

// Guards against a reset of a flow whose route is newer than the balancer's
// table.
TEST(entry_core, flow_on_a_route_younger_than_the_table_is_not_reset)
{
  install_one_service_table();
  auto packet = data();
  packet.destination = public_address(444);
  CHECK_TRUE(std::holds_alternative<await_table>(
      core.on_packet(packet, start + 500ms)));
  core.set_confirmed(start + 505ms);
  CHECK_TRUE(
      is_reset(core.on_packet(packet, start + 510ms), reset_reason::no_route));
}

// Guards against callers that wait for a second although their balancer has a
// table after 0.3 s: it dropped the packets that came before, and callers
// retransmit ever more seldom after a loss of power.
TEST(entry_core, packet_before_the_first_table_waits_for_it)
{
  entry_core started(options());
  CHECK_TRUE(
      std::holds_alternative<await_table>(started.on_packet(opening(), start)));
  started.set_table(
      table_of(1, routes_to(5, {{"notes", 1}}), {service("notes", 1, 10, 3)}));
  started.set_confirmed(start + 300ms);
  CHECK_TRUE(visit_of(started.on_packet(opening(), start + 301ms)).agent ==
             endpoint_at(10));
}

// Guards against late answers without a packet being counted as damaged ones.
TEST(entry_core, late_answer_without_a_packet_is_stale)
{
  install_one_service_table();
  relay_header late;
  late.kind = relay_kind::missed;
  late.locates = true;
  CHECK_TRUE(drop_of(core.on_missed(late, endpoint_at(10), std::nullopt,
                                    start)) == entry_drop::stale_answer);
}
