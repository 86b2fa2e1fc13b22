#ifndef TOUCANMILL_OBSERVE_SAMPLE_HPP
#define TOUCANMILL_OBSERVE_SAMPLE_HPP

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace toucanmill
{

/// One value of a metric at the moment of a scrape.
struct sample
{
  std::string name; ///< with the prefix "toucanmill_"
  std::string help;
  bool counter = true; ///< false: gauge
  double value = 0;
  std::vector<std::pair<std::string, std::string>> labels;
};

/// Reads the current values; called on the thread of the status server.
using sample_source = std::function<std::vector<sample>()>;

} // namespace toucanmill

#endif
