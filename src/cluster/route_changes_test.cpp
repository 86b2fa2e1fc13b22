#include <toucanmill/cluster/state_machine.hpp>

#include <CppUTest/TestHarness.h>

#include <capnp/message.h>

#include <toucanmill/cluster/wire.hpp>

using namespace toucanmill;

namespace
{

endpoint address_at(std::uint32_t i)
{
  return {{0xC6120001 + i}, 443};
}

configuration many_routes(std::uint64_t version, std::uint32_t count)
{
  configuration value;
  value.version = version;
  value.services = {"charts", "notes"};
  for (std::uint32_t i = 0; i < count; ++i)
    value.routes.push_back({"route-" + std::to_string(i),
                            address_at(i),
                            {{i % 2 == 0 ? "notes" : "charts", 1}},
                            1000,
                            {}});
  return value;
}

void declare(state_machine& machine, std::uint64_t index, configuration value)
{
  const auto outcome =
      machine.apply({1, index}, declare_configuration{std::move(value)});
  CHECK_TRUE(std::get<change_outcome>(outcome).accepted);
}

std::size_t encoded_octets(const table_update& update)
{
  capnp::MallocMessageBuilder message;
  wire::write(message.initRoot<schema::TableUpdate>(), update);
  return message.sizeInWords() * sizeof(capnp::word);
}

} // namespace

TEST_GROUP(route_changes)
{
  state_machine machine;
};

// Guards against sending every node the whole declaration for each new version:
// with 2,000 routes and hundreds of nodes the answers came seconds late and
// exceeded the memory limit of control.
TEST(route_changes, changed_route_is_sent_without_the_others)
{
  declare(machine, 1, many_routes(5, 2000));
  auto next = many_routes(6, 2000);
  next.routes[7].timeout_ms = 2000;
  declare(machine, 2, next);
  CHECK_TRUE(encoded_octets(machine.changes_since({1, 1})) < 4096);
}
