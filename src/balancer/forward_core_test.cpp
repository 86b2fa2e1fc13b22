#include <toucanmill/balancer/forward_core.hpp>

#include <CppUTest/TestHarness.h>

#include <random>

#include <toucanmill/table/flow_hash.hpp>

#include "../packet/packet_builder_test.hpp"
#include "../table/table_builder_test.hpp"

using namespace toucanmill;
using namespace toucanmill::test;

namespace
{

const endpoint fabric = ip_endpoint(0x7F000002, 6080);

std::shared_ptr<const routing_table> table_from(const table_update& update)
{
  return std::make_shared<const routing_table>(
      routing_table{}.apply(update).value());
}

octets datagram_for(const flow_key& flow)
{
  return encapsulate(encode_gue_header(), build_packet(flow, ack_flag, 64));
}

flow_key flow_to(std::uint32_t service, std::uint16_t port = 40001)
{
  return {ip_endpoint(0xC6336401, port), public_address(service)};
}

} // namespace

TEST_GROUP(forward_core)
{
  forward_core core;

  forward_action on(const octets& datagram)
  {
    return core.on_datagram(view(datagram), fabric);
  }

  void check_drop(forward_drop reason, const octets& datagram)
  {
    const auto index = static_cast<std::size_t>(reason);
    const auto before = core.counters().drops.at(index);
    const auto action = on(datagram);
    CHECK_TRUE(std::holds_alternative<forward_drop>(action));
    STRCMP_EQUAL(to_string(reason), to_string(std::get<forward_drop>(action)));
    CHECK_EQUAL(before + 1, core.counters().drops.at(index));
  }
};

// Guards against a wrong route stamp: each field affects where agents send
// later packets and replies.
TEST(forward_core, packet_goes_to_the_owner_with_a_complete_stamp)
{
  core.set_table(table_from(full_update(20, 64, 5)));
  for (std::uint16_t port = 1; port <= 500; ++port)
  {
    const auto flow = flow_to(1 + port % 20, port);
    const auto& service = *core.table().find(flow.service);
    const auto bucket = bucket_of(flow_hash(flow), 64);
    const auto& holders = service.buckets[bucket];
    const auto datagram = datagram_for(flow);
    const auto action = on(datagram);
    const auto& sent = std::get<send_to_agent>(action);
    CHECK_TRUE(sent.agent == service.holders[holders.holders[0]].agent);

    const auto out = encapsulate(
        sent.header, {sent.inner.data, sent.inner.data + sent.inner.size});
    const auto decoded = decode_gue(view(out));
    const auto& stamp = std::get<gue_packet>(decoded).stamp;
    CHECK_TRUE(stamp.service == service.id);
    CHECK_TRUE(stamp.version == service.version);
    CHECK_EQUAL(bucket, stamp.bucket);
    CHECK_EQUAL(0, stamp.position);
    CHECK_EQUAL(0, stamp.hops);
    CHECK_TRUE(stamp.purpose == stamp_purpose::forward);
    CHECK_TRUE(stamp.return_to == fabric);
    CHECK_EQUAL(holders.size, stamp.chain.size);
    for (std::size_t i = 0; i < holders.size; ++i)
    {
      const auto& holder = service.holders[holders.holders[i]];
      CHECK_TRUE(stamp.chain.holders[i] == holder.agent);
      CHECK_EQUAL(holder.suspect, stamp.chain.is_suspect(i));
    }
    CHECK_TRUE(octets(datagram.begin() + 4, datagram.end()) ==
               octets(out.end() - 104, out.end()));
  }
  CHECK_EQUAL(500U, core.counters().forwarded);
}

// Guards against delivery of a packet that matches no service or no agent.
TEST(forward_core, packet_without_service_or_upstream_is_dropped)
{
  check_drop(forward_drop::no_service, datagram_for(flow_to(1)));
  auto update = full_update(2, 64, 5);
  update.changed[1].buckets.assign(64, chain{});
  core.set_table(table_from(update));
  auto other_port = flow_to(1);
  other_port.service.port = 444;
  check_drop(forward_drop::no_service, datagram_for(other_port));
  check_drop(forward_drop::no_service, datagram_for(flow_to(3)));
  check_drop(forward_drop::no_upstream, datagram_for(flow_to(2)));
  CHECK_EQUAL(0U, core.counters().forwarded);
}

// Guards against loops between balancers and agents, and against a forged
// stamp that selects the agent.
TEST(forward_core, datagrams_not_meant_for_a_balancer_are_dropped)
{
  core.set_table(table_from(full_update(2, 64, 5)));
  const auto inner = build_packet(flow_to(1), ack_flag);
  check_drop(forward_drop::already_stamped,
             encapsulate(encode_gue_header(sample_stamp(2)), inner));
  check_drop(forward_drop::fabric_message,
             encapsulate(encode_fabric_message(fabric_message::announce), {}));
}

// Guards against malformed datagrams or packets that are not counted.
TEST(forward_core, faults_are_counted_by_reason)
{
  core.set_table(table_from(full_update(2, 64, 5)));
  auto corrupt = datagram_for(flow_to(1));
  corrupt[4 + 8] ^= 0xFF;
  CHECK_TRUE(std::get<packet_fault>(on(corrupt)) ==
             packet_fault::bad_header_checksum);
  CHECK_TRUE(std::get<packet_fault>(on({0, 4})) == packet_fault::truncated);
  const auto& faults = core.counters().faults;
  CHECK_EQUAL(1U, faults.at(static_cast<std::size_t>(packet_fault::truncated)));
  CHECK_EQUAL(1U, faults.at(static_cast<std::size_t>(
                      packet_fault::bad_header_checksum)));
}

// Guards against a delayed older table that replaces a newer one.
TEST(forward_core, older_table_is_ignored)
{
  const auto newer = table_from(full_update(3, 4, 2));
  CHECK_TRUE(core.set_table(newer));
  CHECK_FALSE(core.set_table(table_from(full_update(2, 4, 2))));
  CHECK_FALSE(core.set_table(table_from(full_update(3, 4, 2))));
  CHECK_TRUE(&core.table() == newer.get());
}

// Guards against a packet that reaches an agent of another service when a new
// table swaps the addresses of two services.
TEST(forward_core, agent_always_belongs_to_the_service)
{
  std::mt19937_64 random(7);
  auto update = full_update(50, 16, 5);
  for (std::uint64_t round = 1; round <= 200; ++round)
  {
    auto& first = update.changed[random() % 50];
    auto& second = update.changed[random() % 50];
    std::swap(first.address, second.address);
    update.version = {2, round};
    CHECK_TRUE(core.set_table(table_from(update)));
    for (unsigned i = 0; i < 100; ++i)
    {
      const auto flow =
          flow_to(1 + random() % 50, static_cast<std::uint16_t>(1 + i));
      const auto datagram = datagram_for(flow);
      const auto action = on(datagram);
      const auto agent = std::get<send_to_agent>(action).agent;
      // build_service() numbers agents by 16 times the service id.
      const auto owner = (agent.address.value - 0x0A000000U) / 16;
      const auto& service = update.changed.at(owner - 1);
      CHECK_TRUE(service.address == flow.service);
    }
  }
}
