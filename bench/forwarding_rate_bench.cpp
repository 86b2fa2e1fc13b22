#include <benchmark/benchmark.h>

#include <algorithm>
#include <vector>

#include <toucanmill/balancer/balancer.hpp>

#include "datagram_load.hpp"
#include "flow_datagrams.hpp"
#include "plain_relay.hpp"

using namespace toucanmill;

namespace
{

constexpr endpoint loopback{ipv4_address{0x7F000001}, 0};
constexpr std::size_t datagram_count = 4096;
/// Short runs in turn, so that other load on the machine meets both relays.
constexpr unsigned pairs = 21;
constexpr std::uint64_t packets_per_run = 20000;

/// Every holder of every service is the sink.
routing_table table_to(const endpoint& sink, std::uint32_t services)
{
  auto update =
      test::full_update(services, bench::bucket_count, bench::holder_count);
  for (auto& service : update.changed)
    for (auto& holder : service.holders)
      holder.agent = sink;
  return routing_table{}.apply(update).value();
}

std::unique_ptr<balancer> start_balancer(const endpoint& sink,
                                         std::uint32_t services)
{
  balancer_options options;
  options.listen = loopback;
  auto started = balancer::start(std::move(options)).value();
  started->set_table(table_to(sink, services));
  while (started->applied_version() == table_version{})
    std::this_thread::yield();
  return started;
}

double median(std::vector<double> values)
{
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

/// Figures of the pairs of runs.
struct run_pairs
{
  std::vector<double> plain_rates;
  std::vector<double> balancer_rates;
  std::vector<double> ratios;
  std::vector<double> waits;
  std::uint64_t lost = 0;

  void add(const bench::load_result& plain, const bench::load_result& balancer)
  {
    plain_rates.push_back(plain.packets_per_second);
    balancer_rates.push_back(balancer.packets_per_second);
    ratios.push_back(balancer.packets_per_second / plain.packets_per_second);
    waits.push_back(std::min(plain.wait_share, balancer.wait_share));
    lost += plain.lost + balancer.lost;
  }

  void report(benchmark::State& state) const
  {
    state.counters["plain_per_s"] = median(plain_rates);
    state.counters["balancer_per_s"] = median(balancer_rates);
    state.counters["ratio"] = median(ratios);
    state.counters["wait_share"] = median(waits);
    state.counters["lost"] = static_cast<double>(lost);
  }
};

/// Rate of the balancer relative to a plain relay in the same run. Arguments:
/// services, octets of TCP payload.
void forwarding_rate(benchmark::State& state)
{
  const auto services = static_cast<std::uint32_t>(state.range(0));
  const auto datagrams = bench::flow_datagrams(
      datagram_count, services, static_cast<std::size_t>(state.range(1)));
  bench::datagram_load load(datagrams);
  bench::datagram_sink sink;
  const auto subject = start_balancer(sink.local_endpoint(), services);
  const bench::plain_relay plain(loopback, sink.local_endpoint());
  run_pairs pairs_run;
  for (auto _ : state)
    for (unsigned i = 0; i < pairs; ++i)
    {
      const auto first =
          load.run(plain.local_endpoint(), sink, packets_per_run);
      const auto second =
          load.run(subject->local_endpoint(), sink, packets_per_run);
      pairs_run.add(first, second);
    }
  pairs_run.report(state);
}

BENCHMARK(forwarding_rate)
    ->Args({10, 64})
    ->Args({12000, 64})
    ->Args({10, 1360})
    ->Args({12000, 1360})
    ->Iterations(1)
    ->UseRealTime()
    ->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
