#ifndef TOUCANMILL_SRC_RELAY_PLACEMENT_FIXTURE_TEST_HPP
#define TOUCANMILL_SRC_RELAY_PLACEMENT_FIXTURE_TEST_HPP

#include "../relay_fixture_test.hpp"

#include <toucanmill/relay/entry_core.hpp>

namespace toucanmill::relay_test
{

/// Data centre of the balancer in these tests.
inline constexpr data_centre_key own_centre = 1;

inline constexpr placement_policy near_placement{placement_mode::near,
                                                 own_centre};

/// A service with one agent in each of the data centres listed.
inline service_table service_in(const std::string& name, std::uint32_t id,
                                std::uint32_t first,
                                const std::vector<data_centre_key>& centres)
{
  auto table = service(name, id, first, centres.size());
  for (std::size_t i = 0; i < centres.size(); ++i)
    table.holders[i].data_centre = centres[i];
  return table;
}

inline std::vector<data_centre_key> repeated(std::size_t count,
                                             data_centre_key centre)
{
  return std::vector<data_centre_key>(count, centre);
}

/// `near` agents in the own data centre, then `far` ones in data centre 2.
inline std::vector<data_centre_key> near_and_far(std::size_t near,
                                                 std::size_t far)
{
  auto centres = repeated(near, own_centre);
  centres.resize(near + far, 2);
  return centres;
}

inline table_update
update_of(std::uint64_t index, std::vector<service_table> services,
          std::vector<data_centre_key> evacuated = {},
          std::vector<route_target> targets = {{"notes", 1}})
{
  table_update update;
  update.version = {1, index};
  update.full = true;
  update.changed = std::move(services);
  update.declared = routes_to(index, std::move(targets));
  update.evacuated = std::move(evacuated);
  return update;
}

inline std::shared_ptr<const relay_table> applied(const table_update& update)
{
  return std::make_shared<const relay_table>(relay_table().apply(update));
}

inline entry_options balancer_options(const placement_policy& placement)
{
  entry_options value;
  value.self = endpoint_at(1, 7720);
  value.placement = placement;
  return value;
}

/// Data centre of an agent of the service.
inline data_centre_key centre_of(const service_table& table,
                                 const endpoint& agent)
{
  for (const auto& item : table.holders)
    if (item.agent == agent)
      return item.data_centre;
  return 0;
}

} // namespace toucanmill::relay_test

#endif
