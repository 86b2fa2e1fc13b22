#ifndef TOUCANMILL_SRC_BALANCER_SHARED_COUNTERS_HPP
#define TOUCANMILL_SRC_BALANCER_SHARED_COUNTERS_HPP

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <type_traits>

namespace toucanmill
{

/// Lock-free copy of a structure of 64-bit counters with one writer thread and
/// any number of readers. Each counter is read atomically, but the counters of
/// one read may come from two successive writes.
template <class Counters>
class shared_counters
{
  static_assert(std::is_trivially_copyable_v<Counters>);
  static_assert(sizeof(Counters) % sizeof(std::uint64_t) == 0);

public:
  void write(const Counters& counters)
  {
    std::array<std::uint64_t, word_count> words;
    std::memcpy(words.data(), &counters, sizeof counters);
    for (std::size_t i = 0; i < word_count; ++i)
      words_[i].store(words[i], std::memory_order_relaxed);
  }

  Counters read() const
  {
    std::array<std::uint64_t, word_count> words;
    for (std::size_t i = 0; i < word_count; ++i)
      words[i] = words_[i].load(std::memory_order_relaxed);
    Counters counters;
    std::memcpy(static_cast<void*>(&counters), words.data(), sizeof counters);
    return counters;
  }

private:
  static constexpr std::size_t word_count =
      sizeof(Counters) / sizeof(std::uint64_t);

  std::array<std::atomic<std::uint64_t>, word_count> words_{};
};

} // namespace toucanmill

#endif
