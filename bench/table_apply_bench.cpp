#include <benchmark/benchmark.h>

#include "flow_datagrams.hpp"

using namespace toucanmill;

namespace
{

/// Replaces an empty table. Argument: services.
void apply_full(benchmark::State& state)
{
  const auto update =
      test::full_update(static_cast<std::uint32_t>(state.range(0)),
                        bench::bucket_count, bench::holder_count);
  for (auto _ : state)
    benchmark::DoNotOptimize(routing_table{}.apply(update));
}

/// Changes one service, as most updates do. Argument: services.
void apply_one_service(benchmark::State& state)
{
  const auto services = static_cast<std::uint32_t>(state.range(0));
  auto table = bench::build_table(services);
  table_update update;
  update.version = table.version();
  std::uint32_t next = 0;
  for (auto _ : state)
  {
    state.PauseTiming();
    update.changed = {test::build_service(
        1 + next++ % services, bench::bucket_count, bench::holder_count)};
    ++update.version.index;
    state.ResumeTiming();
    table = table.apply(update).value();
  }
}

BENCHMARK(apply_full)->Arg(10)->Arg(12000)->Unit(benchmark::kMicrosecond);
BENCHMARK(apply_one_service)
    ->Arg(10)
    ->Arg(12000)
    ->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
