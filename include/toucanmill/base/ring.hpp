#ifndef TOUCANMILL_BASE_RING_HPP
#define TOUCANMILL_BASE_RING_HPP

#include <atomic>
#include <boost/lockfree/spsc_queue.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>

namespace toucanmill
{

/// Bounded ring between one producer thread and one consumer thread. A push to
/// a full ring fails and is counted; the caller drops, refuses or waits.
template <class T>
class ring
{
public:
  explicit ring(std::size_t capacity) : queue_(capacity) {}

  bool push(T value)
  {
    if (queue_.push(std::move(value)))
      return true;
    refused_.fetch_add(1, std::memory_order_relaxed);
    return false;
  }

  /// T is default constructible.
  std::optional<T> pop()
  {
    T value{};
    const auto take = [&value](T& item)
    {
      std::swap(value, item);
    };
    if (!queue_.consume_one(take))
      return std::nullopt;
    return value;
  }

  /// Pushes refused because the ring was full.
  std::uint64_t refused() const
  {
    return refused_.load(std::memory_order_relaxed);
  }

private:
  boost::lockfree::spsc_queue<T> queue_;
  std::atomic<std::uint64_t> refused_{0};
};

} // namespace toucanmill

#endif
