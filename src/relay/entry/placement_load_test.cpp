// Load test of the placement decision: which agents get the new flows of three
// data centres whose waves of demand have different phases.

#include "placement_fixture_test.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <map>
#include <optional>
#include <random>
#include <set>

using namespace toucanmill;
using namespace toucanmill::relay_test;

namespace
{

constexpr std::size_t centre_count = 3;
constexpr std::size_t agents_per_centre = 15;
constexpr std::uint32_t slots = 2;
constexpr double service_ms = 26;
constexpr std::array speeds{0.7, 1.0, 1.0, 1.0, 1.7};
constexpr int wave_ms = 12'000;
constexpr int run_ms = wave_ms;

/// Requests in progress per slot up to which the stops after the first admit a
/// flow. The first one admits it with a free slot only.
enum class admission_limit : std::size_t
{
  free_slots = 1,
  with_queue = 3, ///< as relay_core admits by default
};

struct load_result
{
  std::size_t flows = 0;
  std::size_t answers = 0;
  std::size_t near_answers = 0;
  std::size_t refused = 0;
  double waited_ms = 0;

  double near_share() const
  {
    return static_cast<double>(near_answers) / static_cast<double>(answers);
  }
  double refused_share() const
  {
    return static_cast<double>(refused) / static_cast<double>(flows);
  }
  double mean_wait_ms() const
  {
    return waited_ms / static_cast<double>(answers);
  }
};

/// An agent whose upstream serves each flow's one request in order of arrival.
class agent_model
{
public:
  explicit agent_model(double speed) : speed_(speed) {}

  /// The wait for a slot; none if the flow is not admitted.
  std::optional<double> admit(double now, std::size_t limit)
  {
    while (!ends_.empty() && *ends_.begin() <= now)
      ends_.erase(ends_.begin());
    if (ends_.size() >= limit)
      return std::nullopt;
    auto& free_at = *std::min_element(free_at_.begin(), free_at_.end());
    const auto begin = std::max(now, free_at);
    free_at = begin + service_ms / speed_;
    ends_.insert(free_at);
    return begin - now;
  }

private:
  double speed_;
  std::array<double, slots> free_at_{};
  std::multiset<double> ends_; ///< of the requests in progress
};

/// One balancer in each data centre. `mean` and `swing` are the demand in each
/// data centre as shares of its capacity.
class load_run
{
public:
  load_run(placement_mode mode, admission_limit limit, double mean,
           double swing)
      : limit_(static_cast<std::size_t>(limit) * slots), mean_(mean),
        swing_(swing)
  {
    std::vector<data_centre_key> centres;
    for (std::size_t i = 0; i < centre_count * agents_per_centre; ++i)
    {
      centres.push_back(
          static_cast<data_centre_key>(1 + i / agents_per_centre));
      const auto speed = speeds[i % speeds.size()];
      agents_.emplace(endpoint_at(10 + static_cast<std::uint32_t>(i)),
                      agent_model(speed));
      capacity_ += speed * slots / service_ms / centre_count;
    }
    table_ = service_in("notes", 1, 10, centres);
    for (std::size_t i = 0; i < table_.buckets.size(); ++i)
      table_.buckets[i].holders[0] =
          static_cast<std::uint16_t>(i % centres.size());
    for (data_centre_key centre = 1; centre <= centre_count; ++centre)
    {
      balancers_.emplace_back(balancer_options({mode, centre}));
      balancers_.back().set_table(applied(update_of(1, {table_})));
    }
  }

  load_result play()
  {
    load_result result;
    for (int now = 0; now < run_ms; ++now)
      for (std::size_t centre = 0; centre < centre_count; ++centre)
        for (auto count = arrivals(centre, now); count > 0; --count)
          open(centre, now, result);
    return result;
  }

private:
  std::size_t arrivals(std::size_t centre, int now)
  {
    const auto phase = static_cast<double>(now) / wave_ms +
                       static_cast<double>(centre) / centre_count;
    const auto demand = mean_ + swing_ * std::sin(2 * 3.14159265 * phase);
    std::poisson_distribution<std::size_t> count(demand * capacity_);
    return count(random_);
  }

