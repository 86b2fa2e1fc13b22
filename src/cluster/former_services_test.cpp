// What control says about the services that may hold flows of a route.

#include <CppUTest/TestHarness.h>

#include "former_marks_test.hpp"
#include "test_support.hpp"

using namespace toucanmill;
using namespace toucanmill::support;

namespace
{

const endpoint public_address = address_of(900);

} // namespace

TEST_GROUP(former_services)
{
  state_machine_fixture control;
  std::uint64_t version = 0;

  /// A route to the service; none: the route is removed.
  void declare(const std::string& service, std::uint64_t settled_index = 0)
  {
    configuration next;
    next.version = ++version;
    next.services = {"a", "b", "c"};
    next.routes.push_back({"other", address_of(901), {{"a", 1}}, 1000, {}});
    if (!service.empty())
      next.routes.push_back({"r", public_address, {{service, 1}}, 1000, {}});
    control.apply(declare_configuration{std::move(next), settled_index});
  }

  const route& declared() const
  {
    return control.state.declared().routes.at(1);
  }
};

// Guards against resets of flows that an address had before its route was
// removed and returned, and against a mark that stays for ever.
TEST(former_services, address_that_returns_may_have_flows_on_any_service)
{
  declare("a");
  CHECK_FALSE(declared().former_incomplete);
  declare("");
  const auto removed = control.position.index;
  declare("b", removed - 1);
  CHECK_TRUE(declared().former_incomplete);
  declare("");
  declare("b", removed + 2);
  CHECK_FALSE(declared().former_incomplete);
}

// Guards against a search of services without flows for as long as the route
// exists, and against services that are forgotten before their flows ended.
TEST(former_services, former_services_are_forgotten_once_they_have_settled)
{
  declare("a");
  declare("b");
  const auto changed = control.position.index;
  declare("c", changed - 1);
  CHECK_TRUE((declared().former == std::vector<std::string>{"b", "a"}));
  declare("c", changed);
  CHECK_TRUE((declared().former == std::vector<std::string>{"b", "a"}));
  declare("c", changed + 1);
  CHECK_TRUE(declared().former.empty());
}

// Guards against a node that does not learn that a list became incomplete or
// complete again.
TEST(former_services, marks_reach_nodes_with_the_changes_of_routes)
{
  declare("a");
  declare("");
  declare("b");
  const auto marked = control.position;
  const auto first = control.state.changes_since({1, 1}).routes->changed;
  CHECK_EQUAL(1U, first.size());
  CHECK_TRUE(first[0].former_incomplete);
  CHECK_TRUE(first[0].addresses == std::vector<endpoint>{public_address});
  declare("b", marked.index);
  const auto second = control.state.changes_since(marked).routes->changed;
  CHECK_EQUAL(1U, second.size());
  CHECK_FALSE(second[0].former_incomplete);
}

// Guards against a restored instance that takes an incomplete list for a
// complete one, or the other way round.
TEST(former_services, snapshot_keeps_the_marks)
{
  declare("a");
  declare("");
  declare("b");
  auto restored = state_machine::restore(control.state.snapshot()).value();
  CHECK_TRUE(restored.declared() == control.state.declared());
  declare("c", control.position.index);
  restored = state_machine::restore(control.state.snapshot()).value();
  CHECK_TRUE(restored.declared() == control.state.declared());
  CHECK_FALSE(declared().former_incomplete);
}

// Guards against trust in a list of which an earlier build may have dropped
// services (review/11), for example after a rollback.
TEST(former_services, replaced_route_of_an_unmarked_snapshot_is_incomplete)
{
  declare("a");
  declare("b");
  const auto restored =
      state_machine::restore(without_former_marks(control.state.snapshot()))
          .value();
  CHECK_TRUE(restored.declared().routes.at(1).former_incomplete);
  CHECK_FALSE(restored.declared().routes.at(0).former_incomplete);
}

// Guards against lists that grow with the number of changes: a route lists at
// most four names, of 72 octets with their pointers, and has one list.
TEST(former_services, lists_take_at_most_300_octets_a_route)
{
  constexpr std::size_t routes = 2108;
  const auto name_of = [](std::size_t number)
  {
    return std::string(62, 's') + static_cast<char>('a' + number);
  };
  std::vector<std::size_t> octets;
  for (std::size_t change = 0; change < 12; ++change)
  {
    configuration next;
    next.version = change + 1;
    for (std::size_t i = 0; i < 12; ++i)
      next.services.push_back(name_of(i));
    for (std::size_t i = 0; i < routes; ++i)
      next.routes.push_back({"r",
                             address_of(static_cast<std::uint32_t>(i)),
                             {{name_of(change), 1}},
                             1000,
                             {}});
    control.apply(declare_configuration{std::move(next)});
    octets.push_back(control.state.snapshot().size());
  }
  CHECK_TRUE(control.state.declared().routes.back().former_incomplete);
  CHECK_TRUE(octets.back() - octets.front() <= routes * 300);
  CHECK_EQUAL(octets.back(), octets.at(max_former_services));
}
