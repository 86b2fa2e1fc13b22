#ifndef TOUCANMILL_OBSERVE_LATENCY_HISTOGRAM_HPP
#define TOUCANMILL_OBSERVE_LATENCY_HISTOGRAM_HPP

#include <memory>
#include <string>

#include <toucanmill/base/time.hpp>
#include <toucanmill/observe/sample.hpp>

namespace toucanmill
{

/// Distribution of durations in buckets from 0.5 ms to 10 s. Any thread may
/// observe and read.
class latency_histogram
{
public:
  /// name: with the prefix "toucanmill_" and the suffix "_seconds".
  latency_histogram(std::string name, std::string help);
  ~latency_histogram();

  void observe(duration value);

  sample read() const;

private:
  struct content;
  std::unique_ptr<content> content_;
};

} // namespace toucanmill

#endif
