#ifndef TOUCANMILL_SRC_BALANCER_PUBLISHED_HPP
#define TOUCANMILL_SRC_BALANCER_PUBLISHED_HPP

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <type_traits>

namespace toucanmill
{

/// Copy of a structure of 64-bit counters that one thread writes and any thread
/// reads without locks. Each counter is read whole; the counters of one read
/// may stem from two successive writes.
template <class Counters>
class published
{
  static_assert(std::is_trivially_copyable_v<Counters>);
  static_assert(sizeof(Counters) % sizeof(std::uint64_t) == 0);

public:
  void write(const Counters& counters)
  {
    std::array<std::uint64_t, count> plain;
    std::memcpy(plain.data(), &counters, sizeof counters);
    for (std::size_t i = 0; i < count; ++i)
      words_[i].store(plain[i], std::memory_order_relaxed);
  }

  Counters read() const
  {
    std::array<std::uint64_t, count> plain;
    for (std::size_t i = 0; i < count; ++i)
      plain[i] = words_[i].load(std::memory_order_relaxed);
    Counters counters;
    std::memcpy(static_cast<void*>(&counters), plain.data(), sizeof counters);
    return counters;
  }

private:
  static constexpr std::size_t count = sizeof(Counters) / sizeof(std::uint64_t);

  std::array<std::atomic<std::uint64_t>, count> words_{};
};

} // namespace toucanmill

#endif
