#include <toucanmill/cluster/load_weights.hpp>

#include <algorithm>
#include <cmath>

namespace toucanmill
{

namespace
{

/// Share of each upstream in the capacity; equal when one is not known.
std::vector<double> shares(const std::vector<upstream_load>& loads)
{
  double total = 0;
  bool known = true;
  for (const auto& load : loads)
  {
    total += load.connections;
    known &= load.connections > 0;
  }
  std::vector<double> found;
  for (const auto& load : loads)
    found.push_back(known ? load.connections / total
                          : 1.0 / static_cast<double>(loads.size()));
  return found;
}

/// A correction starts at a larger lack or excess than it ends, so that chance
/// alone moves few buckets.
double corrected(double lack, double present, const load_options& options)
{
  const bool correcting = std::abs(present - 1) > options.dead_band;
  const auto band = correcting ? options.dead_band : options.start_band;
  if (std::abs(lack) < band)
    return 1;
  const double beyond = lack - std::copysign(options.dead_band, lack);
  return std::clamp(1 + options.gain * beyond, options.least, options.most);
}

} // namespace

std::vector<double> next_corrections(const std::vector<upstream_load>& loads,
                                     const load_options& options)
{
  double flows = 0;
  for (const auto& load : loads)
    flows += load.flows;
  const bool enough =
      flows >= static_cast<double>(options.least_flows * loads.size());
  const auto share = shares(loads);
  std::vector<double> next;
  for (std::size_t i = 0; i < loads.size(); ++i)
  {
    const double wanted =
        enough ? corrected(1 - loads[i].flows / (flows * share[i]),
                           loads[i].correction, options)
               : 1;
    next.push_back(loads[i].correction +
                   options.smoothing * (wanted - loads[i].correction));
  }
  return next;
}

std::vector<std::uint32_t>
bucket_weights(const std::vector<upstream_load>& loads)
{
  const auto share = shares(loads);
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
