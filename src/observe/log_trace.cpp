#include <toucanmill/observe/log_trace.hpp>

#include <algorithm>
#include <set>

namespace toucanmill
{

std::string logfmt_field(std::string_view line, std::string_view key)
{
  const auto mark = " " + std::string(key) + "=";
  const auto padded = " " + std::string(line);
  const auto at = padded.find(mark);
  if (at == std::string::npos)
    return {};
  const auto begin = at + mark.size();
  if (begin < padded.size() && padded[begin] == '"')
    return padded.substr(begin + 1, padded.find('"', begin + 1) - begin - 1);
  return padded.substr(begin, padded.find(' ', begin) - begin);
}

std::vector<std::string> trace_lines(const std::vector<std::string>& lines,
                                     const trace_subject& subject)
{
  std::set<std::string> flows;
  if (!subject.flow.empty())
    flows.insert(subject.flow);
  if (!subject.request.empty())
    for (const auto& line : lines)
      if (logfmt_field(line, "request") == subject.request)
        flows.insert(logfmt_field(line, "flow"));
  std::vector<std::string> found;
  for (const auto& line : lines)
    if (const auto flow = logfmt_field(line, "flow");
        !flow.empty() && flows.count(flow) != 0)
      found.push_back(line);
  std::stable_sort(found.begin(), found.end(),
                   [](const std::string& left, const std::string& right)
                   {
                     return logfmt_field(left, "time") <
                            logfmt_field(right, "time");
                   });
  return found;
}

} // namespace toucanmill
