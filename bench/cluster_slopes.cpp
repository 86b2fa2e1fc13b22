// Time and memory of the control state against the number of nodes, services
// and claims, and the size of a table update. For docs/CAPACITY.md.
// Arguments of each benchmark: services / upstreams in each / claims.

#include <malloc.h>

#include <memory>
#include <optional>

#include <benchmark/benchmark.h>
#include <capnp/message.h>

#include <toucanmill/cluster/membership_core.hpp>
#include <toucanmill/cluster/wire.hpp>

#include "../src/cluster/test_support.hpp"

namespace
{

using namespace toucanmill;
using namespace toucanmill::support;

constexpr std::uint32_t buckets = 256;
constexpr std::size_t answer_octets = 200;

struct size
{
  std::int64_t services;
  std::int64_t upstreams;
  std::int64_t claims;

  bool operator==(const size& other) const
  {
    return services == other.services && upstreams == other.upstreams &&
           claims == other.claims;
  }
};

std::string service_name(std::int64_t number)
{
  return "service-" + std::to_string(number);
}

std::size_t heap_octets()
{
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

assignment_options large_store()
{
  assignment_options options;
  options.max_claim_octets = std::size_t{1} << 30;
  return options;
}

/// A control state of a given size with all upstreams balanced.
struct world
{
  explicit world(size wanted) : control(large_store()), dimensions(wanted)
  {
    const auto before = heap_octets();
    for (std::int64_t i = 0; i < wanted.services; ++i)
      add_service(i);
    membership.on_leader(control.state, now);
    for (std::int64_t i = 0; i < wanted.claims; ++i)
      add_claim(i);
    octets = heap_octets() - before;
  }

  node_identity upstream(std::int64_t service, std::int64_t number,
                         std::uint64_t life = 1) const
  {
    return agent(
        static_cast<std::uint32_t>(service * dimensions.upstreams + number + 1),
        service_name(service), life);
  }

  state_machine_fixture control;
  membership_core membership{membership_options{}};
  size dimensions;
  time_point now{};
  std::size_t octets = 0;

  /// Balances the buckets of a service and shortens its chains to the owners.
  void balance(std::int64_t service)
  {
    rebalance step;
    step.service = service_name(service);
    for (std::int64_t i = 0; i < dimensions.upstreams; ++i)
      step.weights.push_back({upstream(service, i).id, 1000});
    for (unsigned i = 0; i < buckets / 16; ++i)
      control.apply(step);
    for (std::int64_t i = 0; i < dimensions.upstreams; ++i)
      release_all(upstream(service, i).id);
  }

private:
  void release_all(node_id node)
  {
    const auto index = control.position.index;
    const auto life = control.state.find_node(node)->identity.life;
    auto held = control.state.releasable_buckets(node, index, {});
    if (!held.empty())
      control.apply(release_buckets{node, life, index, std::move(held)});
  }

  void add_service(std::int64_t number)
  {
    control.clock += 100;
    control.change(create_service{
        service_name(number),
        {ipv4_address{0xcb000000U + static_cast<std::uint32_t>(number)}, 443},
        service_kind::http,
        buckets});
    for (std::int64_t i = 0; i < dimensions.upstreams; ++i)
      control.apply(register_node{upstream(number, i)});
    balance(number);
  }

  void add_claim(std::int64_t number)
  {
    const auto key = "submission-" + std::to_string(number);
    const auto id = static_cast<std::uint64_t>(number) + 1;
    control.claim(key, id);
    control.apply(claim_completion{
        {service_id{1}, key}, claim_id{id}, std::string(answer_octets, 'x')});
  }
};

/// The world of the running benchmark; one at a time bounds the memory.
world& world_of(const benchmark::State& bench)
{
  static std::unique_ptr<world> present;
  const size wanted{bench.range(0), bench.range(1), bench.range(2)};
  if (!present || !(present->dimensions == wanted))
  {
    present.reset();
    present = std::make_unique<world>(wanted);
  }
  return *present;
}

void drain_and_restore(benchmark::State& bench)
{
  auto& w = world_of(bench);
  const auto name = w.upstream(0, 0).name;
  for (auto _ : bench)
  {
    w.control.clock += 100;
    w.control.change(drain_node{name});
    w.control.change(restore_node{name});
    bench.PauseTiming();
    w.balance(0);
    bench.ResumeTiming();
  }
}

void register_restarted(benchmark::State& bench)
{
  auto& w = world_of(bench);
  auto life =
      w.control.state.find_node(w.upstream(0, 1).id)->identity.life.value;
  for (auto _ : bench)
  {
    w.control.apply(register_node{w.upstream(0, 1, ++life)});
    bench.PauseTiming();
    w.balance(0);
    bench.ResumeTiming();
  }
}

void claim_and_release(benchmark::State& bench)
{
  auto& w = world_of(bench);
  for (auto _ : bench)
  {
    benchmark::DoNotOptimize(w.control.claim("new key", 1));
    w.control.apply(claim_release{{service_id{1}, "new key"}, claim_id{1}});
  }
}

void changes_since_one_change(benchmark::State& bench)
{
  auto& w = world_of(bench);
  w.balance(0);
  const auto before = w.control.state.position();
  const auto name = w.upstream(0, 0).name;
  w.control.clock += 100;
  w.control.change(drain_node{name});
  std::size_t octets = 0;
  for (auto _ : bench)
  {
    const auto update = w.control.state.changes_since(before);
    capnp::MallocMessageBuilder message;
    wire::write(message.initRoot<schema::TableUpdate>(), update);
    octets = message.sizeInWords() * sizeof(capnp::word);
  }
  bench.counters["octets"] = static_cast<double>(octets);
  w.control.change(restore_node{name});
  w.balance(0);
}

void changes_since_start(benchmark::State& bench)
{
  auto& w = world_of(bench);
  std::size_t octets = 0;
  for (auto _ : bench)
  {
    const auto update = w.control.state.changes_since({});
    capnp::MallocMessageBuilder message;
    wire::write(message.initRoot<schema::TableUpdate>(), update);
    octets = message.sizeInWords() * sizeof(capnp::word);
  }
  bench.counters["octets"] = static_cast<double>(octets);
}

void take_snapshot(benchmark::State& bench)
{
  auto& w = world_of(bench);
  std::size_t octets = 0;
  for (auto _ : bench)
    octets = w.control.state.snapshot().size();
  bench.counters["octets"] = static_cast<double>(octets);
  bench.counters["heap"] = static_cast<double>(w.octets);
}

void restore_snapshot(benchmark::State& bench)
{
  auto& w = world_of(bench);
  const auto bytes = w.control.state.snapshot();
  for (auto _ : bench)
    benchmark::DoNotOptimize(state_machine::restore(bytes, large_store()));
}

void report(benchmark::State& bench)
{
  auto& w = world_of(bench);
  node_report value;
  value.applied = w.control.state.position();
  for (std::uint16_t i = 0; i < buckets; i += 2)
    value.held_buckets.push_back(i);
  std::int64_t turn = 0;
  const auto upstreams = w.dimensions.services * w.dimensions.upstreams;
  for (auto _ : bench)
  {
    // Consecutive reports come from distant nodes.
    turn = (turn + 7919) % upstreams;
    value.identity = w.upstream(turn / w.dimensions.upstreams,
                                turn % w.dimensions.upstreams);
    value.identity.life =
        w.control.state.find_node(value.identity.id)->identity.life;
    benchmark::DoNotOptimize(
        w.membership.on_report(w.control.state, value, w.now));
  }
}

void tick_with_rebalance(benchmark::State& bench)
{
  auto& w = world_of(bench);
  w.membership.on_leader(w.control.state, w.now);
  for (auto _ : bench)
  {
    w.now += std::chrono::seconds(1);
    benchmark::DoNotOptimize(w.membership.on_tick(w.control.state, w.now));
    bench.PauseTiming();
    w.membership.on_leader(w.control.state, w.now);
    bench.ResumeTiming();
  }
}

void sizes(benchmark::internal::Benchmark* bench)
{
  bench->ArgNames({"services", "upstreams", "claims"});
  for (const auto upstreams : {10, 100, 1000})
    bench->Args({10, upstreams, 0});
  for (const auto services : {100, 1000, 12000})
    bench->Args({services, 5, 0});
  for (const auto claims : {1000, 10000, 100000})
    bench->Args({10, 10, claims});
}

void register_all()
{
  const std::pair<const char*, void (*)(benchmark::State&)> all[] = {
      {"drain_and_restore", drain_and_restore},
      {"register_restarted", register_restarted},
      {"claim_and_release", claim_and_release},
      {"changes_since_one_change", changes_since_one_change},
      {"changes_since_start", changes_since_start},
      {"snapshot", take_snapshot},
      {"restore", restore_snapshot},
      {"on_report", report},
      {"on_tick", tick_with_rebalance},
  };
  for (const auto& [name, function] : all)
    sizes(benchmark::RegisterBenchmark(name, function));
}

} // namespace

int main(int argc, char** argv)
{
  register_all();
  benchmark::Initialize(&argc, argv);
  if (benchmark::ReportUnrecognizedArguments(argc, argv))
    return 2;
  benchmark::RunSpecifiedBenchmarks();
  return 0;
}
