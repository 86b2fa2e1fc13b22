#include <toucanmill/agent/dispatch_core.hpp>

#include <benchmark/benchmark.h>

#include <cstdint>
#include <vector>

#include <toucanmill/table/flow_hash.hpp>

using namespace toucanmill;

namespace
{

constexpr std::size_t bucket_count = 256;
constexpr std::uint32_t flow_count = 2000;
const endpoint self{{0x7F000001}, 5001};
const endpoint earlier{{0x7F000001}, 5002};
const endpoint service_address{{0xCB00710A}, 80};

/// A table whose buckets this agent owns and an earlier holder shares.
service_table make_table()
{
  service_table table;
  table.id = service_id{7};
  table.address = service_address;
  table.version = {1, 1};
  table.holders = {{node_id{1}, self, false}, {node_id{2}, earlier, false}};
  chain holders;
  holders.size = 2;
  holders.holders[1] = 1;
  table.buckets.assign(bucket_count, holders);
  return table;
}

struct stamped_packet
{
  tcp_packet packet;
  route_stamp stamp;
};

stamped_packet make_packet(std::uint32_t number)
{
  stamped_packet result;
  auto& [packet, stamp] = result;
  packet.flow = {{{0x0A000000 + number}, 1000}, service_address};
  stamp.service = service_id{7};
  stamp.version = {1, 1};
  stamp.bucket = static_cast<std::uint16_t>(
      bucket_of(flow_hash(packet.flow), bucket_count));
  stamp.chain.size = 2;
  stamp.chain.holders[0] = self;
  stamp.chain.holders[1] = earlier;
  return result;
}

std::vector<stamped_packet> make_packets(std::uint32_t first)
{
  std::vector<stamped_packet> packets;
  for (std::uint32_t i = 0; i < flow_count; ++i)
    packets.push_back(make_packet(first + i));
  return packets;
}

/// An agent that holds the flows 0 to 1999.
struct loaded_agent
{
  loaded_agent()
  {
    core.on_table(make_table());
    for (auto [packet, stamp] : make_packets(0))
    {
      packet.syn = true;
      stamp.purpose = stamp_purpose::accept;
      core.on_packet(packet, stamp, {});
    }
  }

  dispatch_core core{{self}};
};

void run(benchmark::State& state, std::vector<stamped_packet> packets, bool syn)
{
  loaded_agent agent;
  for (auto& each : packets)
    each.packet.syn = syn;
  std::size_t next = 0;
  for (auto _ : state)
  {
    const auto& [packet, stamp] = packets[next];
    benchmark::DoNotOptimize(agent.core.on_packet(packet, stamp, {}));
    next = next + 1 == packets.size() ? 0 : next + 1;
  }
  state.SetItemsProcessed(state.iterations());
}

/// Mid-flow packet of a held flow.
void deliver_known(benchmark::State& state)
{
  run(state, make_packets(0), false);
}

/// Mid-flow packet of an unknown flow, passed to the next holder.
void pass_unknown(benchmark::State& state)
{
  run(state, make_packets(flow_count), false);
}

/// SYN of an unknown flow, sent as a probe to the earlier holder.
void probe_syn(benchmark::State& state)
{
  run(state, make_packets(flow_count), true);
}

BENCHMARK(deliver_known);
BENCHMARK(pass_unknown);
BENCHMARK(probe_syn);

} // namespace

BENCHMARK_MAIN();
