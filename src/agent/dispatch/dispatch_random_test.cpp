#include <toucanmill/agent/dispatch_core.hpp>

#include <CppUTest/TestHarness.h>

#include <map>
#include <memory>
#include <random>
#include <set>

#include <toucanmill/base/invariant.hpp>
#include <toucanmill/table/flow_hash.hpp>

#include "../random_seeds_test.hpp"

using namespace toucanmill;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t default_seeds = 20;
constexpr std::size_t bucket_count = 16;
constexpr std::size_t balancer_count = 3;
constexpr std::size_t planned_changes = 300;
constexpr std::size_t drain_chain_length = 8;
constexpr service_id own_service{7};
const endpoint service_address{{0xCB00710A}, 80};

endpoint agent_endpoint(std::size_t number)
{
  return {{0x7F000001}, static_cast<std::uint16_t>(5000 + number)};
}

struct simulation_options
{
  std::uint64_t seed = 1;
  bool probe = true;
  bool keep_chains = true;
};

/// Violated guarantees of a run; all zero if the protocol holds.
struct violations
{
  int accepted_twice = 0;
  int reset = 0;
  int unreachable = 0;
  int wrong_service = 0;

  int total() const
  {
    return accepted_twice + reset + unreachable + wrong_service;
  }
};

struct caller_flow
{
  tcp_packet packet;
  std::uint16_t bucket = 0;
  std::optional<std::size_t> holder;
  bool ended = false; ///< closed, or its agent failed
};

struct datagram
{
  std::size_t agent;
  std::size_t flow;
  bool syn;
  route_stamp stamp;
};

struct holdings_report
{
  std::size_t agent;
  table_version version;
  std::vector<std::uint16_t> held;
};

using agent_chain = std::vector<std::size_t>;

/// Simulates agents and balancers of one service with tables of different
/// versions, a network that loses, duplicates and reorders packets, and planned
/// changes that follow the chain rules.
class dispatch_simulation
{
public:
  explicit dispatch_simulation(simulation_options options)
      : options_(options), random_(options.seed)
  {
    agents_.resize(3 + random_() % 5);
    for (std::size_t i = 0; i < bucket_count; ++i)
      chains_.push_back({i % agents_.size()});
    publish();
    for (std::size_t i = 0; i < agents_.size(); ++i)
    {
      start_agent(i);
      update_agent(i);
    }
  }

  violations run()
  {
    while (changes_ < planned_changes)
      step();
    settle();
    return found_;
  }

private:
  bool chance(unsigned percent)
  {
    return random_() % 100 < percent;
  }
  std::size_t any_agent()
  {
    return random_() % agents_.size();
  }

  void start_agent(std::size_t number)
  {
    agents_[number] = std::make_unique<dispatch_core>(
        dispatch_options{agent_endpoint(number), 100000, 2s, options_.probe});
  }

  void publish()
  {
    version_.term += random_() % 10 == 0 ? 1 : 0;
    ++version_.index;
    service_table table;
    table.id = own_service;
    table.address = service_address;
    table.version = version_;
    for (std::size_t i = 0; i < agents_.size(); ++i)
      table.holders.push_back({node_id{i}, agent_endpoint(i), false});
    for (const auto& numbers : chains_)
    {
      chain holders;
      for (const auto number : numbers)
        holders.holders[holders.size++] = static_cast<std::uint16_t>(number);
      table.buckets.push_back(holders);
    }
    history_.push_back(table);
  }

  void step()
  {
    now_ += 1ms;
    const auto draw = random_() % 100;
    if (draw < 15)
      open_flow();
    else if (draw < 40)
      send_again();
    else if (draw < 48)
      close_flow();
    else if (draw < 85)
      deliver_any();
    else if (draw < 89)
      update_agent(any_agent());
    else if (draw < 91)
      update_balancer();
    else if (draw < 95)
      send_report();
    else if (draw < 97)
      receive_report();
    else if (draw < 98 && chance(20))
      fail_agent(any_agent());
    else
      change();
  }

  // Callers and balancers.
  void open_flow()
  {
    caller_flow flow;
    flow.packet.flow = {
        {{0x0A000001}, static_cast<std::uint16_t>(flows_.size())},
        service_address};
    flow.bucket = static_cast<std::uint16_t>(
        bucket_of(flow_hash(flow.packet.flow), bucket_count));
    flows_.push_back(flow);
    send(flows_.size() - 1);
  }

  void send_again()
  {
    if (const auto flow = recent_flow())
      send(*flow);
  }

