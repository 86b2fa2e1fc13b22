#ifndef TOUCANMILL_SRC_CLI_EXIT_CODE_HPP
#define TOUCANMILL_SRC_CLI_EXIT_CODE_HPP

#include <toucanmill/base/outcome.hpp>

namespace toucanmill::cli
{

/// Exit codes that scripts may branch on; listed in `toucanmill --help`.
enum exit_code : int
{
  done = 0,
  failed = 1,
  bad_usage = 2,
  version_conflict = 3,
  refused = 4,
  not_found = 5,
  control_unavailable = 6,
  not_in_force = 7,
};

inline exit_code exit_code_of(error_code code)
{
  switch (code)
  {
  case error_code::version_conflict:
    return version_conflict;
  case error_code::not_found:
    return not_found;
  case error_code::unavailable:
  case error_code::not_leader:
    return control_unavailable;
  case error_code::corrupt_data:
  case error_code::io_failure:
    return failed;
  default:
    return refused;
  }
}

} // namespace toucanmill::cli

#endif
