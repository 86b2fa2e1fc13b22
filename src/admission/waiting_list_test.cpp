#include <toucanmill/admission/waiting_list.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <random>

using namespace toucanmill;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1h};

flow_key flow(std::uint16_t port)
{
  return {{{7}, port}, {{9}, 443}};
}

waiting_entry entry(std::uint16_t port, std::uint32_t priority, duration since,
                    duration objective = 250ms, duration limit = 3000ms)
{
  const auto at = start + since;
  return {
      flow(port), {objective, limit, priority}, at, at + objective, at + limit};
}

std::uint16_t take(waiting_list& list, time_point now)
{
  const auto* next = list.next(now);
  return next != nullptr ? list.take(next->flow).flow.caller.port : 0;
}

} // namespace

TEST_GROUP(waiting_list)
{
  waiting_list list;

  void add(const waiting_entry& value)
  {
    CHECK_TRUE(list.add(value, value.since));
  }
};

// Guards against service in order of arrival, which makes requests with a short
// objective late behind others that have time.
TEST(waiting_list, priority_then_on_time_then_deadline)
{
  add(entry(1, 1, 0ms));
  add(entry(2, 0, 10ms, 800ms));
  add(entry(3, 0, 20ms, 250ms));
  add(entry(4, 0, 0ms, 50ms));
  const auto now = start + 100ms; // the objective of 4 has passed
  CHECK_EQUAL(3, take(list, now));
  CHECK_EQUAL(2, take(list, now));
  CHECK_EQUAL(4, take(list, now));
  CHECK_EQUAL(1, take(list, now));
  CHECK_EQUAL(0, take(list, now));
}

// Guards against one entry that can't be on time and holds up those that can.
TEST(waiting_list, entry_marked_late_ranks_behind_others)
{
  add(entry(1, 0, 0ms));
  add(entry(2, 0, 10ms));
  CHECK_TRUE(list.mark_late(flow(1)));
  CHECK_FALSE(list.mark_late(flow(1)));
  CHECK_EQUAL(1U, list.ahead(0, start + 10ms));
  CHECK_EQUAL(2, take(list, start + 10ms));
  CHECK_EQUAL(1, take(list, start + 10ms));
}

// Guards against an entry that takes the place of one that can still be served.
TEST(waiting_list, expired_entries_are_not_released)
{
  add(entry(1, 0, 0ms, 250ms, 500ms));
  add(entry(2, 0, 0ms));
  CHECK_EQUAL(2, take(list, start + 500ms));
  const auto expired = list.take_expired(start + 500ms);
  CHECK_EQUAL(1U, expired.size());
  CHECK_TRUE(expired[0].flow == flow(1));
  CHECK_TRUE(list.empty());
  CHECK_TRUE(list.take_expired(start + 10s).empty());
}

// Guards against an agent that was paused and serves first what is too old.
TEST(waiting_list, all_of_a_long_pause_expire_at_once)
{
  for (std::uint16_t port = 1; port <= 100; ++port)
    add(entry(port, port % 3, std::chrono::milliseconds(port)));
  CHECK_EQUAL(0, take(list, start + 10s));
  CHECK_EQUAL(100U, list.take_expired(start + 10s).size());
}

// Guards against a request of low priority that waits until its caller gives up
// while others keep the upstream busy.
TEST(waiting_list, steady_load_of_higher_priority_does_not_starve_others)
{
  add(entry(1, 5, 0ms));
  std::uint16_t port = 2;
  for (auto at = 0ms; at < 3000ms; at += 10ms)
  {
    add(entry(port++, 0, at));
    add(entry(port++, 0, at));
    if (take(list, start + at) == 1)
    {
      CHECK_TRUE(at >= 1500ms && at <= 1600ms);
      return;
    }
  }
  FAIL("the request with low priority was not released");
}

// Guards against a turn of the oldest entry that lasts until it can be
// released.
TEST(waiting_list, turn_of_the_oldest_can_be_passed_over)
{
  for (std::uint16_t port = 1; port <= 9; ++port)
    add(entry(port, 0, 0ms));
  add(entry(10, 0, 1500ms));
  const auto now = start + 1500ms; // the first ones are late and aged
  CHECK_FALSE(list.skip_oldest());
  CHECK_EQUAL(10, take(list, now));
  for (std::uint16_t port = 1; port <= 6; ++port)
    CHECK_EQUAL(port, take(list, now));
  add(entry(11, 0, 1500ms));
  CHECK_EQUAL(7, list.next(now)->flow.caller.port);
  CHECK_TRUE(list.skip_oldest());
  CHECK_FALSE(list.skip_oldest());
  CHECK_EQUAL(11, take(list, now));
}

