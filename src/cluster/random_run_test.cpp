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

/// Simulated agent: accepts flows only in buckets that it owns according to the
/// table it has applied.
struct fake_agent
{
  node_identity identity;
  table_version applied;
  service_table table;
  std::map<std::uint16_t, unsigned> flows;
  bool running = true;
  bool leaving = false;
  bool marked_gone = false;   ///< its flows up to now are lost
  unsigned cut_off_until = 0; ///< step number; no reports before it

  void restart()
  {
    ++identity.life.value;
    applied = {};
    table = {};
    flows.clear();
    marked_gone = false;
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
    if (marked_gone)
      flows.clear();
    marked_gone = false;
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
  unsigned random_below(unsigned limit)
  {
    return static_cast<unsigned>(random_() % limit);
  }

  fake_agent& any_agent()
  {
    return agents_[random_below(static_cast<unsigned>(agents_.size()))];
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

  void send_change(operator_change change)
  {
    const auto stale = random_below(8) == 0 ? 1U : 0U;
    operator_request request{
        "r" + std::to_string(step_) + "." + std::to_string(random_below(4)),
        control_.state.configuration_version() - stale, std::move(change), 0};
    const bool known = first_outcomes_.count(request.request_id) != 0;
    const auto outcome = std::get<change_outcome>(apply(request));
    TOUCANMILL_INVARIANT(known || outcome.accepted || !outcome.message.empty(),
                         "a refusal must have a message");
    if (!known)
      first_outcomes_.emplace(request.request_id, std::pair(request, outcome));
  }

  /// Sends two changes based on the same version; at most one may succeed.
  void send_conflicting_changes()
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
                         "at most one of two conflicting changes may succeed");
  }

  void retry_request()
  {
    if (first_outcomes_.empty())
      return;
    const auto& [request, outcome] =
        std::next(first_outcomes_.begin(),
                  random_below(static_cast<unsigned>(first_outcomes_.size())))
            ->second;
    TOUCANMILL_INVARIANT(encode(apply(request)) ==
                             encode(command_outcome{outcome}),
                         "a retried request must have its first outcome");
  }

  /// Claims a random key; it must stay with one claim id until released.
  void claim_random_key()
  {
    const auto key = std::to_string(random_below(20));
    const claim_id id{random_below(3) + 1};
    const claim_request request{{service_id{1}, key}, id, {1}, 0};
    const auto outcome = std::get<claim_outcome>(apply(request));
    if (outcome.verdict == claim_verdict::granted)
    {
      const auto [holder, added] = granted_claims_.emplace(key, id);
      TOUCANMILL_INVARIANT(added || holder->second == id,
                           "a key must be granted to one claim");
    }
    if (const auto holder = granted_claims_.find(key);
        holder != granted_claims_.end() && random_below(4) == 0)
    {
      apply(claim_release{request.key, id});
      if (holder->second == id)
        granted_claims_.erase(holder);
    }
  }

  void random_event()
  {
    auto& agent = any_agent();
    switch (random_below(60))
    {
    case 0:
    case 1:
      return send_change(drain_node{agent.identity.name});
    case 2:
    case 3:
      return send_change(restore_node{agent.identity.name});
    case 4:
      agent.leaving = true;
      return;
    case 5:
      agent.running = random_below(4) != 0;
      return;
    case 6:
    case 7:
      if (!agent.running || (agent.leaving && agent.flows.empty()))
        agent.restart();
      return;
    case 8:
      agent.cut_off_until = step_ + random_below(600);
      return;
    case 9:
      return send_conflicting_changes();
    case 10:
      return retry_request();
    case 11:
      return membership_.on_leader(control_.state, now());
    case 12:
      return claim_random_key();
    case 13:
      return send_change(evacuate_data_centre{agent.identity.data_centre});
    case 14:
      return send_change(restore_data_centre{agent.identity.data_centre});
    case 15:
      apply(set_evacuation{agent.identity.data_centre, random_below(2) == 0,
                           step_});
      return;
    default:
      return;
    }
  }

  void run_agent(fake_agent& agent)
  {
    if (!agent.running)
      return agent.flows.clear();
    const auto bucket = static_cast<std::uint16_t>(random_below(64));
    if (agent.owns(bucket) && !agent.leaving)
      ++agent.flows[bucket];
    if (!agent.flows.empty() && random_below(3) == 0)
      end_flow(agent);
    if (step_ < agent.cut_off_until || random_below(5) != 0)
      return;
    propose(membership_.on_report(control_.state, agent.report(), now()));
    const auto* const service =
        control_.state.find_service(agent.identity.service);
    if (random_below(4) != 0)
      agent.apply(control_.state.changes_since(agent.applied, service->id));
  }

  void end_flow(fake_agent& agent)
  {
    const auto flow =
        std::next(agent.flows.begin(),
                  random_below(static_cast<unsigned>(agent.flows.size())));
    if (--flow->second == 0)
      agent.flows.erase(flow);
  }

  /// Checks that each agent is in the chain of every bucket in which it has
  /// flows. Agents that were marked gone while cut off are skipped, since that
  /// is a failure rather than a planned change.
  void check_holders()
  {
    for (auto& agent : agents_)
    {
      const auto* const record = control_.state.find_node(agent.identity.id);
      if (record == nullptr || record->identity.life != agent.identity.life)
        continue;
      if (record->state == node_state::gone)
        agent.marked_gone = true;
      if (agent.marked_gone)
        continue;
      const auto* const table =
          control_.state.find_service(agent.identity.service);
      for (const auto& [bucket, count] : agent.flows)
        TOUCANMILL_INVARIANT(chain_contains(*table, bucket, agent.identity.id),
                             "a holder with flows left a chain");
    }
  }

  static bool chain_contains(const service_table& table, std::uint16_t bucket,
                             node_id node)
  {
    for (const auto holder : table.buckets[bucket])
      if (table.holders[holder].node == node)
        return true;
    return false;
  }

  /// Checks that both replicas have the same state, then replaces the state of
  /// the second one by one restored from the snapshot.
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
  state_machine_fixture control_;
  state_machine_fixture replica_;
  membership_core membership_{membership_options{}};
  std::vector<fake_agent> agents_;
  std::map<std::string, std::pair<operator_request, change_outcome>>
      first_outcomes_;
  std::map<std::string, claim_id> granted_claims_;
  unsigned step_ = 0;
};

} // namespace

TEST_GROUP(random_run){};

// Guards against losing flows, request outcomes, claims or evacuations when
// drains, restarts, crashes, network partitions, conflicting changes and leader
// changes coincide.
TEST(random_run, invariants_hold)
{
  for (std::uint64_t seed = 1; seed <= seeds(); ++seed)
    random_run(seed).run();
}
