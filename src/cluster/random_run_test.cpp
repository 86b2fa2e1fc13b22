#include <toucanmill/cluster/membership_core.hpp>

#include <CppUTest/TestHarness.h>

#include <cstdlib>
#include <map>
#include <random>
#include <set>

#include <toucanmill/base/invariant.hpp>
#include <toucanmill/cluster/assignment.hpp>

#include "test_support.hpp"

using namespace toucanmill;
using namespace toucanmill::support;

namespace
{

constexpr unsigned default_seeds = 12;
constexpr unsigned steps = 1500;
constexpr duration step_length = std::chrono::milliseconds(100);

unsigned seeds()
{
  const auto* const text = std::getenv("TOUCANMILL_SEEDS");
  return text == nullptr ? default_seeds
                         : static_cast<unsigned>(std::atoi(text));
}

/// An agent that follows the dispatch rules: it accepts flows only in buckets
/// that its own table says it owns.
struct fake_agent
{
  node_identity identity;
  table_version applied;
  service_table table;
  std::map<std::uint16_t, unsigned> flows;
  bool running = true;
  bool leaving = false;
  bool declared_gone = false; ///< its flows so far are lost
  unsigned cut_off_until = 0; ///< step

  void restart()
  {
    ++identity.life.value;
    applied = {};
    table = {};
    flows.clear();
    declared_gone = false;
    running = true;
    leaving = false;
  }

  bool owns(std::uint16_t bucket) const
  {
    if (bucket >= table.buckets.size() || table.buckets[bucket].size == 0)
      return false;
    const auto owner = table.buckets[bucket].holders[0];
    return table.holders[owner].node == identity.id;
  }

  node_report report() const
  {
    node_report value;
    value.identity = identity;
    value.applied = applied;
    value.fresh = applied == table_version{};
    value.leaving = leaving;
    value.empty = flows.empty();
    for (const auto& [bucket, count] : flows)
    {
      value.held_buckets.push_back(bucket);
      value.flows += count;
    }
    return value;
  }

  void apply(const table_update& update)
  {
    if (!(applied < update.version))
      return;
    applied = update.version;
    if (declared_gone)
      flows.clear();
    declared_gone = false;
    if (!update.changed.empty())
      table = update.changed.front();
  }
};

class random_run
{
public:
  explicit random_run(std::uint64_t seed) : random_(seed)
  {
    for (std::uint32_t i = 1; i <= 9; ++i)
      agents_.push_back({agent(i, i <= 5 ? "charts" : "sessions"), {}, {}, {}});
    apply(operator_request{
        "a", 0, create_service{"charts", address_of(1000), {}, 32}, 0});
    apply(operator_request{
        "b", 1, create_service{"sessions", address_of(1001), {}, 64}, 0});
  }

  void run()
  {
    for (step_ = 0; step_ < steps; ++step_)
    {
      random_event();
      for (auto& agent : agents_)
        run_agent(agent);
      propose(membership_.on_tick(control_.state, now()));
      check_holders();
      if (step_ % 100 == 99)
        check_replica();
    }
  }

private:
  unsigned pick(unsigned limit)
  {
    return static_cast<unsigned>(random_() % limit);
  }

  fake_agent& any_agent()
  {
    return agents_[pick(static_cast<unsigned>(agents_.size()))];
  }

  time_point now() const
  {
    return time_point{step_length * step_};
  }

  command_outcome apply(const command& value)
  {
    const auto version = control_.state.position();
    const auto outcome = control_.apply(value);
    const auto decoded = decode_command(encode(value));
    TOUCANMILL_INVARIANT(decoded.has_value(), "a command must decode");
    const auto other = replica_.apply(decoded.value());
    TOUCANMILL_INVARIANT(encode(outcome) == encode(other),
                         "replicas must have equal outcomes");
    TOUCANMILL_INVARIANT(version < control_.state.position(),
                         "versions must rise");
    return outcome;
  }

  void propose(const std::vector<command>& commands)
  {
    for (const auto& value : commands)
      apply(value);
  }

  void operate(operator_change change)
  {
    const auto stale = pick(8) == 0 ? 1U : 0U;
    operator_request request{
        "r" + std::to_string(step_) + "." + std::to_string(pick(4)),
        control_.state.configuration_version() - stale, std::move(change), 0};
    const bool known = first_.count(request.request_id) != 0;
    const auto outcome = std::get<change_outcome>(apply(request));
    TOUCANMILL_INVARIANT(known || outcome.accepted || !outcome.message.empty(),
                         "a refusal must have a message");
    if (!known)
      first_.emplace(request.request_id, std::pair(request, outcome));
  }

  /// Two changes at one version: at most one of them succeeds.
  void race()
  {
    const auto version = control_.state.configuration_version();
    const auto send = [&](const char* id, operator_change change)
    {
      return std::get<change_outcome>(apply(operator_request{
          id + std::to_string(step_), version, std::move(change), 0}));
    };
    const auto one = send("x", restore_node{any_agent().identity.name});
    const auto two = send("y", drain_node{any_agent().identity.name});
    TOUCANMILL_INVARIANT(!(one.accepted && two.accepted),
                         "a race must have one winner");
  }