  void open(std::size_t centre, int now, load_result& result)
  {
    auto packet = opening();
    packet.source = endpoint_at(0x64400000U + ++flows_, 40001);
    const auto at = start + std::chrono::milliseconds(now);
    const auto action = balancers_[centre].on_packet(packet, at);
    const auto& stops = std::get<visit_agent>(action).header.stops;
    ++result.flows;
    for (std::size_t i = 0; i < stops.size; ++i)
      if (const auto wait =
              agents_.at(stops.agents[i]).admit(now, i == 0 ? slots : limit_))
      {
        result.waited_ms += *wait;
        ++result.answers;
        result.near_answers +=
            centre_of(table_, stops.agents[i]) == centre + 1 ? 1 : 0;
        return;
      }
    ++result.refused;
  }

  std::size_t limit_;
  double mean_;
  double swing_;
  double capacity_ = 0; ///< of one data centre, flows in a millisecond
  std::uint32_t flows_ = 0;
  std::mt19937_64 random_{7};
  service_table table_;
  std::map<endpoint, agent_model> agents_;
  std::vector<entry_core> balancers_;
};

/// The same demand with both placements.
struct comparison
{
  load_result hash;
  load_result near;
};

void print(const char* name, const load_result& result)
{
  std::printf("%s: %zu flows, near %.3f, refused %.4f, mean wait %.2f ms\n",
              name, result.flows, result.near_share(), result.refused_share(),
              result.mean_wait_ms());
}

comparison compare(admission_limit limit, double mean, double swing)
{
  const comparison out{
      load_run(placement_mode::hash, limit, mean, swing).play(),
      load_run(placement_mode::near, limit, mean, swing).play()};
  std::printf("\ndemand %.2f +- %.2f, requests per slot %zu\n", mean, swing,
              static_cast<std::size_t>(limit));
  print("hash", out.hash);
  print("near", out.near);
  return out;
}

/// A quarter of the shortest latency objective of 200 ms, within which a stop
/// admits a flow.
constexpr double wait_limit_ms = 50;

} // namespace

TEST_GROUP(placement_load){};

// Guards against answers that cross data centres although their own one has
// capacity. With hash placement two thirds do.
TEST(placement_load, answers_stay_in_the_data_centre_while_it_has_capacity)
{
  for (const auto limit :
       {admission_limit::free_slots, admission_limit::with_queue})
  {
    const auto [hash, near] = compare(limit, 0.4, 0.2);
    CHECK_TRUE(hash.near_share() < 0.4);
    CHECK_TRUE(near.near_share() > 0.98);
    CHECK_TRUE(near.refused_share() < 0.001);
    CHECK_TRUE(near.mean_wait_ms() < wait_limit_ms);
  }
}

// Guards against near placement that refuses callers of a full data centre
// while another one has capacity. The demand rises to 1.15 of the capacity of a
// data centre.
TEST(placement_load, wave_above_the_capacity_of_a_data_centre_spills_over)
{
  const auto [hash, near] = compare(admission_limit::with_queue, 0.6, 0.55);
  CHECK_TRUE(hash.near_share() < 0.4);
  CHECK_TRUE(near.near_share() > 0.9);
  CHECK_TRUE(near.refused_share() <= hash.refused_share() + 0.001);
  CHECK_TRUE(near.mean_wait_ms() < wait_limit_ms);
}

// Guards against more refusals than the two far stops explain where agents let
// nothing wait: they are full at the same moment more often than eight stops
// all over the system.
TEST(placement_load, wave_costs_few_refusals_without_queues)
{
  const auto [hash, near] = compare(admission_limit::free_slots, 0.6, 0.55);
  CHECK_TRUE(near.near_share() > 0.8);
  CHECK_TRUE(near.refused_share() <= hash.refused_share() + 0.02);
}
