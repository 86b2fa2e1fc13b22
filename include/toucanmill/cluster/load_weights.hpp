#ifndef TOUCANMILL_CLUSTER_LOAD_WEIGHTS_HPP
#define TOUCANMILL_CLUSTER_LOAD_WEIGHTS_HPP

#include <cstdint>
#include <vector>

namespace toucanmill
{

/// How reported load bends the shares of buckets.
struct load_options
{
  double gain = 8;        ///< change of share for a relative lack of flows
  double smoothing = 0.1; ///< part of a step taken at once, against delay
  double least = 0.1;     ///< bounds of the correction
  double most = 10;
  double start_band =
      0.06;                ///< relative lack or excess that starts a correction
  double dead_band = 0.02; ///< and that ends it
  std::uint32_t least_flows = 20; ///< mean per upstream; below, no correction
};

/// Load of one active upstream.
struct upstream_load
{
  std::uint32_t connections = 0; ///< capacity; 0: not known
  std::uint32_t flows = 0;
  double ramp = 1;       ///< 0 to 1, below 1 during a cold start
  double correction = 1; ///< smoothed, of the step before
};

/// The next smoothed corrections: above 1 for upstreams with fewer flows than
/// their share.
std::vector<double> next_corrections(const std::vector<upstream_load>& loads,
                                     const load_options& options);

/// Weights in parts per thousand from capacity, correction and ramp.
std::vector<std::uint32_t>
bucket_weights(const std::vector<upstream_load>& loads);

} // namespace toucanmill

#endif
