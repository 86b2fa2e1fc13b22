#include "relay_admission_fixture_test.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace toucanmill;
using namespace toucanmill::relay_test;

namespace
{

/// Several agents that a tour visits in order. Messages to them are delivered
/// until none is left.
struct tour
{
  explicit tour(std::size_t size)
  {
    for (std::size_t i = 0; i < size; ++i)
      agents.push_back(std::make_unique<agent>());
  }

  /// Returns the final message to the balancer, if any.
  std::optional<relay_header> send(std::uint16_t port)
  {
    auto message = visit(static_cast<std::uint8_t>(agents.size()));
    for (int hops = 0; hops < 20; ++hops)
    {
      path.push_back(message.header.stop);
      auto& at = *agents[message.header.stop];
      const auto before = at.sink.messages.size();
      at.take(opening(port), start, message);
      if (at.sink.messages.size() == before)
        return std::nullopt;
      message.header = at.sink.messages.back().header;
      if (message.header.kind != relay_kind::visit)
        return message.header;
    }
    FAIL("the packet travels in a circle");
    return std::nullopt;
  }

  std::vector<std::unique_ptr<agent>> agents;
  std::vector<int> path;
};

} // namespace

TEST_GROUP(relay_tour)
{
  agent tested;
};

// Guards against flows that end up at the last stop, however long its wait, or
// travel without end.
TEST(relay_tour, tour_returns_to_the_stop_with_the_shortest_wait)
{
  tour three(3);
  three.agents[0]->load(16);
  three.agents[1]->load(10);
  three.agents[2]->load(16);
  const auto answer = three.send(90);
  CHECK_TRUE(three.path == (std::vector<int>{0, 1, 2, 1}));
  CHECK_TRUE(answer && answer->kind == relay_kind::found);
  CHECK_EQUAL(11U, three.agents[1]->status().flows);
}

// Guards against a search that goes on although the first stop is idle.
TEST(relay_tour, idle_first_stop_admits)
{
  tour three(3);
  CHECK_FALSE(three.send(90).has_value());
  CHECK_TRUE(three.path == std::vector<int>{0});
  CHECK_EQUAL(1U, three.agents[0]->status().flows);
}

// Guards against a best stop that will never admit the flow.
TEST(relay_tour, stop_that_admits_no_flows_is_never_the_best)
{
  tour three(3);
  three.agents[0]->core.set_evacuated(true);
  three.agents[1]->core.set_stopping();
  three.agents[2]->core.set_configuration(routes_to(8, {{"other", 1}}));
  const auto answer = three.send(90);
  CHECK_TRUE(three.path == (std::vector<int>{0, 1, 2}));
  CHECK_TRUE(answer && answer->kind == relay_kind::missed);
  CHECK_EQUAL(no_stop, answer->best_stop);
}

// Guards against a packet that is passed on again by its final stop.
TEST(relay_tour, final_stop_that_cannot_admit_returns_the_packet)
{
  tested.core.set_evacuated(true);
  auto final = visit(3, 1);
  final.header.best_stop = 1;
  final.header.final_stop = true;
  CHECK_EQUAL(0U, tested.take(opening(1), start, final));
  CHECK_TRUE(tested.last_header().kind == relay_kind::missed);
  CHECK_TRUE(tested.sink.messages.back().to == balancer);
}
