#include <toucanmill/balancer/flow_estimator.hpp>

#include <algorithm>
#include <bitset>
#include <cmath>

namespace toucanmill
{

std::uint32_t flow_estimator::take_estimate()
{
  std::size_t set_bits = 0;
  for (auto& word : words_)
  {
    set_bits += std::bitset<64>(word).count();
    word = 0;
  }
  const auto zero_bits = std::max<std::size_t>(bit_count - set_bits, 1);
  const auto size = static_cast<double>(bit_count);
  const double estimate =
      size * std::log(size / static_cast<double>(zero_bits));
  return static_cast<std::uint32_t>(std::lround(estimate));
}

} // namespace toucanmill
