#include "former_services_model_test.hpp"

#include <algorithm>

#include <CppUTest/TestHarness.h>

#include <toucanmill/table/flow_hash.hpp>

#include "../cluster/former_marks_test.hpp"
#include "../relay/relay_fixture_test.hpp"

namespace toucanmill::former_services_test
{

using namespace relay_test;

namespace
{

constexpr std::uint32_t service_count = 7;
constexpr std::uint32_t agents_per_service = 2;
constexpr std::uint32_t balancer_count = 3;
constexpr std::uint16_t address_count = 3;
constexpr std::uint32_t first_agent = 100;
constexpr std::uint32_t first_balancer = 1;
constexpr duration step_length = 1s;
constexpr duration max_flow_age = 6s;

/// Longest time for which a node is cut off. A balancer that is cut off for
/// longer than this is removed.
constexpr unsigned max_cut_off = 20;

std::string name_of(std::uint32_t service)
{
  return "s" + std::to_string(service);
}

endpoint address_of(std::uint16_t number)
{
  return public_address(static_cast<std::uint16_t>(443 + number));
}

membership_options options_of(flaw wrong)
{
  membership_options options;
  options.flow_lifetime =
      wrong == flaw::flows_outlive_settlement ? 0s : max_flow_age + step_length;
  return options;
}

bool has_agent(const service_table& table, const endpoint& agent)
{
  return std::any_of(table.holders.begin(), table.holders.end(),
                     [&](const holder& value)
                     {
                       return value.agent == agent;
                     });
}

} // namespace

former_services_model::former_services_model(unsigned seed, flaw wrong)
    : random_(seed), flaw_(wrong), now_(start),
      membership_(std::make_unique<membership_core>(options_of(wrong)))
{
  const auto make = [](node_role role, std::uint32_t number)
  {
    node value;
    value.identity.id = {number};
    value.identity.life = {1};
    value.identity.role = role;
    value.identity.name = "node-" + std::to_string(number);
    value.identity.data_centre = "north";
    value.identity.data = endpoint_at(number);
    return value;
  };
  for (std::uint32_t i = 0; i < balancer_count; ++i)
    balancers_.push_back(make(node_role::balancer, first_balancer + i));
  for (std::uint32_t i = 0; i < service_count * agents_per_service; ++i)
  {
    agents_.push_back(make(node_role::agent, first_agent + i));
    agents_.back().identity.service = name_of(i / agents_per_service);
    start_agent(agents_.back());
  }
  declare();
}

void former_services_model::apply(const command& value)
{
  machine_.apply({1, ++index_}, value);
}

void former_services_model::declare()
{
  configuration next;
  next.version = ++version_;
  for (std::uint32_t i = 0; i < service_count; ++i)
    if (!one_in(6))
      next.services.push_back(name_of(i));
  for (std::uint16_t number = 0; number < address_count; ++number)
  {
    if (next.services.empty() || one_in(10))
      continue;
    auto item = routes_to(1, {}).routes[0];
    item.address = address_of(number);
    const auto targets = 1 + random_() % 3;
    for (std::size_t i = 0; i < targets; ++i)
      item.targets.push_back(
          {next.services[random_() % next.services.size()], 1});
    next.routes.push_back(std::move(item));
  }
  const auto settled = earlier_build_leads_ ? 0 : membership_->settled_index();
  apply(declare_configuration{std::move(next), settled});
}

void former_services_model::change_leader()
{
  membership_ = std::make_unique<membership_core>(options_of(flaw_));
  earlier_build_leads_ = one_in(3);
  // The next leader may have got its state from either build.
  if (one_in(2))
  {
    const auto snapshot = machine_.snapshot();
    machine_ =
        state_machine::restore(earlier_build_leads_
                                   ? support::without_former_marks(snapshot)
                                   : snapshot)
            .value();
  }
  membership_->on_leader(machine_, now_);
}

void former_services_model::start_agent(node& value)
{
  auto options = agent_options(now_);
  options.upstream.service = value.identity.service;
  value.agent = std::make_unique<relay_core>(options);
}

void former_services_model::restart(node& value)
{
  value.applied = {};
  value.table = {};
  value.starts_at = step_ + static_cast<unsigned>(random_() % 3);
  if (value.identity.role == node_role::agent)
    start_agent(value);
}

void former_services_model::disturb(node& value)
{
  if (one_in(400))
    value.cut_off_until =
        step_ + static_cast<unsigned>(random_() % max_cut_off);
  if (one_in(200))
    restart(value);
}

void former_services_model::announce(node& value)
{
  auto announced = announcement(++value.announcements);
  announced.service = value.identity.service;
  announced.slots = 1000;
  recording_sink sink;
  value.agent->announce(announced, 0, now_, sink);
  value.agent->on_tick(now_, sink);
}

/// What an earlier build would have sent.
table_update former_services_model::as_written(table_update value) const
{
  const bool is_unmarked =
      earlier_build_leads_ || flaw_ == flaw::former_services_unmarked;
  value.former_marked =
      !earlier_build_leads_ || flaw_ == flaw::former_services_unmarked;
  if (is_unmarked && value.routes)
    for (auto& group : value.routes->changed)
      group.former_incomplete = false;
  return value;
}

void former_services_model::take(node& value, const table_update& from)
{
  value.applied = from.version;
  if (value.identity.role == node_role::balancer)
    value.table = value.table.apply(from);
  else if (from.routes)
    value.agent->change_routes(*from.routes);
}

void former_services_model::update(node& value)
{
  if (!runs(value) || step_ < value.cut_off_until)
    return;
  node_report report;
  report.identity = value.identity;
  report.applied = value.applied;
  report.fresh = value.applied == table_version{};
  report.applies_route_changes = true;
  for (const auto& order : membership_->on_report(machine_, report, now_))
    apply(order);
  declaration_scope scope;
  if (value.identity.role == node_role::agent)
    scope.service = value.identity.service;
  take(value,
       as_written(machine_.changes_since(value.applied, std::nullopt, scope)));
}

bool former_services_model::accepts(const relay_header& header,
                                    const endpoint& agent,
                                    const flow_packet& packet)
{
  const auto found = std::find_if(agents_.begin(), agents_.end(),
                                  [&](const node& value)
                                  {
                                    return value.identity.data == agent;
                                  });
  if (!runs(*found))
    return false;
  relay_message message;
  message.header = header;
  recording_sink sink;
  found->agent->on_visit(message, packet, now_, sink);
  return !sink.delivered.empty();
}

/// A caller opens a flow through any balancer, also one that is cut off from
/// control.
void former_services_model::open()
{
  const auto& balancer = balancers_[random_() % balancers_.size()];
  const auto number = static_cast<std::uint16_t>(random_() % address_count);
  const auto* const from = balancer.table.find_route(address_of(number));
  if (!runs(balancer) || from == nullptr)
    return;
  auto packet = opening(next_port_);
  packet.destination = address_of(number);
  const auto hash = flow_hash(packet.from_caller());
  for (const auto* service : opening_services(balancer.table, *from, hash))
  {
    const auto [stops, near] = opening_stops(*service, hash, 8);
    relay_header header;
    header.service = service->key;
    header.configuration = balancer.table.configuration_version();
    header.balancer = balancer.identity.data;
    for (std::size_t i = 0; i < stops.size; ++i)
    {
      header.stops = {};
      header.stops.add(stops.agents[i]);
      if (accepts(header, stops.agents[i], packet))
        return flows_.push_back({next_port_++, number, stops.agents[i], now_});
    }
  }
}

void former_services_model::check(const node& balancer, const open_flow& flow)
{
  const auto* const from = balancer.table.find_route(address_of(flow.address));
  if (from == nullptr || !fault_.empty())
    return;
  auto packet = data(flow.port);
  packet.destination = address_of(flow.address);
  const auto hash = flow_hash(packet.from_caller());
  bool is_asked = false;
  for (const auto* service : possible_services(balancer.table, *from, hash))
    is_asked = is_asked || has_agent(service->table, flow.agent);
  checks_by_lists_ += from->former_incomplete ? 0 : 1;
  if (!is_asked)
    fault_ = "step " + std::to_string(step_) + ": flow " +
             std::to_string(flow.port) + " of " + to_string(flow.agent) +
             " would be reset by configuration " +
             std::to_string(balancer.table.configuration_version());
}

/// A balancer resets flows only by a table that a quorum has confirmed.
void former_services_model::check()
{
  while (!flows_.empty() && now_ - flows_.front().opened > max_flow_age)
    flows_.pop_front();
  for (const auto& balancer : balancers_)
    if (runs(balancer) && balancer.applied == machine_.position())
      for (const auto& flow : flows_)
        check(balancer, flow);
}

void former_services_model::take_step()
{
  ++step_;
  now_ += step_length;
  if (one_in(60))
    change_leader();
  // Calm times, in which former services settle, and series of changes.
  if (one_in(step_ / 40 % 2 == 0 ? 2 : 15))
    declare();
  for (auto* const nodes : {&balancers_, &agents_})
    for (auto& value : *nodes)
      disturb(value);
  for (auto& value : agents_)
    if (runs(value))
      announce(value);
  for (const auto& order : membership_->on_tick(machine_, now_))
    apply(order);
  open();
  for (auto* const nodes : {&agents_, &balancers_})
    for (auto& value : *nodes)
      update(value);
  open();
  check();
}

} // namespace toucanmill::former_services_test
