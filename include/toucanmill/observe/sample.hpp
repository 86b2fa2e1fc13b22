#ifndef TOUCANMILL_OBSERVE_SAMPLE_HPP
#define TOUCANMILL_OBSERVE_SAMPLE_HPP

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace toucanmill
{

/// Observations of a histogram up to a bound.
struct sample_bucket
{
  double upper_bound = 0; ///< the last one is infinite
  std::uint64_t cumulative_count = 0;
};

/// One value of a metric at the moment of a scrape.
struct sample
{
  std::string name; ///< with the prefix "toucanmill_"
  std::string help;
  bool counter = true; ///< false: gauge
  double value = 0;    ///< histograms: number of observations
  std::vector<std::pair<std::string, std::string>> labels;
  std::vector<sample_bucket> buckets; ///< of a histogram; empty: none
  double sum = 0;                     ///< of a histogram's observations
};

/// Reads the current values; called on the thread of the status server.
using sample_source = std::function<std::vector<sample>()>;

} // namespace toucanmill

#endif
