#include <toucanmill/relay/flow_memory.hpp>

#include <CppUTest/TestHarness.h>

#include "../relay_fixture_test.hpp"

using namespace toucanmill;
using namespace toucanmill::relay_test;

namespace
{

const flow_key flow = data(1).from_caller();
const remembered_agent first{endpoint_at(10), 7};

flow_packet data_at(std::uint32_t sequence)
{
  auto packet = data(1);
  packet.sequence = sequence;
  return packet;
}

} // namespace

TEST_GROUP(flow_memory)
{
  flow_memory memory{{}};

  void setup() override
  {
    memory.put(flow, first, start);
  }
};

// Guards against a question to the agent for each packet of a long transfer.
TEST(flow_memory, new_data_is_sent_without_a_question)
{
  for (std::uint32_t i = 0; i < 10; ++i)
    CHECK_TRUE(recall_advice::send ==
               memory.advise(flow, data_at(100 * i), start + i * 300ms));
}

// Guards against a silent agent that keeps all packets of a flow.
TEST(flow_memory, repeated_data_is_verified_then_searched_for)
{
  memory.advise(flow, data_at(0), start);
  CHECK_TRUE(recall_advice::verify ==
             memory.advise(flow, data_at(0), start + 200ms));
  CHECK_TRUE(recall_advice::search ==
             memory.advise(flow, data_at(0), start + 600ms));
}

// Guards against a search for the flow of a slow upstream, whose caller
// repeats its request several times.
TEST(flow_memory, answer_of_the_agent_keeps_the_flow)
{
  memory.advise(flow, data_at(0), start);
  for (const auto at : {200ms, 600ms, 1400ms})
  {
    CHECK_TRUE(recall_advice::verify ==
               memory.advise(flow, data_at(0), start + at));
    memory.put(flow, first, start + at + 5ms);
  }
}

// Guards against questions about packets that the network has copied, and
// about acknowledgements, which callers repeat without need.
TEST(flow_memory, early_copies_and_empty_packets_are_not_repetitions)
{
  memory.advise(flow, data_at(0), start);
  CHECK_TRUE(recall_advice::send ==
             memory.advise(flow, data_at(0), start + 20ms));
  auto empty = data_at(0);
  empty.payload_size = 0;
  CHECK_TRUE(recall_advice::send == memory.advise(flow, empty, start + 300ms));
}

// Guards against all data counting as repeated once the positions wrap around.
TEST(flow_memory, positions_wrap_around)
{
  memory.advise(flow, data_at(0xffffffc0), start);
  CHECK_TRUE(recall_advice::send ==
             memory.advise(flow, data_at(0xffffffc0 + 100), start + 300ms));
}

// Guards against the loss of a flow that another agent has reported meanwhile.
TEST(flow_memory, only_the_agent_that_returned_a_packet_is_forgotten)
{
  memory.put(flow, {endpoint_at(11), 7}, start);
  memory.erase(flow, first.agent);
  CHECK_TRUE(memory.find(flow, start).has_value());
  memory.erase(flow, endpoint_at(11));
  CHECK_FALSE(memory.find(flow, start).has_value());
}
