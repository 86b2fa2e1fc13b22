#include <toucanmill/agent/dispatch_core.hpp>

#include <CppUTest/TestHarness.h>

using namespace toucanmill;
using namespace std::chrono_literals;

namespace
{

constexpr service_id own_service{7};
constexpr std::uint16_t bucket = 3;
const endpoint service_address{{0xCB00710A}, 80};
const time_point start{};

endpoint agent(std::uint16_t number)
{
  return {{0x7F000001}, static_cast<std::uint16_t>(5000 + number)};
}

using agent_chain = std::vector<std::uint16_t>;

service_table make_table(std::uint64_t version, const agent_chain& numbers)
{
  service_table table;
  table.id = own_service;
  table.address = service_address;
  table.version = {1, version};
  chain holders;
  for (const auto number : numbers)
  {
    holders.holders[holders.size++] =
        static_cast<std::uint16_t>(table.holders.size());
    table.holders.push_back({node_id{number}, agent(number), false});
  }
  table.buckets.assign(16, holders);
  return table;
}

route_stamp make_stamp(std::uint64_t version, const agent_chain& numbers)
{
  route_stamp stamp;
  stamp.service = own_service;
  stamp.version = {1, version};
  stamp.bucket = bucket;
  stamp.return_to = {{0x7F000001}, 4000};
  for (const auto number : numbers)
    stamp.chain.holders[stamp.chain.size++] = agent(number);
  return stamp;
}

tcp_packet data_packet(std::uint16_t caller_port = 1000)
{
  tcp_packet packet;
  packet.flow = {{{0x0A000001}, caller_port}, service_address};
  packet.ack = true;
  return packet;
}

tcp_packet syn_packet(std::uint16_t caller_port = 1000)
{
  auto packet = data_packet(caller_port);
  packet.syn = true;
  packet.ack = false;
  return packet;
}

/// Probe of the owner agent(2) at version 2, returned by the last holder.
route_stamp returned_probe()
{
  auto stamp = make_stamp(2, {2, 1});
  stamp.purpose = stamp_purpose::accept;
  return stamp;
}

template <class Action>
const Action& expect(const dispatch_action& action)
{
  CHECK_TRUE(std::holds_alternative<Action>(action));
  return std::get<Action>(action);
}

void expect_drop(const dispatch_action& action, dispatch_drop reason)
{
  STRCMP_EQUAL(to_string(reason),
               to_string(expect<drop_packet>(action).reason));
}

const forward_packet& expect_forward(const dispatch_action& action,
                                     std::uint16_t number,
                                     stamp_purpose purpose)
{
  const auto& passed = expect<forward_packet>(action);
  CHECK_TRUE(passed.to == agent(number));
  CHECK_TRUE(passed.stamp.purpose == purpose);
  return passed;
}

} // namespace

TEST_GROUP(dispatch)
{
  dispatch_core first{{agent(1)}};
  dispatch_core second{{agent(2)}};

  void give_table(std::uint64_t version, const agent_chain& numbers)
  {
    first.on_table(make_table(version, numbers));
    second.on_table(make_table(version, numbers));
  }
};

// Guards against accepting a SYN of which an earlier holder accepted a copy:
// the new owner must probe it first.
TEST(dispatch, owner_probes_earlier_holder_before_it_accepts)
{
  give_table(1, {2, 1});
  const auto asked =
      second.on_packet(syn_packet(), make_stamp(1, {2, 1}), start);
  const auto& probe = expect_forward(asked, 1, stamp_purpose::probe);
  const auto answered = first.on_packet(syn_packet(), probe.stamp, start);
  const auto& accept = expect_forward(answered, 2, stamp_purpose::accept);
  const auto action = second.on_packet(syn_packet(), accept.stamp, start);
  CHECK_TRUE(expect<deliver_packet>(action).new_flow);
}

