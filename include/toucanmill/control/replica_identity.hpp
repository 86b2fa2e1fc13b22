#ifndef TOUCANMILL_CONTROL_REPLICA_IDENTITY_HPP
#define TOUCANMILL_CONTROL_REPLICA_IDENTITY_HPP

#include <string>
#include <vector>

#include <toucanmill/base/outcome.hpp>
#include <toucanmill/log/types.hpp>
#include <toucanmill/settings/settings.hpp>

namespace toucanmill
{

/// Under which id a control instance runs, and how it got it.
struct replica_identity
{
  replica_id id;
  std::vector<replica_address> initial_group; ///< empty: joins as a learner
  std::string origin;                         ///< for the log
};

/// Why an instance needs an identity.
enum class replica_start : std::uint8_t
{
  of_process,
  after_removal, ///< the group removed it; its folder was cleared
};

/// A folder that was used keeps its id. With an empty folder, a seed forms the
/// first group at the first start of the system; any other instance gets a
/// random id, so that an earlier life whose disk was lost never votes again.
/// Errors: io_failure or corrupt_data of the folder.
result<replica_identity>
choose_replica_identity(const control_settings& settings,
                        const std::vector<endpoint>& seeds,
                        replica_start start);

} // namespace toucanmill

#endif
