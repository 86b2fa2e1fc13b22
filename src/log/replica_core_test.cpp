#include "group_driver_test.hpp"

#include <CppUTest/TestHarness.h>

#include <cstdlib>

using namespace toucanmill;
using namespace toucanmill::log_detail;

namespace
{

constexpr int steps_per_run = 3000;
constexpr std::uint64_t default_seeds = 20;
constexpr std::uint64_t broken_variant_seeds = 300;

std::uint64_t seeds()
{
  const char* text = std::getenv("TOUCANMILL_SEEDS");
  return text != nullptr ? std::strtoull(text, nullptr, 10) : default_seeds;
}

/// Whether the variant violates the promise, by its message, in some seed.
bool violates(const broken_variant& broken, const std::string& promise)
{
  for (std::uint64_t seed = 1; seed <= broken_variant_seeds; ++seed)
  {
    group_driver driver(seed, broken);
    driver.run(steps_per_run);
    for (const auto& violation : driver.violations())
      if (violation.find(promise) != std::string::npos)
        return true;
  }
  return false;
}

} // namespace

TEST_GROUP(replica_core){};

// Guards against every violation that the driver checks: two leaders in a term,
// logs that diverge, acknowledged entries lost, stale reads, no recovery.
TEST(replica_core, promises_hold_under_random_faults)
{
  std::map<std::string, int> counts;
  for (std::uint64_t seed = 1; seed <= seeds(); ++seed)
  {
    group_driver driver(seed);
    driver.run(steps_per_run);
    for (const auto& [event, count] : driver.counts)
      counts[event] += count;
    if (!driver.violations().empty())
      FAIL(("seed " + std::to_string(seed) + ", " + driver.violations().front())
               .c_str());
  }
  // A run in which an event never happens shows nothing about it.
  for (const char* event : {"crash", "clock jump", "transfer", "wipe",
                            "partition", "add", "promote", "remove", "snapshot",
                            "install", "read", "refused read", "commit"})
    CHECK_TRUE_TEXT(counts[event] > 0, event);
}

// Guards against a driver that would not notice lost acknowledged entries.
TEST(replica_core, driver_notices_acknowledgement_before_sync)
{
  broken_variant broken;
  broken.acknowledge_before_sync = true;
  CHECK_TRUE(violates(broken, "different entries"));
}

// Guards against a driver that would not notice two votes in one term.
TEST(replica_core, driver_notices_votes_that_are_not_persisted)
{
  broken_variant broken;
  broken.forget_votes = true;
  CHECK_TRUE(violates(broken, "two leaders"));
}

// Guards against a driver that would not notice stale reads.
TEST(replica_core, driver_notices_reads_without_a_quorum)
{
  broken_variant broken;
  broken.unconfirmed_reads = true;
  CHECK_TRUE(violates(broken, "a read missed"));
}
