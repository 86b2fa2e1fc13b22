#ifndef TOUCANMILL_SRC_CONTROL_APPLIED_OUTCOME_HPP
#define TOUCANMILL_SRC_CONTROL_APPLIED_OUTCOME_HPP

#include <string>

#include <toucanmill/cluster/command.hpp>

namespace toucanmill::detail
{

/// Outcome of a committed change as the log returns it. Errors: corrupt_data.
inline result<change_outcome> read_change_outcome(const std::string& applied)
{
  const auto decoded = decode_command_outcome(applied);
  if (!decoded)
    return decoded.error();
  if (const auto* outcome = std::get_if<change_outcome>(&decoded.value()))
    return *outcome;
  return error{error_code::corrupt_data,
               "log returned the outcome of a different command"};
}

} // namespace toucanmill::detail

#endif
