#ifndef TOUCANMILL_SRC_RELAY_RELAY_FIXTURE_TEST_HPP
#define TOUCANMILL_SRC_RELAY_RELAY_FIXTURE_TEST_HPP

#include <string>
#include <utility>
#include <vector>

#include <toucanmill/relay/relay_core.hpp>
#include <toucanmill/relay/relay_table.hpp>

namespace toucanmill::relay_test
{

using namespace std::chrono_literals;

constexpr time_point start{1h};

inline endpoint endpoint_at(std::uint32_t address, std::uint16_t port = 8000)
{
  return {{address}, port};
}

/// Address of the declared routes.
inline endpoint public_address(std::uint16_t port = 443)
{
  return {{0xC6120001}, port};
}

inline endpoint caller(std::uint16_t port = 40001)
{
  return {{0x64400007}, port};
}

inline flow_packet opening(std::uint16_t port = 40001,
                           std::uint32_t earlier_copies = 0)
{
  flow_packet packet;
  packet.source = caller(port);
  packet.destination = public_address();
  packet.opens = true;
  packet.acknowledged = earlier_copies;
  return packet;
}

inline flow_packet data(std::uint16_t port = 40001)
{
  auto packet = opening(port);
  packet.opens = false;
  packet.acknowledges = true;
  packet.acknowledged = 77;
  packet.payload_size = 100;
  return packet;
}

/// The upstream's answer to a caller's packet; it acknowledges the data.
inline flow_packet answer(flow_packet packet)
{
  std::swap(packet.source, packet.destination);
  packet.opens = false;
  packet.acknowledged = packet.sequence + packet.payload_size;
  return packet;
}

inline flow_packet bounced(flow_packet packet, std::uint32_t tag)
{
  packet.bounced = true;
  packet.tag = tag;
  return packet;
}

inline configuration routes_to(std::uint64_t version,
                               std::vector<route_target> targets)
{
  configuration declared;
  declared.version = version;
  for (const auto& target : targets)
    declared.services.push_back(target.service);
  route item;
  item.name = "r";
  item.address = public_address();
  item.targets = std::move(targets);
  item.timeout_ms = 1000;
  declared.routes.push_back(std::move(item));
  return declared;
}

inline const endpoint upstream_address = endpoint_at(3, 8080);

inline upstream_announcement announcement(std::uint64_t sequence = 1,
                                          const std::string& instance = "i-1",
                                          std::uint64_t born = 1000)
{
  upstream_announcement value;
  value.instance = instance;
  value.service = "notes";
  value.address = upstream_address;
  value.slots = 2;
  value.sequence = sequence;
  value.born_ms = born;
  return value;
}

/// Since the epoch, as upstreams state their birth.
inline std::uint64_t milliseconds_of(duration value)
{
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

/// Of an agent beside the upstream "notes".
inline relay_options agent_options(time_point started)
{
  relay_options value;
  value.upstream.service = "notes";
  value.upstream.address = upstream_address;
  value.started = started;
  return value;
}

/// The packet by which the upstream accepts the flow.
inline flow_packet acceptance(std::uint16_t port = 40001)
{
  auto packet = answer(data(port));
  packet.accepts = true;
  packet.payload_size = 0;
  return packet;
}

/// A service whose agents have the addresses first, first + 1, ... Each agent
/// but the first owns one bucket; the first owns all others.
inline service_table service(const std::string& name, std::uint32_t id,
                             std::uint32_t first, std::size_t agents)
{
  service_table table;
  table.id = {id};
  table.name = name;
  table.kind = service_kind::relay;
  for (std::size_t i = 0; i < agents; ++i)
    table.holders.push_back({{id * 100 + i},
                             endpoint_at(first + static_cast<std::uint32_t>(i)),
                             false});
  chain owned;
  owned.size = agents > 0 ? 1 : 0;
  table.buckets.assign(1024, owned);
  for (std::size_t i = 1; i < agents; ++i)
    table.buckets[i].holders[0] = static_cast<std::uint16_t>(i);
  return table;
}

inline std::shared_ptr<const relay_table>
table_of(std::uint64_t index, configuration declared,
         std::vector<service_table> services)
{
  table_update update;
  update.version = {1, index};
  update.full = true;
  update.changed = std::move(services);
  update.declared = std::move(declared);
  return std::make_shared<const relay_table>(relay_table().apply(update));
}

/// Records the calls of relay_core.
class recording_sink final : public relay_sink
{
public:
  struct sent
  {
    endpoint to;
    relay_header header;
  };

  void deliver(byte_view, std::uint32_t tag) override
  {
    delivered.push_back(tag);
  }
  void send(const endpoint& to, const relay_header& header, byte_view) override
  {
    messages.push_back({to, header});
  }
  void reply(const endpoint& to, byte_view) override
  {
    replies.push_back(to);
  }
  void reset(const flow_key& flow, std::uint32_t sequence) override
  {
    resets.emplace_back(flow, sequence);
  }
  void record(const relay_decision& value) override
  {
    decisions.push_back(value);
  }
  void record_latency(relay_timing what, duration taken) override
  {
    timings.emplace_back(what, taken);
  }

  std::vector<std::uint32_t> delivered;
  std::vector<sent> messages;
  std::vector<endpoint> replies;
  std::vector<std::pair<flow_key, std::uint32_t>> resets;
  std::vector<relay_decision> decisions;
  std::vector<std::pair<relay_timing, duration>> timings;
};

} // namespace toucanmill::relay_test

#endif
