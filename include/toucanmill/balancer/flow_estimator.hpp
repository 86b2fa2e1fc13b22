#ifndef TOUCANMILL_BALANCER_FLOW_ESTIMATOR_HPP
#define TOUCANMILL_BALANCER_FLOW_ESTIMATOR_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

namespace toucanmill
{

/// Estimates the number of different flows by linear counting: one bit for each
/// hash value modulo the size of a bitmap.
class flow_estimator
{
public:
  /// Takes the upper bits of the flow hash; the lower ones select the bucket.
  void add(std::uint64_t hash)
  {
    const auto bit = static_cast<std::size_t>(hash >> (64U - bits_log2));
    words_[bit / 64] |= std::uint64_t{1} << (bit % 64);
  }

  /// Flows since the last call. The standard error is about 1% up to 200,000
  /// flows; 726,817 stands for that many or more.
  std::uint32_t take();

private:
  /// 8 KiB, so that the bitmap stays in the first-level cache.
  static constexpr unsigned bits_log2 = 16;
  static constexpr std::size_t bit_count = std::size_t{1} << bits_log2;

  std::vector<std::uint64_t> words_ =
      std::vector<std::uint64_t>(bit_count / 64);
};

} // namespace toucanmill

#endif
