#include <benchmark/benchmark.h>

#include <toucanmill/balancer/forward_core.hpp>

#include "flow_datagrams.hpp"

using namespace toucanmill;

namespace
{

constexpr std::size_t datagram_count = 16384;

/// Decision for one packet, without any system call. Argument: services.
void forward_decision(benchmark::State& state)
{
  const auto services = static_cast<std::uint32_t>(state.range(0));
  const auto datagrams = bench::flow_datagrams(datagram_count, services, 64);
  forward_core core;
  core.set_table(
      std::make_shared<const routing_table>(bench::build_table(services)));
  std::size_t next = 0;
  for (auto _ : state)
  {
    const auto& datagram = datagrams[next++ % datagram_count];
    benchmark::DoNotOptimize(
        core.on_datagram({datagram.data(), datagram.size()}, endpoint{}));
  }
  if (core.counters().forwarded != next)
    state.SkipWithError("a packet was dropped");
  state.SetItemsProcessed(state.iterations());
}

BENCHMARK(forward_decision)->Arg(10)->Arg(12000);

} // namespace

BENCHMARK_MAIN();
