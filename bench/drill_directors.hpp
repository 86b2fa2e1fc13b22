#ifndef TOUCANMILL_BENCH_DRILL_DIRECTORS_HPP
#define TOUCANMILL_BENCH_DRILL_DIRECTORS_HPP

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <capnp/message.h>
#include <xxhash.h>

#include <toucanmill/cluster/membership_core.hpp>
#include <toucanmill/cluster/wire.hpp>

#include "../src/cluster/test_support.hpp"

/// Ways to direct flows to upstreams, compared by assignment_drill.
namespace toucanmill::drill
{

using upstream_number = std::uint32_t;

inline constexpr std::uint32_t bucket_count = 256;
inline constexpr unsigned balancers = 4;

/// Flows of one upstream by bucket.
using bucket_flows = std::map<std::uint16_t, std::uint32_t>;
using all_flows = std::map<upstream_number, bucket_flows>;

inline std::uint16_t bucket_of_hash(std::uint64_t hash)
{
  return static_cast<std::uint16_t>(hash & (bucket_count - 1));
}

class director
{
public:
  virtual ~director() = default;
  virtual void join(upstream_number upstream) = 0;
  virtual void drain(upstream_number upstream) = 0;
  virtual void restore(upstream_number upstream) = 0;
  virtual void restart(upstream_number upstream) = 0;
  virtual void leave(upstream_number upstream) = 0;

  /// One second passes; true when established flows must be checked.
  virtual bool tick(std::uint64_t second, const all_flows& flows) = 0;

  /// Upstream of a new flow.
  virtual upstream_number owner(std::uint64_t hash) const = 0;

  /// Whether packets of an established flow still reach its upstream.
  virtual bool reaches(std::uint64_t hash, upstream_number holder) const = 0;

  std::uint64_t table_octets = 0; ///< sent to all balancers and agents
  std::uint64_t peak_octets = 0;  ///< to one node in one second
  std::uint64_t moved_buckets = 0;
};

/// Hashes flows over the active upstreams; keeps nothing about earlier ones.
class hash_director : public director
{
public:
  using choice = upstream_number (*)(std::uint64_t hash,
                                     const std::vector<upstream_number>&);

  explicit hash_director(choice choose) : choose_(choose) {}

  void join(upstream_number upstream) override
  {
    const auto before = reference();
    active_.push_back(upstream);
    std::sort(active_.begin(), active_.end());
    count_change(before);
  }
  void drain(upstream_number upstream) override
  {
    const auto before = reference();
    active_.erase(std::find(active_.begin(), active_.end(), upstream));
    count_change(before);
  }
  void restore(upstream_number upstream) override
  {
    join(upstream);
  }
  void restart(upstream_number) override {}
  void leave(upstream_number upstream) override
  {
    drain(upstream);
  }
  bool tick(std::uint64_t, const all_flows&) override
  {
    return std::exchange(changed_, false);
  }
  upstream_number owner(std::uint64_t hash) const override
  {
    return choose_(hash, active_);
  }
  bool reaches(std::uint64_t hash, upstream_number holder) const override
  {
    return owner(hash) == holder;
  }

private:
  /// Owners of hashes that stand for the buckets.
  std::vector<upstream_number> reference() const
  {
    std::vector<upstream_number> owners;
    for (std::uint64_t i = 0; i < bucket_count && !active_.empty(); ++i)
      owners.push_back(owner(XXH3_64bits(&i, sizeof i)));
    return owners;
  }

  void count_change(const std::vector<upstream_number>& before)
  {
    changed_ = true;
    const auto after = reference();
    for (std::size_t i = 0; i < std::min(before.size(), after.size()); ++i)
      moved_buckets += before[i] != after[i] ? 1 : 0;
    capnp::MallocMessageBuilder message;
    service_table table;
    for (const auto upstream : active_)
      table.holders.push_back(
          {node_id{upstream}, support::address_of(upstream), false});
    wire::write(message.initRoot<schema::ServiceTable>(), table);
    const auto octets = message.sizeInWords() * sizeof(capnp::word);
    table_octets += octets * balancers;
    peak_octets = std::max<std::uint64_t>(peak_octets, octets);
  }

