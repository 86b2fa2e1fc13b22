#include <toucanmill/cluster/state_machine.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>

#include <capnp/message.h>
#include <state.capnp.h>

#include <toucanmill/cluster/wire.hpp>

#include "message.hpp"
#include "test_support.hpp"

using namespace toucanmill;
using namespace toucanmill::support;

namespace
{

using keys = std::vector<data_centre_key>;

keys keys_of(const std::vector<std::string>& names)
{
  keys found;
  for (const auto& name : names)
    found.push_back(key_of_data_centre(name));
  std::sort(found.begin(), found.end());
  return found;
}

std::string encoded(const table_update& update)
{
  capnp::MallocMessageBuilder message;
  wire::write(message.initRoot<schema::TableUpdate>(), update);
  return detail::serialize(message);
}

bool has_evacuation_fields(const std::string& snapshot)
{
  return detail::deserialize<schema::Snapshot, bool>(
             snapshot,
             [](schema::Snapshot::Reader from) -> result<bool>
             {
               return from.hasEvacuations() || from.getEvacuationsIndex() != 0;
             })
      .value();
}

/// The list of a node that applies updates as entry and agent roles do.
struct updated_node
{
  table_version applied;
  keys evacuated;

  void update(const state_machine& machine)
  {
    const auto update = machine.changes_since(applied);
    if (update.evacuated)
      evacuated = *update.evacuated;
    else if (update.full)
      evacuated.clear();
    applied = update.version;
  }
};

} // namespace

TEST_GROUP(evacuation)
{
  state_machine_fixture control;

  change_outcome order(const std::string& name, bool evacuated,
                       std::uint64_t wall_clock = 50)
  {
    return std::get<change_outcome>(
        control.apply(set_evacuation{name, evacuated, wall_clock}));
  }
};

// Guards against an order that is acknowledged and lost when the log is
// replaced by a snapshot or an instance starts from one.
TEST(evacuation, order_survives_snapshot_and_restore)
{
  order("north", true, 70);
  order("south", true, 80);
  order("south", false, 90);
  const auto restored =
      state_machine::restore(control.state.snapshot()).value();
  CHECK_TRUE(restored.evacuations() ==
             (std::vector<evacuation>{{"north", 1, 70}}));
  CHECK_EQUAL(3U, restored.evacuations_index());
  CHECK_TRUE(restored.changes_since({}).evacuated == keys_of({"north"}));
  CHECK_TRUE(restored.changes_since({1, 2}).evacuated == keys_of({"north"}));
  CHECK_FALSE(restored.changes_since({1, 3}).evacuated.has_value());
  CHECK_TRUE(restored.snapshot() == control.state.snapshot());
}

// Guards against a control instance that does not start from the snapshot of an
// earlier build, which has no evacuations, and against other octets for nodes
// of deployments that never used an order.
TEST(evacuation, state_without_orders_is_written_as_before)
{
  control.apply(register_node{agent(1, "s")});
  const auto snapshot = control.state.snapshot();
  CHECK_FALSE(has_evacuation_fields(snapshot));
  auto restored = state_machine::restore(snapshot).value();
  CHECK_TRUE(restored.evacuations().empty());
  auto full = restored.changes_since({});
  CHECK_FALSE(full.evacuated.has_value());
  const auto before = encoded(full);
  full.evacuated = keys{};
  CHECK_TRUE(before != encoded(full));
  restored.apply({1, 2}, set_evacuation{"north", true, 1});
  CHECK_TRUE(restored.changes_since({1, 1}).evacuated == keys_of({"north"}));
}

// Guards against a repeated order that hides since when the data centre is
// evacuated, or makes changes of other operators fail.
TEST(evacuation, repeated_order_changes_nothing)
{
  const auto first = order("north", true, 70);
  const auto again = order("north", true, 90);
  CHECK_TRUE(again.accepted);
  CHECK_EQUAL(first.version, again.version);
  CHECK_EQUAL(first.index, again.index);
  CHECK_TRUE(control.state.evacuations() ==
             (std::vector<evacuation>{{"north", 1, 70}}));
  CHECK_FALSE(control.state.changes_since({1, 1}).evacuated.has_value());
  CHECK_TRUE(order("south", false).accepted);
  CHECK_FALSE(control.state.changes_since({1, 1}).evacuated.has_value());
}

