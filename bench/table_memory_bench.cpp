#include <benchmark/benchmark.h>
#include <malloc.h>

#include "flow_datagrams.hpp"

using namespace toucanmill;

namespace
{

/// Octets that the allocator has handed out.
std::size_t allocated()
{
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

/// Memory of a table. Argument: services.
void table_memory(benchmark::State& state)
{
  const auto services = static_cast<std::uint32_t>(state.range(0));
  for (auto _ : state)
  {
    const auto before = allocated();
    const auto table = bench::build_table(services);
    const auto used = static_cast<double>(allocated() - before);
    state.counters["octets_per_service"] = used / services;
    state.counters["table_octets"] = used;
  }
}

BENCHMARK(table_memory)->Arg(10)->Arg(12000)->Iterations(1);

} // namespace

BENCHMARK_MAIN();