  choice choose_;
  std::vector<upstream_number> active_;
  bool changed_ = false;
};

inline upstream_number modulo_choice(std::uint64_t hash,
                                     const std::vector<upstream_number>& active)
{
  return active[hash % active.size()];
}

/// Rendezvous hashing: the upstream with the highest hash of flow and upstream.
inline upstream_number
consistent_choice(std::uint64_t hash,
                  const std::vector<upstream_number>& active)
{
  const auto score = [&](upstream_number upstream)
  {
    return XXH3_64bits_withSeed(&upstream, sizeof upstream, hash);
  };
  return *std::max_element(active.begin(), active.end(),
                           [&](upstream_number a, upstream_number b)
                           {
                             return score(a) < score(b);
                           });
}

/// The control state machine; packets reach the first `visible` holders.
class chain_director : public director
{
public:
  explicit chain_director(std::size_t visible, assignment_options options = {})
      : visible_(visible), control_(options)
  {
    control_.change(create_service{"s", support::address_of(9999),
                                   service_kind::stream, bucket_count});
    membership_.on_leader(control_.state, time_point{});
  }

  void join(upstream_number upstream) override
  {
    agents_[upstream].identity = support::agent(upstream, "s");
  }
  void drain(upstream_number upstream) override
  {
    control_.change(drain_node{agents_.at(upstream).identity.name});
  }
  void restore(upstream_number upstream) override
  {
    control_.change(restore_node{agents_.at(upstream).identity.name});
  }
  void restart(upstream_number upstream) override
  {
    auto& agent = agents_.at(upstream);
    ++agent.identity.life.value;
    agent.applied = {};
  }
  void leave(upstream_number upstream) override
  {
    agents_.at(upstream).leaving = true;
  }

  bool tick(std::uint64_t second, const all_flows& flows) override
  {
    const time_point now{std::chrono::seconds(second)};
    for (auto& [upstream, agent] : agents_)
    {
      const auto found = flows.find(upstream);
      report(agent, found == flows.end() ? bucket_flows{} : found->second, now);
    }
    run(membership_.on_tick(control_.state, now));
    forget_gone_agents();
    return note_new_table();
  }

  upstream_number owner(std::uint64_t hash) const override
  {
    return holder(table_.buckets[bucket_of_hash(hash)].holders[0]);
  }

  bool reaches(std::uint64_t hash, upstream_number upstream) const override
  {
    const auto& chain = table_.buckets[bucket_of_hash(hash)];
    const auto last = std::min<std::size_t>(visible_, chain.size);
    return std::any_of(chain.begin(), chain.begin() + last,
                       [&](std::uint16_t index)
                       {
                         return holder(index) == upstream;
                       });
  }

private:
  struct agent_state
  {
    node_identity identity;
    table_version applied;
    bool leaving = false;
  };

  upstream_number holder(std::uint16_t index) const
  {
    return static_cast<upstream_number>(table_.holders[index].node.value);
  }

  void report(agent_state& agent, const bucket_flows& flows, time_point now)
  {
    node_report value;
    value.identity = agent.identity;
    value.applied = agent.applied;
    value.leaving = agent.leaving;
    value.empty = flows.empty();
    for (const auto& [bucket, count] : flows)
    {
      value.held_buckets.push_back(bucket);
      value.flows += count;
    }
    run(membership_.on_report(control_.state, value, now));
    agent.applied = control_.state.position();
  }

  void run(const std::vector<command>& commands)
  {
    for (const auto& value : commands)
      control_.apply(value);
  }

  void forget_gone_agents()
  {
    for (auto it = agents_.begin(); it != agents_.end();)
    {
      const auto* const record =
          control_.state.find_node(it->second.identity.id);
      const bool gone = it->second.leaving && record != nullptr &&
                        record->state == node_state::gone;
      it = gone ? agents_.erase(it) : std::next(it);
    }
  }

  bool note_new_table()
  {
    const auto& next = *control_.state.find_service("s");
    if (next.version == table_.version)
      return false;
    capnp::MallocMessageBuilder message;
    wire::write(message.initRoot<schema::ServiceTable>(), next);
    const auto octets = message.sizeInWords() * sizeof(capnp::word);
    table_octets += octets * (balancers + agents_.size());
    peak_octets = std::max<std::uint64_t>(peak_octets, octets);
    for (std::size_t i = 0; i < table_.buckets.size(); ++i)
      moved_buckets += owner_of(next, i) != owner_of(table_, i) ? 1 : 0;
    table_ = next;
    return true;
  }

  static std::uint64_t owner_of(const service_table& table, std::size_t bucket)
  {
    const auto& chain = table.buckets[bucket];
    return chain.size == 0 ? 0 : table.holders[chain.holders[0]].node.value;
  }

  std::size_t visible_;
  support::state_machine_fixture control_;
  membership_core membership_{membership_options{}};
  std::map<upstream_number, agent_state> agents_;
  service_table table_;
};

} // namespace toucanmill::drill

#endif
