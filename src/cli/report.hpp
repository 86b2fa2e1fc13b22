#ifndef TOUCANMILL_SRC_CLI_REPORT_HPP
#define TOUCANMILL_SRC_CLI_REPORT_HPP

#include <iostream>
#include <string>

#include "exit_code.hpp"
#include "output.hpp"

namespace toucanmill::cli
{

/// Prints the error; returns its exit code.
int fail(const error& why);

/// Prints what was found, or the error; returns the exit code.
template <class T>
int print(const result<T>& found, bool json)
{
  if (!found)
    return fail(found.error());
  std::cout << (json ? to_json(found.value()).dump(2) + "\n"
                     : to_text(found.value()));
  return done;
}

/// Prints the outcome of a change; returns the exit code.
int report_outcome(const change_outcome& outcome, const std::string& request_id,
                   bool json);

} // namespace toucanmill::cli

#endif
