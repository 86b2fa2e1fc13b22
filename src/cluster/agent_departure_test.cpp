#include <toucanmill/cluster/agent_departure.hpp>

#include <CppUTest/TestHarness.h>

using namespace toucanmill;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1h};

/// An update in which these nodes hold buckets of the service.
table_update holders(const std::vector<std::uint64_t>& nodes)
{
  table_update update;
  update.changed.emplace_back();
  update.changed[0].name = "notes";
  for (const auto node : nodes)
    update.changed[0].holders.push_back({{node}, {}, false});
  return update;
}

} // namespace

TEST_GROUP(agent_departure)
{
  agent_departure departure{"notes", {11}, {}};
};

// Guards against an agent that stops while all tables list it because its
// report was answered before control removed it.
TEST(agent_departure, answered_report_is_not_enough_while_the_table_lists_it)
{
  departure.on_answer(holders({10, 11, 12}), true, start);
  CHECK_FALSE(departure.complete(start + 10s));
  departure.on_answer({}, true, start + 10s);
  CHECK_FALSE(departure.complete(start + 20s));
  departure.on_answer(holders({12}), true, start + 20s);
  CHECK_TRUE(departure.complete(start + 21s));
}

// Guards against packets that are lost at a stopped agent because balancers
// fetch the table that no longer lists it a little later.
TEST(agent_departure, balancers_get_time_to_fetch_the_new_table)
{
  departure.on_answer(holders({12}), true, start);
  CHECK_FALSE(departure.complete(start + 999ms));
  departure.on_answer({}, true, start + 500ms);
  CHECK_TRUE(departure.complete(start + 1s));
}

// Guards against an agent that stops although a new upstream has started.
TEST(agent_departure, agent_with_a_new_upstream_does_not_depart)
{
  departure.on_answer(holders({12}), true, start);
  departure.on_answer({}, false, start + 500ms);
  CHECK_FALSE(departure.complete(start + 2s));
  departure.on_answer(holders({10, 11, 12}), false, start + 2s);
  departure.on_answer({}, true, start + 3s);
  CHECK_FALSE(departure.complete(start + 5s));
}

// Guards against a stop that waits for an agent which was never registered, or
// whose service is gone.
TEST(agent_departure, agent_of_no_service_departs)
{
  table_update whole;
  whole.full = true;
  departure.on_answer(holders({10, 11, 12}), true, start);
  departure.on_answer(whole, true, start + 1s);
  CHECK_TRUE(departure.complete(start + 2s));
}
