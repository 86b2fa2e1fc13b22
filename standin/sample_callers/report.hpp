#ifndef TOUCANMILL_SAMPLE_CALLERS_REPORT_HPP
#define TOUCANMILL_SAMPLE_CALLERS_REPORT_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace toucanmill::sample_callers
{

/// Counts of one caller; those of all callers are added up at the end.
struct report
{
  std::uint64_t feeds_opened = 0;
  std::uint64_t feeds_refused = 0; ///< no response header
  std::uint64_t feeds_broken = 0;  ///< ended or silent after the header
  std::uint64_t feed_lines = 0;
  std::uint64_t feed_lines_wrong = 0; ///< number out of order

  std::uint64_t downloads_complete = 0;
  std::uint64_t downloads_refused = 0; ///< answered with a status but 200
  std::uint64_t downloads_failed = 0;  ///< no response header
  std::uint64_t downloads_cut = 0;     ///< ended inside the body
  std::uint64_t downloads_wrong_checksum = 0;
  std::uint64_t download_octets = 0;

  std::uint64_t submissions = 0; ///< unique ids
  std::uint64_t submissions_complete = 0;
  std::uint64_t submissions_run_twice = 0; ///< answered a count above 1
  std::uint64_t submissions_unknown = 0;   ///< 502 as the last answer
  std::uint64_t submissions_rejected = 0;  ///< another status
  std::uint64_t submissions_given_up = 0;  ///< no final answer
  std::uint64_t resent_503 = 0;
  std::uint64_t resent_409 = 0;
  std::uint64_t resent_lost = 0; ///< answer lost or no connection

  std::vector<std::int64_t> latencies; ///< complete submissions, microseconds

  void add(const report& other);
};

/// One JSON object on one line.
std::string to_json(report value);

} // namespace toucanmill::sample_callers

#endif
