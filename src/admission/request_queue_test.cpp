#include <toucanmill/admission/request_queue.hpp>

#include <CppUTest/TestHarness.h>

using namespace toucanmill;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1h};
constexpr duration service = 20ms;
constexpr waiting_terms terms{250ms, 3000ms, 0};

flow_key flow(std::uint16_t port)
{
  return {{{7}, port}, {{9}, 443}};
}

} // namespace

TEST_GROUP(request_queue)
{
  request_queue queue{{}};

  hold_verdict add(std::uint16_t port, data_range data)
  {
    return queue.add_request(flow(port), terms, data, service, start, start);
  }
};

// Guards against a request that is queued, and run, twice because its caller
// retransmits it while it waits.
TEST(request_queue, retransmissions_are_merged)
{
  CHECK_TRUE(add(1, {0, 1200}) == hold_verdict::held);
  CHECK_TRUE(add(1, {0, 1200}) == hold_verdict::merged);
  CHECK_TRUE(queue.add_data(flow(1), {1200, 300}) == hold_verdict::held);
  CHECK_TRUE(queue.add_data(flow(1), {1300, 200}) == hold_verdict::merged);
  CHECK_TRUE(queue.add_data(flow(1), {1300, 400}) == hold_verdict::held);
  // A packet that only ends the stream carries no data to compare.
  CHECK_TRUE(queue.add_data(flow(1), {1700, 0}) == hold_verdict::held);
  CHECK_TRUE(queue.add_data(flow(1), {1700, 0}) == hold_verdict::merged);
  CHECK_EQUAL(1U, queue.requests().size());
}

// Guards against a wrong match where positions wrap around.
TEST(request_queue, positions_wrap_around)
{
  CHECK_TRUE(add(1, {0xFFFFFFF0U, 0x40}) == hold_verdict::held);
  CHECK_TRUE(queue.add_data(flow(1), {0x10, 0x20}) == hold_verdict::merged);
  CHECK_TRUE(queue.add_data(flow(1), {0x30, 0x20}) == hold_verdict::held);
  CHECK_TRUE(queue.add_data(flow(1), {0xFFFFFFE0U, 0x10}) ==
             hold_verdict::held);
}

// Guards against an agent that exceeds its memory of 64 MB.
TEST(request_queue, data_is_bounded)
{
  std::size_t held = 0;
  std::uint16_t port = 1;
  while (add(port, {0, 1200}) == hold_verdict::held)
  {
    ++port;
    ++held;
    CHECK_TRUE(queue.data() <= 1 << 20);
  }
  CHECK_TRUE(held > 600);
  CHECK_TRUE(queue.add_data(flow(1), {1200, 1200}) == hold_verdict::full);
  queue.remove_request(flow(2));
  CHECK_TRUE(queue.add_data(flow(1), {1200, 1200}) == hold_verdict::held);
  for (std::uint16_t i = 1; i < port; ++i)
    queue.remove_request(flow(i));
  CHECK_EQUAL(0U, queue.data());
}

// Guards against a flow whose many small packets make each operation slow.
TEST(request_queue, packets_of_a_request_are_bounded)
{
  add(1, {0, 1});
  for (std::uint32_t i = 1; i < 64; ++i)
    CHECK_TRUE(queue.add_data(flow(1), {i, 1}) == hold_verdict::held);
  CHECK_TRUE(queue.add_data(flow(1), {64, 1}) == hold_verdict::full);
}

// Guards against opening packets that fill the agent's memory, or wait longer
// than callers do.
TEST(request_queue, opening_packets_are_bounded_in_number_and_time)
{
  for (std::uint16_t port = 1; port <= 256; ++port)
    CHECK_TRUE(queue.add_opening(flow(port), terms, service, start) ==
               hold_verdict::held);
  CHECK_TRUE(queue.add_opening(flow(1), terms, service, start) ==
             hold_verdict::merged);
  CHECK_TRUE(queue.add_opening(flow(999), terms, service, start) ==
             hold_verdict::full);
  CHECK_TRUE(queue.openings().take_expired(start + 999ms).empty());
  CHECK_EQUAL(256U, queue.openings().take_expired(start + 1000ms).size());
}

// Guards against a request that starts too late to be answered in time, also
// when the service time was measured far too long.
TEST(request_queue, request_expires_a_service_time_before_its_limit)
{
  add(1, {0, 100});
  queue.add_request(flow(2), terms, {0, 100}, 1h, start, start);
  const auto early = queue.take_expired_requests(start + 2250ms);
  CHECK_EQUAL(1U, early.size());
  CHECK_TRUE(early[0].flow == flow(2));
  CHECK_TRUE(queue.take_expired_requests(start + 2979ms).empty());
  CHECK_EQUAL(1U, queue.take_expired_requests(start + 2980ms).size());
  CHECK_EQUAL(0U, queue.data());
}
