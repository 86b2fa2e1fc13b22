// Compares ways to direct long-lived flows over successive planned changes
// (drain, restart, restore, join, leave) in simulated time. Prints one line for
// each service and way: broken flows, imbalance, table traffic, moved buckets.
// Usage: assignment_drill SERVICE SPACING_SECONDS [CHANGES] [SEED]
// SERVICE is 0 to 3; the services are those of section 1.1 of docs/design.md.

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <numeric>
#include <queue>
#include <random>
#include <set>

#include "drill_directors.hpp"

namespace toucanmill::drill
{

namespace
{

constexpr double flows_per_upstream = 1000;
constexpr std::uint64_t shortest_flow = 600; ///< seconds
constexpr std::uint64_t longest_flow = 7200;
constexpr std::uint64_t sample_interval = 60;
constexpr double imbalance_objective = 1.15;

struct service_size
{
  const char* name;
  unsigned upstreams;
};

constexpr service_size services[] = {
    {"chattahoochee sessions", 7},
    {"chattahoochee finder charts", 4},
    {"kalamaki inspections", 7},
    {"kalamaki documents", 3},
};

struct flow
{
  std::uint64_t end = 0;
  std::uint64_t hash = 0;
  upstream_number holder = 0;

  bool operator>(const flow& other) const
  {
    return end > other.end;
  }
};

struct figures
{
  unsigned changes = 0;
  std::uint64_t broken = 0;
  std::uint64_t opened = 0;
  std::uint64_t seconds = 0;
  std::vector<double> settled; ///< imbalance at the end of each change
  std::vector<double> sampled; ///< imbalance every minute
};

/// Open flows over a director.
class flow_set
{
public:
  flow_set(director& way, std::uint64_t seed) : way_(way), random_(seed) {}

  void open(std::uint64_t now, std::uint64_t end)
  {
    const auto hash = random_();
    add({std::max(end, now + 1), hash, way_.owner(hash)});
    ++opened;
  }

  /// Arrivals of one second that keep `wanted` flows open on average.
  void arrive(std::uint64_t now, double wanted)
  {
    constexpr double mean = (shortest_flow + longest_flow) / 2.0;
    std::poisson_distribution<unsigned> arrivals(wanted / mean);
    std::uniform_int_distribution<std::uint64_t> lifetime(shortest_flow,
                                                          longest_flow);
    for (auto left = arrivals(random_); left > 0; --left)
      open(now, now + lifetime(random_));
  }

  void end_until(std::uint64_t now)
  {
    while (!flows_.empty() && flows_.front().end <= now)
    {
      std::pop_heap(flows_.begin(), flows_.end(), std::greater<>());
      forget(flows_.back());
      flows_.pop_back();
    }
  }

  /// Breaks flows that are not reached any more; their callers reconnect.
  std::uint64_t break_unreached(std::uint64_t now)
  {
    std::vector<flow> broken;
    const auto kept = std::partition(flows_.begin(), flows_.end(),
                                     [&](const flow& f)
                                     {
                                       return way_.reaches(f.hash, f.holder);
                                     });
    broken.assign(kept, flows_.end());
    flows_.erase(kept, flows_.end());
    std::make_heap(flows_.begin(), flows_.end(), std::greater<>());
    for (const auto& lost : broken)
    {
      forget(lost);
      open(now, lost.end);
    }
    return broken.size();
  }

  std::uint32_t count(upstream_number upstream) const
  {
    const auto found = by_upstream_.find(upstream);
    if (found == by_upstream_.end())
      return 0;
    return std::accumulate(found->second.begin(), found->second.end(), 0U,
                           [](std::uint32_t sum, const auto& entry)
                           {
                             return sum + entry.second;
                           });
  }

  const all_flows& by_upstream() const
  {
    return by_upstream_;
  }

  std::uint64_t opened = 0;

private:
  void add(const flow& f)
  {
    ++by_upstream_[f.holder][bucket_of_hash(f.hash)];
    flows_.push_back(f);
    std::push_heap(flows_.begin(), flows_.end(), std::greater<>());
  }

  void forget(const flow& f)
  {
    auto& buckets = by_upstream_[f.holder];
    const auto found = buckets.find(bucket_of_hash(f.hash));
    if (--found->second == 0)
      buckets.erase(found);
  }

  director& way_;
  std::mt19937_64 random_;
  std::vector<flow> flows_; ///< heap by end
  all_flows by_upstream_;
};

class run
{
public:
  run(director& way, unsigned upstreams, std::uint64_t spacing,
      std::uint64_t seed)
      : way_(way), flows_(way, seed), random_(seed + 1), size_(upstreams),
        spacing_(spacing)
  {
    for (unsigned i = 0; i < upstreams; ++i)
      join();
    way_.tick(now_, flows_.by_upstream());
    wait(2 * longest_flow);
    result_ = {};
  }

  figures perform(unsigned changes)
  {
    const auto opened = flows_.opened;
    const auto start = now_;
    way_.table_octets = way_.peak_octets = way_.moved_buckets = 0;
    for (bool restarts = true; result_.changes < changes; restarts = !restarts)
      cycle(restarts);
    result_.opened = flows_.opened - opened;
    result_.seconds = now_ - start;
    return result_;
  }

private:
  /// Drains one upstream and brings it back, with or without a restart, then
  /// replaces one by another.
  void cycle(bool restarts)
  {
    const auto drained = take_active();
    way_.drain(drained);
    settle();
    if (restarts)
    {
      wait_until_empty(drained);
      way_.restart(drained);
      settle();
    }
    way_.restore(drained);
    active_.insert(drained);
    settle();
    join();
    settle();
    way_.leave(take_active());
    settle();
  }

