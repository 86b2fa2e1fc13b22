#ifndef TOUCANMILL_CLUSTER_TEST_SUPPORT_HPP
#define TOUCANMILL_CLUSTER_TEST_SUPPORT_HPP

#include <string>
#include <utility>

#include <toucanmill/cluster/state_machine.hpp>

/// Helpers to build nodes and commands in tests and benchmarks.
namespace toucanmill::support
{

inline endpoint address_of(std::uint32_t number)
{
  return {ipv4_address{0x0a000000U + number}, 7000};
}

inline node_identity agent(std::uint32_t number, const std::string& service,
                           std::uint64_t life = 1)
{
  return {node_id{number},
          incarnation{life},
          node_role::agent,
          "agent-" + std::to_string(number),
          "spata",
          address_of(number),
          service,
          4,
          2000};
}

inline node_identity balancer(std::uint32_t number, std::uint64_t life = 1)
{
  auto identity = agent(number, {}, life);
  identity.role = node_role::balancer;
  identity.name = "balancer-" + std::to_string(number);
  return identity;
}

/// A state machine that assigns log positions to the commands applied.
struct state_machine_fixture
{
  state_machine state;
  table_version position{1, 0};
  unsigned requests = 0;
  std::uint64_t clock = 1'000'000;

  explicit state_machine_fixture(assignment_options options = {})
      : state(options)
  {
  }

  command_outcome apply(const command& value)
  {
    ++position.index;
    return state.apply(position, value);
  }

  change_outcome request(operator_request value)
  {
    value.wall_clock = clock;
    return std::get<change_outcome>(apply(std::move(value)));
  }

  /// Sends a change with a new request id, based on the current version.
  change_outcome change(operator_change value)
  {
    return request({"request-" + std::to_string(++requests),
                    state.configuration_version(), std::move(value), 0});
  }

  claim_outcome claim(const std::string& key, std::uint64_t id,
                      std::uint8_t digest = 1)
  {
    return std::get<claim_outcome>(apply(
        claim_request{{service_id{1}, key}, claim_id{id}, {digest}, clock}));
  }
};

} // namespace toucanmill::support

#endif