  void resend()
  {
    if (first_.empty())
      return;
    const auto& [request, outcome] =
        std::next(first_.begin(), pick(static_cast<unsigned>(first_.size())))
            ->second;
    TOUCANMILL_INVARIANT(encode(apply(request)) ==
                             encode(command_outcome{outcome}),
                         "a resent request must have its first outcome");
  }

  /// A key is granted to one claim id until it is released.
  void claim()
  {
    const auto key = std::to_string(pick(20));
    const claim_id id{pick(3) + 1};
    const claim_request request{{service_id{1}, key}, id, {1}, 0};
    const auto outcome = std::get<claim_outcome>(apply(request));
    if (outcome.verdict == claim_verdict::granted)
    {
      const auto [holder, added] = granted_.emplace(key, id);
      TOUCANMILL_INVARIANT(added || holder->second == id,
                           "a key must be granted to one claim");
    }
    if (const auto holder = granted_.find(key);
        holder != granted_.end() && pick(4) == 0)
    {
      apply(claim_release{request.key, id});
      if (holder->second == id)
        granted_.erase(holder);
    }
  }

  void random_event()
  {
    auto& agent = any_agent();
    switch (pick(60))
    {
    case 0:
    case 1:
      return operate(drain_node{agent.identity.name});
    case 2:
    case 3:
      return operate(restore_node{agent.identity.name});
    case 4:
      agent.leaving = true;
      return;
    case 5:
      agent.running = pick(4) != 0;
      return;
    case 6:
    case 7:
      if (!agent.running || (agent.leaving && agent.flows.empty()))
        agent.restart();
      return;
    case 8:
      agent.cut_off_until = step_ + pick(600);
      return;
    case 9:
      return race();
    case 10:
      return resend();
    case 11:
      return membership_.on_leader(control_.state, now());
    case 12:
      return claim();
    default:
      return;
    }
  }

  void run_agent(fake_agent& agent)
  {
    if (!agent.running)
      return agent.flows.clear();
    const auto bucket = static_cast<std::uint16_t>(pick(64));
    if (agent.owns(bucket) && !agent.leaving)
      ++agent.flows[bucket];
    if (!agent.flows.empty() && pick(3) == 0)
      end_flow(agent);
    if (step_ < agent.cut_off_until || pick(5) != 0)
      return;
    propose(membership_.on_report(control_.state, agent.report(), now()));
    const auto* const service =
        control_.state.find_service(agent.identity.service);
    if (pick(4) != 0)
      agent.apply(control_.state.changes_since(agent.applied, service->id));
  }

  void end_flow(fake_agent& agent)
  {
    const auto flow = std::next(
        agent.flows.begin(), pick(static_cast<unsigned>(agent.flows.size())));
    if (--flow->second == 0)
      agent.flows.erase(flow);
  }

  /// An agent is in the chain of every bucket in which it has flows. Flows of
  /// an agent that was cut off until it was declared gone are not counted: that
  /// is a failure, not a planned change.
  void check_holders()
  {
    for (auto& agent : agents_)
    {
      const auto* const record = control_.state.find_node(agent.identity.id);
      if (record == nullptr || record->identity.life != agent.identity.life)
        continue;
      if (record->state == node_state::gone)
        agent.declared_gone = true;
      if (agent.declared_gone)
        continue;
      const auto* const table =
          control_.state.find_service(agent.identity.service);
      for (const auto& [bucket, count] : agent.flows)
        TOUCANMILL_INVARIANT(holds(*table, bucket, agent.identity.id),
                             "a holder with flows left a chain");
    }
  }

  static bool holds(const service_table& table, std::uint16_t bucket,
                    node_id node)
  {
    for (const auto holder : table.buckets[bucket])
      if (table.holders[holder].node == node)
        return true;
    return false;
  }

  /// The other replica has the same state and goes on from a snapshot of it.
  void check_replica()
  {
    const auto snapshot = control_.state.snapshot();
    TOUCANMILL_INVARIANT(snapshot == replica_.state.snapshot(),
                         "replicas must have equal snapshots");
    auto restored = state_machine::restore(snapshot);
    TOUCANMILL_INVARIANT(restored.has_value(), "a snapshot must restore");
    replica_.state = std::move(restored.value());
    TOUCANMILL_INVARIANT(snapshot == replica_.state.snapshot(),
                         "a restored state must equal the original");
  }

  std::mt19937_64 random_;
  machine control_;
  machine replica_;
  membership_core membership_{membership_options{}};
  std::vector<fake_agent> agents_;
  std::map<std::string, std::pair<operator_request, change_outcome>> first_;
  std::map<std::string, claim_id> granted_;
  unsigned step_ = 0;
};

} // namespace

TEST_GROUP(random_run){};

// Guards against flows, outcomes or decisions that are lost when drains,
// restarts, crashes, cut-off agents, races and new leaders come together.
TEST(random_run, invariants_hold)
{
  for (std::uint64_t seed = 1; seed <= seeds(); ++seed)
    random_run(seed).run();
}
