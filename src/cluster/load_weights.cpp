#include <toucanmill/cluster/load_weights.hpp>

#include <algorithm>
#include <cmath>

namespace toucanmill
{

namespace
{

/// Share of each upstream in the total capacity; equal shares if the capacity
/// of any upstream is unknown.
std::vector<double> capacity_shares(const std::vector<upstream_load>& loads)
{
  double total = 0;
  bool known = true;
  for (const auto& load : loads)
  {
    total += load.connections;
    known &= load.connections > 0;
  }
  std::vector<double> shares;
  for (const auto& load : loads)
    shares.push_back(known ? load.connections / total
                           : 1.0 / static_cast<double>(loads.size()));
  return shares;
}

/// Correction factor for a relative deficit of flows. Hysteresis: a correction
/// starts at a larger deviation than it ends, so that random fluctuation moves
/// few buckets.
double target_correction(double deficit, double current,
                         const load_options& options)
{
  const bool correcting = std::abs(current - 1) > options.dead_band;
  const auto threshold =
      correcting ? options.dead_band : options.start_threshold;
  if (std::abs(deficit) < threshold)
    return 1;
  const double excess = deficit - std::copysign(options.dead_band, deficit);
  return std::clamp(1 + options.gain * excess, options.min_correction,
                    options.max_correction);
}

} // namespace

std::vector<double> next_corrections(const std::vector<upstream_load>& loads,
                                     const load_options& options)
{
  double flows = 0;
  for (const auto& load : loads)
    flows += load.flows;
  const bool enough_flows =
      flows >= static_cast<double>(options.min_mean_flows * loads.size());
  const auto share = capacity_shares(loads);
  std::vector<double> next;
  for (std::size_t i = 0; i < loads.size(); ++i)
  {
    const double target =
        enough_flows
            ? target_correction(1 - loads[i].flows / (flows * share[i]),
                                loads[i].correction, options)
            : 1;
    next.push_back(loads[i].correction +
                   options.smoothing * (target - loads[i].correction));
  }
  return next;
}

std::vector<std::uint32_t>
bucket_weights(const std::vector<upstream_load>& loads)
{
  const auto share = capacity_shares(loads);
  std::vector<std::uint32_t> weights;
  for (std::size_t i = 0; i < loads.size(); ++i)
  {
    const double per_mille = 1000 * share[i] *
                             static_cast<double>(loads.size()) *
                             loads[i].correction * loads[i].ramp;
    weights.push_back(
        static_cast<std::uint32_t>(std::max(1.0, std::round(per_mille))));
  }
  return weights;
}

} // namespace toucanmill
