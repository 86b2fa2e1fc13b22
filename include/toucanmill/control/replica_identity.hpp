#ifndef TOUCANMILL_CONTROL_REPLICA_IDENTITY_HPP
#define TOUCANMILL_CONTROL_REPLICA_IDENTITY_HPP

#include <string>
#include <vector>

#include <toucanmill/base/outcome.hpp>
#include <toucanmill/log/types.hpp>
#include <toucanmill/settings/settings.hpp>

namespace toucanmill
{

/// Id of a control instance and how it was obtained.
struct replica_identity
{
  replica_id id;
  std::vector<replica_address> initial_group; ///< empty: joins as a learner
  std::string origin;                         ///< source of the id, for logging
};

/// Reason why an instance chooses an identity.
enum class replica_start : std::uint8_t
{
  at_process_start,
  after_removal, ///< removed by the group; the data folder was cleared
};

/// Chooses the id of this instance. A data folder that was used before keeps
/// its id. Otherwise a seed forms the initial group when the system is
/// bootstrapped; any other instance gets a random id, so that an id whose disk
/// was lost never votes again. Errors: io_failure or corrupt_data of the data
/// folder.
result<replica_identity>
choose_replica_identity(const control_settings& settings,
                        const std::vector<endpoint>& seeds,
                        replica_start start);

} // namespace toucanmill

#endif
