#include "report.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace toucanmill::sample_callers
{

namespace
{

struct field
{
  const char* name;
  std::uint64_t report::*member;
};

constexpr field fields[] = {
    {"feeds_opened", &report::feeds_opened},
    {"feeds_refused", &report::feeds_refused},
    {"feeds_broken", &report::feeds_broken},
    {"feed_lines", &report::feed_lines},
    {"feed_lines_wrong", &report::feed_lines_wrong},
    {"downloads_complete", &report::downloads_complete},
    {"downloads_refused", &report::downloads_refused},
    {"downloads_failed", &report::downloads_failed},
    {"downloads_cut", &report::downloads_cut},
    {"downloads_wrong_checksum", &report::downloads_wrong_checksum},
    {"download_octets", &report::download_octets},
    {"submissions", &report::submissions},
    {"submissions_complete", &report::submissions_complete},
    {"submissions_run_twice", &report::submissions_run_twice},
    {"submissions_unknown", &report::submissions_unknown},
    {"submissions_rejected", &report::submissions_rejected},
    {"submissions_given_up", &report::submissions_given_up},
    {"resent_503", &report::resent_503},
    {"resent_409", &report::resent_409},
    {"resent_lost", &report::resent_lost},
};

std::int64_t percentile(std::vector<std::int64_t>& values, std::size_t percent)
{
  if (values.empty())
    return 0;
  const auto rank = (values.size() - 1) * percent / 100;
  const auto position = values.begin() + static_cast<std::ptrdiff_t>(rank);
  std::nth_element(values.begin(), position, values.end());
  return *position;
}

} // namespace

void report::add(const report& other)
{
  for (const auto& [name, member] : fields)
    this->*member += other.*member;
  latencies.insert(latencies.end(), other.latencies.begin(),
                   other.latencies.end());
}

std::string to_json(report value)
{
  std::string text = "{";
  for (const auto& [name, member] : fields)
    text += fmt::format("\"{}\": {}, ", name, value.*member);
  text += fmt::format("\"submission_p50_us\": {}, \"submission_p99_us\": {}",
                      percentile(value.latencies, 50),
                      percentile(value.latencies, 99));
  return text + "}";
}

} // namespace toucanmill::sample_callers