  std::optional<std::size_t> recent_flow()
  {
    constexpr std::size_t window = 60;
    if (flows_.empty())
      return std::nullopt;
    const auto back = random_() % std::min(window, flows_.size());
    const auto flow = flows_.size() - 1 - back;
    return flows_[flow].ended ? std::nullopt : std::optional(flow);
  }

  void send(std::size_t flow)
  {
    const auto& table = history_[balancers_[random_() % balancer_count]];
    send_with(table, flow);
  }

  void send_with(const service_table& table, std::size_t flow)
  {
    datagram sent{};
    sent.flow = flow;
    sent.syn = !flows_[flow].holder;
    sent.stamp.service = chance(2) ? service_id{8} : own_service;
    sent.stamp.version = table.version;
    sent.stamp.bucket = flows_[flow].bucket;
    for (const auto holder : table.buckets[sent.stamp.bucket])
      sent.stamp.chain.holders[sent.stamp.chain.size++] =
          agent_endpoint(holder);
    sent.agent = table.buckets[sent.stamp.bucket].holders[0];
    transmit(sent);
  }

  void close_flow()
  {
    const auto flow = recent_flow();
    if (!flow || !flows_[*flow].holder)
      return;
    flows_[*flow].ended = true;
    agents_[*flows_[*flow].holder]->on_flow_closed(flows_[*flow].packet.flow);
  }

  // Network.
  void transmit(const datagram& value)
  {
    if (settling_ || !chance(5))
      network_.push_back(value);
    if (!settling_ && chance(10))
      network_.push_back(value);
  }

  void deliver_any()
  {
    if (network_.empty())
      return;
    std::swap(network_[random_() % network_.size()], network_.back());
    const auto value = network_.back();
    network_.pop_back();
    auto packet = flows_[value.flow].packet;
    packet.syn = value.syn;
    packet.ack = !value.syn;
    const auto action =
        agents_[value.agent]->on_packet(packet, value.stamp, now_);
    on_action(value, action);
  }

  void on_action(const datagram& value, const dispatch_action& action)
  {
    auto& flow = flows_[value.flow];
    if (value.stamp.service != own_service)
      found_.wrong_service += std::holds_alternative<deliver_packet>(action);
    else if (const auto* const passed = std::get_if<forward_packet>(&action))
      forward(value, *passed);
    else if (const auto* const accepted = std::get_if<deliver_packet>(&action))
      on_delivered(value, flow, accepted->new_flow);
    else if (std::holds_alternative<reset_flow>(action) && !flow.ended)
      ++found_.reset;
  }

  void forward(datagram value, const forward_packet& passed)
  {
    TOUCANMILL_INVARIANT(passed.stamp.hops <= route_stamp::max_hops,
                         "a packet exceeds the hop limit");
    value.stamp = passed.stamp;
    value.agent = passed.to.port - agent_endpoint(0).port;
    transmit(value);
  }

  void on_delivered(const datagram& value, caller_flow& flow, bool new_flow)
  {
    if (flow.ended)
      agents_[value.agent]->on_flow_closed(flow.packet.flow);
    else if (new_flow && flow.holder)
      ++found_.accepted_twice;
    else if (new_flow)
      flow.holder = value.agent;
    else if (flow.holder != value.agent)
      ++found_.accepted_twice;
  }

  // Agents and control.
  /// The first table of an agent is the newest, since a quorum confirms it.
  void update_agent(std::size_t number)
  {
    const auto known = agents_[number]->version();
    const auto age = known == table_version{} ? 0 : random_() % 4;
    const auto pick = history_.size() - 1 - age % history_.size();
    if (known < history_[pick].version)
      agents_[number]->on_table(history_[pick]);
    if (agents_[number]->version() == version_)
      agents_[number]->on_confirmed(now_);
  }

  void update_balancer()
  {
    auto& position = balancers_[random_() % balancer_count];
    position += random_() % (history_.size() - position);
  }

  void send_report()
  {
    const auto number = any_agent();
    reports_.push_back(
        {number, agents_[number]->version(), agents_[number]->held_buckets()});
  }

  void receive_report()
  {
    if (reports_.empty())
      return;
    const auto report = reports_[random_() % reports_.size()];
    if (reports_.size() > 20)
      reports_.erase(reports_.begin());
    bool changed = false;
    for (std::size_t bucket = 0; bucket < bucket_count; ++bucket)
      changed |= release(bucket, report);
    if (changed)
      publish();
  }

  bool release(std::size_t bucket, const holdings_report& report)
  {
    auto& holders = chains_[bucket];
    const auto found =
        std::find(holders.begin() + 1, holders.end(), report.agent);
    if (found == holders.end() ||
        report.version < lost_[{bucket, report.agent}] ||
        std::binary_search(report.held.begin(), report.held.end(), bucket))
      return false;
    holders.erase(found);
    return true;
  }

