#ifndef TOUCANMILL_OBSERVE_LOG_TRACE_HPP
#define TOUCANMILL_OBSERVE_LOG_TRACE_HPP

#include <string>
#include <string_view>
#include <vector>

namespace toucanmill
{

/// Value of a key in a logfmt line; empty when the line has no such key. A line
/// may have other text in front of its first key.
std::string logfmt_field(std::string_view line, std::string_view key);

/// What to follow through the logs of all processes; one of the two is empty.
struct trace_subject
{
  std::string request; ///< request id
  std::string flow;    ///< "caller>service", as lines name it
};

/// Lines about the subject in the order of their time. A request brings in all
/// lines about the flows that carried it.
std::vector<std::string> trace_lines(const std::vector<std::string>& lines,
                                     const trace_subject& subject);

} // namespace toucanmill

#endif