  upstream_number take_active()
  {
    const auto index = random_() % active_.size();
    const auto chosen =
        *std::next(active_.begin(), static_cast<std::ptrdiff_t>(index));
    active_.erase(chosen);
    return chosen;
  }

  void join()
  {
    way_.join(++last_);
    active_.insert(last_);
  }

  void settle()
  {
    wait(spacing_);
    ++result_.changes;
    result_.settled.push_back(imbalance());
  }

  void wait_until_empty(upstream_number upstream)
  {
    while (flows_.count(upstream) > 0)
      wait(sample_interval);
  }

  void wait(std::uint64_t seconds)
  {
    for (const auto end = now_ + seconds; now_ < end;)
    {
      ++now_;
      flows_.end_until(now_);
      if (way_.tick(now_, flows_.by_upstream()))
        result_.broken += flows_.break_unreached(now_);
      flows_.arrive(now_, size_ * flows_per_upstream);
      if (now_ % sample_interval == 0)
        result_.sampled.push_back(imbalance());
    }
  }

  double imbalance() const
  {
    double sum = 0;
    double most = 0;
    for (const auto upstream : active_)
    {
      const double count = flows_.count(upstream);
      sum += count;
      most = std::max(most, count);
    }
    return sum == 0 ? 1 : most * static_cast<double>(active_.size()) / sum;
  }

  director& way_;
  flow_set flows_;
  std::mt19937_64 random_;
  unsigned size_;
  std::uint64_t spacing_;
  std::uint64_t now_ = 0;
  upstream_number last_ = 0;
  std::set<upstream_number> active_;
  figures result_;
};

double quantile(std::vector<double> values, double part)
{
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(
      part * static_cast<double>(values.size() - 1))];
}

double share_above_objective(const std::vector<double>& values)
{
  const auto above = std::count_if(values.begin(), values.end(),
                                   [](double v)
                                   {
                                     return v > imbalance_objective;
                                   });
  return static_cast<double>(above) / static_cast<double>(values.size());
}

void print(const char* name, const figures& found, const director& way)
{
  std::printf("%-22s %7u %9lu %9lu   %5.3f %5.3f %5.3f   %5.3f %5.3f %5.1f%% "
              "%12lu %8.1f %6lu %8lu\n",
              name, found.changes, found.opened, found.broken,
              quantile(found.settled, 0.5), quantile(found.settled, 0.95),
              quantile(found.settled, 1), quantile(found.sampled, 0.5),
              quantile(found.sampled, 0.95),
              100 * share_above_objective(found.sampled), way.table_octets,
              static_cast<double>(way.table_octets) /
                  static_cast<double>(found.seconds),
              way.peak_octets, way.moved_buckets);
  std::fflush(stdout);
}

void print_header(const service_size& service, std::uint64_t spacing,
                  std::uint64_t seed)
{
  std::printf("service \"%s\": %u upstreams, about %.0f flows each, lifetimes "
              "%lu to %lu s, %u buckets, %u balancers\n",
              service.name, service.upstreams, flows_per_upstream,
              shortest_flow, longest_flow, bucket_count, balancers);
  std::printf(
      "one change every %lu s, seed %lu; imbalance (maximum over mean "
      "of active upstreams) at the end of each change and every %lu s\n",
      spacing, seed, sample_interval);
  std::printf(
      "%-22s %7s %9s %9s   %5s %5s %5s   %5s %5s %6s %12s %8s %6s %8s\n", "",
      "changes", "opened", "broken", "p50", "p95", "max", "p50", "p95", ">1.15",
      "table-octets", "octets/s", "peak", "moved");
}

void compare(const service_size& service, std::uint64_t spacing,
             unsigned changes, std::uint64_t seed)
{
  print_header(service, spacing, seed);
  const auto measure = [&](const char* name, director& way)
  {
    const auto found =
        run(way, service.upstreams, spacing, seed).perform(changes);
    print(name, found, way);
  };
  hash_director modulo(modulo_choice);
  measure("modulo", modulo);
  hash_director consistent(consistent_choice);
  measure("consistent", consistent);
  chain_director one_earlier(2);
  measure("one earlier holder", one_earlier);
  chain_director full(max_chain_length);
  measure("chains", full);
  assignment_options options;
  options.take_back_chain_length = max_chain_length + 1;
  chain_director take_back(max_chain_length, options);
  measure("chains, take back", take_back);
}

} // namespace

} // namespace toucanmill::drill

int main(int argc, char** argv)
{
  const auto number = [&](int index, std::uint64_t otherwise)
  {
    return argc > index ? std::strtoull(argv[index], nullptr, 10) : otherwise;
  };
  const auto service = number(1, 0);
  if (argc < 3 || service >= std::size(toucanmill::drill::services))
  {
    std::fprintf(stderr, "usage: %s SERVICE SPACING_SECONDS [CHANGES] [SEED]\n",
                 argv[0]);
    return 2;
  }
  toucanmill::drill::compare(
      toucanmill::drill::services[service], number(2, 3600),
      static_cast<unsigned>(number(3, 200)), number(4, 1));
}