  /// A planned change: one bucket moves, or all buckets of an agent do.
  void change()
  {
    const auto next = any_agent();
    const auto from = any_agent();
    const bool drain = chance(20);
    const auto only = random_() % bucket_count;
    bool changed = false;
    for (std::size_t bucket = 0; bucket < bucket_count; ++bucket)
      if (drain ? chains_[bucket][0] == from : bucket == only)
        changed |= move(bucket, next,
                        drain ? drain_chain_length : voluntary_chain_length);
    if (!changed)
      return;
    ++changes_;
    publish();
  }

  bool move(std::size_t bucket, std::size_t next, std::size_t limit)
  {
    auto& holders = chains_[bucket];
    if (holders[0] == next || holders.size() >= limit)
      return false;
    lost_[{bucket, holders[0]}] = {version_.term, version_.index + 1};
    holders.erase(std::remove(holders.begin(), holders.end(), next),
                  holders.end());
    holders.insert(holders.begin(), next);
    if (!options_.keep_chains)
      holders.resize(1);
    return true;
  }

  /// A restarted agent has lost its flows and its table.
  void fail_agent(std::size_t number)
  {
    for (auto& flow : flows_)
      flow.ended |= flow.holder == number;
    start_agent(number);
  }

  /// Gives all agents the newest table; then each flow must reach its holder.
  void settle()
  {
    settling_ = true;
    network_.clear();
    for (const auto& agent : agents_)
      agent->on_table(history_.back());
    for (std::size_t flow = 0; flow < flows_.size(); ++flow)
      if (flows_[flow].holder && !flows_[flow].ended)
        check_reachable(flow);
  }

  void check_reachable(std::size_t flow)
  {
    const auto& holder = *agents_[*flows_[flow].holder];
    send_with(history_.back(), flow);
    network_.back().stamp.service = own_service;
    network_.back().stamp.return_to = {{1}, static_cast<std::uint16_t>(flow)};
    const auto expected = network_.back().stamp.return_to;
    while (!network_.empty())
      deliver_any();
    found_.unreachable +=
        holder.return_endpoint(flows_[flow].packet.flow) != expected;
  }

  simulation_options options_;
  std::mt19937_64 random_;
  time_point now_;
  table_version version_{1, 0};
  std::vector<agent_chain> chains_;
  std::map<std::pair<std::size_t, std::size_t>, table_version> lost_;
  std::vector<service_table> history_;
  std::array<std::size_t, balancer_count> balancers_{};
  std::vector<std::unique_ptr<dispatch_core>> agents_;
  std::vector<caller_flow> flows_;
  std::vector<datagram> network_;
  std::vector<holdings_report> reports_;
  std::size_t changes_ = 0;
  bool settling_ = false;
  violations found_;
};

/// Sum over the seeds 1 to count.
violations run_seeds(std::uint64_t count, simulation_options options)
{
  violations sum;
  for (options.seed = 1; options.seed <= count; ++options.seed)
  {
    const auto found = dispatch_simulation(options).run();
    if (found.total() != 0 && options.probe && options.keep_chains)
      UT_PRINT(("seed " + std::to_string(options.seed)).c_str());
    sum.accepted_twice += found.accepted_twice;
    sum.reset += found.reset;
    sum.unreachable += found.unreachable;
    sum.wrong_service += found.wrong_service;
  }
  return sum;
}

} // namespace

TEST_GROUP(dispatch_random){};

// Guards against flows that break or are accepted by two agents while buckets
// move and balancers and agents have tables of different versions.
TEST(dispatch_random, planned_changes_break_no_flow)
{
  const auto found = run_seeds(test::seed_count(default_seeds), {});
  CHECK_EQUAL(0, found.accepted_twice);
  CHECK_EQUAL(0, found.reset);
  CHECK_EQUAL(0, found.unreachable);
  CHECK_EQUAL(0, found.wrong_service);
}

// Guards against a simulation that cannot detect the failure that probes
// prevent.
TEST(dispatch_random, without_probes_two_agents_accept_a_flow)
{
  simulation_options options;
  options.probe = false;
  CHECK_TRUE(run_seeds(default_seeds, options).accepted_twice > 0);
}

// Guards against a simulation that cannot detect the failure that chains
// prevent.
TEST(dispatch_random, without_chains_flows_are_lost)
{
  simulation_options options;
  options.keep_chains = false;
  const auto found = run_seeds(default_seeds, options);
  CHECK_TRUE(found.unreachable > 0);
  CHECK_TRUE(found.reset > 0);
}