// Guards against a second acceptance when the earlier holder accepts the same
// SYN while the probe is in flight.
TEST(dispatch, probe_is_delivered_by_a_holder_that_knows_the_flow)
{
  first.on_table(make_table(1, {1}));
  second.on_table(make_table(2, {2, 1}));
  const auto asked =
      second.on_packet(syn_packet(), make_stamp(2, {2, 1}), start);
  CHECK_TRUE(expect<deliver_packet>(
                 first.on_packet(syn_packet(), make_stamp(1, {1}), start))
                 .new_flow);
  const auto& probe = expect_forward(asked, 1, stamp_purpose::probe);
  CHECK_FALSE(
      expect<deliver_packet>(first.on_packet(syn_packet(), probe.stamp, start))
          .new_flow);
}

// Guards against a stale holder that accepts new flows although a probe showed
// that the bucket has moved.
TEST(dispatch, probe_ends_acceptance_at_a_stale_holder)
{
  first.on_table(make_table(1, {1}));
  auto probe = make_stamp(2, {2, 1});
  probe.purpose = stamp_purpose::probe;
  probe.position = 1;
  expect_forward(first.on_packet(syn_packet(), probe, start), 2,
                 stamp_purpose::accept);
  expect_forward(first.on_packet(syn_packet(), make_stamp(1, {1}), start), 2,
                 stamp_purpose::forward);
}

// Guards against an acceptance based on probes from before the bucket moved
// away and back.
TEST(dispatch, accept_of_an_older_version_is_probed_again)
{
  second.on_table(make_table(4, {2, 3, 1}));
  expect_forward(second.on_packet(syn_packet(), returned_probe(), start), 3,
                 stamp_purpose::probe);
}

// Guards against an acceptance by an agent that lost the bucket while its probe
// was in flight.
TEST(dispatch, accept_at_a_former_owner_goes_to_the_owner)
{
  second.on_table(make_table(3, {3, 2, 1}));
  expect_forward(second.on_packet(syn_packet(), returned_probe(), start), 3,
                 stamp_purpose::forward);
}

// Guards against a restarted agent that relies on a stale balancer: the bucket
// may have moved away before the restart.
TEST(dispatch, no_flow_is_accepted_before_the_first_table)
{
  expect_drop(first.on_packet(syn_packet(), make_stamp(1, {1}), start),
              dispatch_drop::no_table);
}

// Guards against a reset of a flow that an earlier holder still has.
TEST(dispatch, unknown_flow_visits_all_holders_before_a_reset)
{
  give_table(2, {2, 1});
  first.on_confirmed(start);
  const auto passed =
      second.on_packet(data_packet(), make_stamp(2, {2, 1}), start);
  const auto& next = expect_forward(passed, 1, stamp_purpose::forward);
  expect<reset_flow>(first.on_packet(data_packet(), next.stamp, start));
}

// Guards against a reset by an agent whose table may be outdated.
TEST(dispatch, no_reset_without_a_recent_confirmation)
{
  first.on_table(make_table(2, {1}));
  const auto stamp = make_stamp(2, {1});
  expect_drop(first.on_packet(data_packet(), stamp, start),
              dispatch_drop::table_not_confirmed);
  first.on_confirmed(start);
  expect_drop(first.on_packet(data_packet(), stamp, start + 2001ms),
              dispatch_drop::table_not_confirmed);
  expect_drop(first.on_packet(data_packet(), make_stamp(3, {1}), start),
              dispatch_drop::table_not_confirmed);
}

// Guards against packets lost at a failed holder although another holder after
// it has the flow.
TEST(dispatch, suspect_holders_are_visited_last_and_not_probed)
{
  auto table = make_table(2, {2, 1, 3});
  table.holders[1].suspect = true;
  second.on_table(table);
  const auto stamp = make_stamp(1, {2});
  expect_forward(second.on_packet(data_packet(), stamp, start), 3,
                 stamp_purpose::forward);
  expect_forward(second.on_packet(syn_packet(), stamp, start), 3,
                 stamp_purpose::probe);
}

// Guards against a packet that circulates indefinitely.
TEST(dispatch, hop_limit_ends_a_packet)
{
  first.on_table(make_table(1, {2, 1}));
  auto stamp = make_stamp(1, {2, 1});
  stamp.hops = route_stamp::max_hops;
  expect_drop(first.on_packet(syn_packet(), stamp, start),
              dispatch_drop::hop_limit);
}