// Guards against a data centre that stays evacuated, or receives flows, against
// the later one of two operators' orders.
TEST(evacuation, last_of_opposite_orders_stands)
{
  order("north", true);
  order("north", false);
  CHECK_TRUE(control.state.evacuations().empty());
  CHECK_TRUE(control.state.changes_since({}).evacuated == keys{});
  order("north", true, 99);
  CHECK_TRUE(control.state.evacuations() ==
             (std::vector<evacuation>{{"north", 3, 99}}));
}

// Guards against two operators who decide on the same state and both succeed
// with opposite orders.
TEST(evacuation, second_order_from_the_same_version_is_refused)
{
  order("north", true);
  const auto version = control.state.configuration_version();
  CHECK_TRUE(control.request({"a", version, evacuate_data_centre{"south"}, 0})
                 .accepted);
  const auto late =
      control.request({"b", version, restore_data_centre{"north"}, 0});
  CHECK_FALSE(late.accepted);
  CHECK_TRUE(late.reason == error_code::version_conflict);
  const auto stale =
      control.request({"c", version - 1, evacuate_data_centre{"west"}, 0});
  CHECK_TRUE(stale.reason == error_code::version_conflict);
  CHECK_EQUAL(2U, control.state.evacuations().size());
}

// Guards against a late copy of an operator's request that is carried out after
// the opposite order.
TEST(evacuation, resent_request_is_not_carried_out_again)
{
  const auto first =
      control.request({"a", 0, evacuate_data_centre{"north"}, 0});
  CHECK_TRUE(first.accepted);
  order("north", false);
  const auto again =
      control.request({"a", 0, evacuate_data_centre{"north"}, 0});
  CHECK_EQUAL(first.index, again.index);
  CHECK_EQUAL(first.version, again.version);
  CHECK_TRUE(control.state.evacuations().empty());
  const auto other =
      control.request({"a", 0, evacuate_data_centre{"south"}, 0});
  CHECK_TRUE(other.reason == error_code::request_mismatch);
  STRCMP_CONTAINS("data centre is \"south\", was \"north\"",
                  other.message.c_str());
}

// Guards against an operator's repeated order that makes the changes of others
// fail although nothing changed.
TEST(evacuation, operators_repeated_order_keeps_the_version)
{
  CHECK_TRUE(control.change(evacuate_data_centre{"north"}).accepted);
  const auto again = control.change(evacuate_data_centre{"north"});
  CHECK_TRUE(again.accepted);
  CHECK_EQUAL(1U, again.version);
  CHECK_TRUE(control.state.evacuations() ==
             (std::vector<evacuation>{{"north", 1, control.clock}}));
}

// Guards against names in the state that no node can have.
TEST(evacuation, invalid_name_is_refused)
{
  for (const std::string& name :
       {std::string(), std::string("a/b"), std::string(64, 'a')})
  {
    const auto outcome = order(name, true);
    CHECK_FALSE(outcome.accepted);
    CHECK_TRUE(outcome.reason == error_code::invalid_argument);
    CHECK_FALSE(control.change(evacuate_data_centre{name}).accepted);
  }
  CHECK_TRUE(control.state.evacuations().empty());
  CHECK_EQUAL(0U, control.state.configuration_version());
}

// Guards against a node that starts again, or missed some updates, and places
// flows by another list than the others.
TEST(evacuation, nodes_get_the_whole_list)
{
  order("north", true);
  updated_node present;
  present.update(control.state);
  CHECK_TRUE(present.evacuated == keys_of({"north"}));
  order("south", true);
  order("west", true);
  order("north", false);
  present.update(control.state);
  updated_node restarted;
  restarted.update(control.state);
  CHECK_TRUE(present.evacuated == keys_of({"south", "west"}));
  CHECK_TRUE(restarted.evacuated == present.evacuated);
  order("south", false);
  order("west", false);
  present.update(control.state);
  CHECK_TRUE(present.evacuated.empty());
}
