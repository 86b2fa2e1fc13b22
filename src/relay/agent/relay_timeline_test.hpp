#ifndef TOUCANMILL_SRC_RELAY_TIMELINE_TEST_HPP
#define TOUCANMILL_SRC_RELAY_TIMELINE_TEST_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

#include "../relay_fixture_test.hpp"

namespace toucanmill::relay_test
{

inline constexpr std::uint32_t slots = 2;
inline constexpr std::size_t upstream_queue = 8;
inline constexpr std::uint16_t not_run = 503;
inline constexpr std::uint16_t served = 200;

/// One line of a plan: when the next step happens.
class timeline
{
public:
  using step = std::function<void()>;

  void at(time_point when, step what)
  {
    steps_.push({when, order_++, std::move(what)});
  }
  void after(duration wait, step what)
  {
    at(now_ + wait, std::move(what));
  }
  time_point now() const
  {
    return now_;
  }
  void run_until(time_point end)
  {
    while (!steps_.empty() && steps_.top().when <= end)
    {
      auto next = steps_.top();
      steps_.pop();
      now_ = next.when;
      next.what();
    }
  }

private:
  struct entry
  {
    time_point when;
    std::uint64_t order;
    step what;
    bool operator<(const entry& other) const
    {
      return std::tie(when, order) > std::tie(other.when, other.order);
    }
  };
  std::priority_queue<entry> steps_;
  std::uint64_t order_ = 0;
  time_point now_ = start;
};

} // namespace toucanmill::relay_test

#endif