// Guards against accepting packets of another service or of a former address of
// the service; flows opened at the former address must continue.
TEST(dispatch, service_and_address_are_checked)
{
  auto table = make_table(1, {1});
  first.on_table(table);
  first.on_packet(syn_packet(), make_stamp(1, {1}), start);
  table.version.index = 2;
  table.address.port = 81;
  first.on_table(table);
  expect_drop(first.on_packet(syn_packet(2), make_stamp(1, {1}), start),
              dispatch_drop::wrong_address);
  expect<deliver_packet>(
      first.on_packet(data_packet(), make_stamp(2, {1}), start));
  auto other = make_stamp(3, {1});
  other.service = service_id{8};
  expect_drop(first.on_packet(data_packet(), other, start),
              dispatch_drop::wrong_service);
}

// Guards against new flows at a leaving or full agent.
TEST(dispatch, limits_refuse_new_flows_only)
{
  dispatch_core small_agent{{agent(1), 1}};
  small_agent.on_table(make_table(1, {1}));
  const auto stamp = make_stamp(1, {1});
  small_agent.on_packet(syn_packet(1), stamp, start);
  expect_drop(small_agent.on_packet(syn_packet(2), stamp, start),
              dispatch_drop::connection_limit);
  small_agent.set_leaving();
  expect_drop(small_agent.on_packet(syn_packet(2), stamp, start),
              dispatch_drop::leaving);
  expect<deliver_packet>(small_agent.on_packet(data_packet(1), stamp, start));
}

// Guards against an RST that is answered with an RST.
TEST(dispatch, reset_of_an_unknown_flow_is_dropped)
{
  first.on_table(make_table(1, {1}));
  first.on_confirmed(start);
  auto packet = data_packet();
  packet.rst = true;
  expect_drop(first.on_packet(packet, make_stamp(1, {1}), start),
              dispatch_drop::unexpected_reset);
}

// Guards against a "holds none" report while a flow is open, and against
// changes that are reported twice.
TEST(dispatch, holdings_follow_the_flows)
{
  first.on_table(make_table(1, {1}));
  const auto stamp = make_stamp(1, {1});
  first.on_packet(syn_packet(1), stamp, start);
  first.on_packet(syn_packet(2), stamp, start);
  CHECK_TRUE(first.take_holdings_changes() ==
             std::vector<holdings_change>({{bucket, true}}));
  first.on_flow_closed(syn_packet(1).flow);
  CHECK_TRUE(first.take_holdings_changes().empty());
  CHECK_TRUE(first.held_buckets() == std::vector<std::uint16_t>({bucket}));
  first.on_flow_closed(syn_packet(2).flow);
  CHECK_TRUE(first.take_holdings_changes() ==
             std::vector<holdings_change>({{bucket, false}}));
  CHECK_EQUAL(0U, first.flow_count());
}

// Guards against out-of-range access through corrupt stamps.
TEST(dispatch, impossible_buckets_are_dropped)
{
  first.on_table(make_table(1, {1}));
  auto stamp = make_stamp(2, {1});
  stamp.bucket = 16;
  expect_drop(first.on_packet(syn_packet(), stamp, start),
              dispatch_drop::no_table);
}

// Guards against using chains of another service, whose stamps may arrive
// before the first table if another agent used the endpoint before.
TEST(dispatch, views_of_another_service_are_forgotten)
{
  auto other = make_stamp(9, {1, 3});
  other.service = service_id{8};
  first.on_packet(data_packet(), other, start);
  first.on_table(make_table(2, {1}));
  const auto action = first.on_packet(syn_packet(), make_stamp(2, {1}), start);
  CHECK_TRUE(expect<deliver_packet>(action).new_flow);
}

// Guards against an abort or a wrong report when the service changes between
// the start and the end of a flow.
TEST(dispatch, holdings_follow_the_service)
{
  first.on_table(make_table(1, {1}));
  first.on_packet(syn_packet(), make_stamp(1, {1}), start);
  auto other = make_table(2, {1});
  other.id = service_id{8};
  first.on_table(other);
  CHECK_TRUE(first.held_buckets().empty());
  first.on_table(make_table(3, {1}));
  CHECK_EQUAL(1U, first.held_buckets().size());
  first.on_flow_closed(syn_packet().flow);
  CHECK_TRUE(first.held_buckets().empty());
}
