#include <toucanmill/balancer/flow_estimator.hpp>

#include <algorithm>
#include <bitset>
#include <cmath>

namespace toucanmill
{

std::uint32_t flow_estimator::take()
{
  std::size_t set = 0;
  for (auto& word : words_)
  {
    set += std::bitset<64>(word).count();
    word = 0;
  }
  const auto zeros = std::max<std::size_t>(bit_count - set, 1);
  const auto size = static_cast<double>(bit_count);
  const double estimate = size * std::log(size / static_cast<double>(zeros));
  return static_cast<std::uint32_t>(std::lround(estimate));
}

} // namespace toucanmill
