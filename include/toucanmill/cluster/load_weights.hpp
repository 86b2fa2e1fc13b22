#ifndef TOUCANMILL_CLUSTER_LOAD_WEIGHTS_HPP
#define TOUCANMILL_CLUSTER_LOAD_WEIGHTS_HPP

#include <cstdint>
#include <vector>

namespace toucanmill
{

/// Controls how reported load adjusts the bucket shares of upstreams.
struct load_options
{
  double gain = 8; ///< change of correction per relative deficit of flows
  /// Part of a change that one step applies, because load reacts with a delay.
  double smoothing = 0.1;
  double min_correction = 0.1;
  double max_correction = 10;
  double start_threshold = 0.06; ///< relative deviation to start a correction
  double dead_band = 0.02;       ///< relative deviation to end a correction
  std::uint32_t min_mean_flows = 20; ///< per upstream; below, no correction
};

/// Load of one active upstream.
struct upstream_load
{
  std::uint32_t connections = 0; ///< capacity; 0: unknown
  std::uint32_t flows = 0;
  double ramp = 1;       ///< 0 to 1, below 1 during slow start
  double correction = 1; ///< smoothed, from the previous step
};

/// Next smoothed correction factor of each upstream; above 1 for upstreams with
/// fewer flows than their share.
std::vector<double> next_corrections(const std::vector<upstream_load>& loads,
                                     const load_options& options);

/// Weight of each upstream, in parts per thousand, from capacity, correction
/// and ramp.
std::vector<std::uint32_t>
bucket_weights(const std::vector<upstream_load>& loads);

} // namespace toucanmill

#endif
