#include <toucanmill/control/replica_identity.hpp>

#include <algorithm>
#include <random>

#include <toucanmill/log/replicated_log.hpp>

namespace toucanmill
{

namespace
{

/// Set in random ids only: ids of the initial group are IPv4 addresses.
constexpr std::uint64_t random_id_bit = std::uint64_t{1} << 63;

replica_id id_of_endpoint(const endpoint& rpc)
{
  return {rpc.address.value};
}

replica_id random_id()
{
  std::random_device source;
  const auto high = std::uint64_t{source()};
  return {random_id_bit | high << 32 | source()};
}

std::vector<replica_address>
make_initial_group(const std::vector<endpoint>& seeds)
{
  std::vector<replica_address> group;
  for (const auto& seed : seeds)
    group.push_back({id_of_endpoint(seed), seed, true});
  return group;
}

} // namespace

result<replica_identity>
choose_replica_identity(const control_settings& settings,
                        const std::vector<endpoint>& seeds, replica_start start)
{
  if (settings.mode != "seeds")
  {
    replica_identity given{{settings.id}, {}, "settings"};
    for (const auto& member : settings.group)
      given.initial_group.push_back({{member.id}, member.rpc, true});
    return given;
  }
  if (!settings.folder.empty())
  {
    BOOST_OUTCOME_TRY(stored, read_stored_identity(settings.folder));
    if (stored.id)
      return replica_identity{*stored.id, {}, "data folder"};
    if (stored.cleared)
      start = replica_start::after_removal;
  }
  const bool is_seed =
      std::find(seeds.begin(), seeds.end(), settings.rpc) != seeds.end();
  // After a removal the group already exists. Two seeds that formed a new one
  // would be a quorum without the configuration declared earlier.
  if (start == replica_start::at_process_start && settings.bootstrap && is_seed)
    return replica_identity{id_of_endpoint(settings.rpc),
                            make_initial_group(seeds), "initial group"};
  return replica_identity{random_id(), {}, "random, joins as a learner"};
}

} // namespace toucanmill