// Guards against an estimate of the wait that counts what ranks behind, or
// leaves out late entries that rank first by their priority or their age.
TEST(waiting_list, ahead_counts_what_ranks_before_a_new_entry_on_time)
{
  add(entry(1, 0, 0ms));
  add(entry(2, 1, 0ms));
  add(entry(3, 1, 0ms, 50ms));
  add(entry(4, 900, 0ms));
  CHECK_EQUAL(1U, list.ahead(0, start));
  CHECK_EQUAL(3U, list.ahead(1, start));
  CHECK_EQUAL(2U, list.ahead(1, start + 100ms));
  // The third is late but has a higher priority.
  CHECK_EQUAL(4U, list.ahead(20, start + 100ms));
  CHECK_TRUE(list.remove(flow(1)));
  CHECK_FALSE(list.remove(flow(1)));
  CHECK_EQUAL(0U, list.ahead(0, start + 100ms));
}

// Guards against flows that are admitted as on time and then wait behind late
// requests of a higher priority.
TEST(waiting_list, ahead_counts_late_and_aged_entries_of_higher_priority)
{
  add(entry(1, 0, 0ms, 50ms));
  add(entry(2, 2, 0ms, 50ms, 200ms));
  CHECK_EQUAL(1U, list.ahead(1, start));
  CHECK_EQUAL(1U, list.ahead(1, start + 99ms));
  CHECK_EQUAL(2U, list.ahead(1, start + 100ms)); // the second has aged
  CHECK_EQUAL(0U, list.ahead(0, start + 100ms));
  CHECK_TRUE(list.remove(flow(2)));
  CHECK_EQUAL(1U, list.ahead(1, start + 100ms));
}

// Guards against indexes that disagree after many changes: an entry is returned
// exactly once, in the order that a plain search of all entries gives.
TEST(waiting_list, random_operations_agree_with_a_plain_list)
{
  for (unsigned seed = 0; seed < 40; ++seed)
  {
    std::mt19937 random(seed);
    waiting_list tested;
    std::map<std::uint16_t, waiting_entry> plain;
    auto at = 0ms;
    std::uint16_t port = 1;
    std::uint32_t releases = 0;
    for (int step = 0; step < 500; ++step)
    {
      at += std::chrono::milliseconds(random() % 20);
      const auto now = start + at;
      for (const auto& gone : tested.take_expired(now))
      {
        const auto found = plain.find(gone.flow.caller.port);
        CHECK_TRUE(found != plain.end() && found->second.expires <= now);
        plain.erase(found);
      }
      if (random() % 2 == 0)
      {
        const auto value = entry(
            port, random() % 3, at, std::chrono::milliseconds(random() % 300),
            std::chrono::milliseconds(300 + random() % 300));
        CHECK_TRUE(tested.add(value, now));
        plain.emplace(port++, value);
        continue;
      }
      const auto rank = [&](const waiting_entry& value)
      {
        const bool aged = value.since + value.terms.time_limit / 2 <= now;
        return std::make_tuple(aged ? 0 : value.terms.priority,
                               value.on_time_until <= now, value.on_time_until,
                               value.flow);
      };
      for (std::uint32_t priority = 0; priority < 3; ++priority)
        CHECK_EQUAL(std::count_if(plain.begin(), plain.end(),
                                  [&](const auto& item)
                                  {
                                    const auto [own, late, until, key] =
                                        rank(item.second);
                                    return own < priority ||
                                           (own == priority && !late);
                                  }),
                    static_cast<std::ptrdiff_t>(tested.ahead(priority, now)));
      const auto best =
          std::min_element(plain.begin(), plain.end(),
                           [&](const auto& a, const auto& b)
                           {
                             return rank(a.second) < rank(b.second);
                           });
      const bool any_aged = std::any_of(
          plain.begin(), plain.end(),
          [&](const auto& item)
          {
            return item.second.since + item.second.terms.time_limit / 2 <= now;
          });
      const bool fair_turn =
          any_aged && releases % waiting_list::fair_interval ==
                          waiting_list::fair_interval - 1;
      const auto got = take(tested, now);
      if (plain.empty())
      {
        CHECK_EQUAL(0, got);
        continue;
      }
      ++releases;
      if (!fair_turn)
        CHECK_EQUAL(best->first, got);
      CHECK_EQUAL(1U, plain.erase(got));
      CHECK_EQUAL(plain.size(), tested.size());
    }
  }
}
