#ifndef TOUCANMILL_BASE_OUTCOME_HPP
#define TOUCANMILL_BASE_OUTCOME_HPP

#include <boost/outcome.hpp>
#include <string>

namespace toucanmill
{

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// Broad class of an error; callers branch on it, the message is for people.
enum class error_code
{
  invalid_argument,
  not_found,
  already_exists,
  version_conflict,
  request_mismatch,
  not_leader,
  unavailable,
  limit_reached,
  corrupt_data,
  io_failure,
  storage_full, ///< local only: can be repeated once there is room
};

/// An error with a message that names the offending value and its place.
struct error
{
  error_code code;
  std::string message;

  bool operator==(const error& other) const
  {
    return code == other.code && message == other.message;
  }
};

/// Either a value or an error. Reading the wrong one ends the program.
template <class T>
using result = outcome::basic_result<T, error, outcome::policy::terminate>;

} // namespace toucanmill

#endif
