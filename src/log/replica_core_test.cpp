#include "group_driver_test.hpp"

#include <CppUTest/TestHarness.h>

#include <cstdlib>
#include <random>

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

replica_core wiped_replica()
{
  replica_settings settings;
  settings.self = replica_id{1};
  stored_state stored;
  stored.hard.may_vote = false;
  for (std::uint64_t id = 1; id <= 3; ++id)
    stored.snapshot.group.members.push_back({replica_id{id}, {}, true});
  return replica_core(settings, stored, {});
}

/// Whether an empty replica grants its vote to this candidate.
bool grants_vote(bool pristine)
{
  auto core = wiped_replica();
  replica_message request;
  request.kind = message_kind::vote_request;
  request.from.id = replica_id{2};
  request.to = replica_id{1};
  request.term = 5;
  request.position = {4, 10};
  request.pristine = pristine;
  core.receive(request, {});
  core.persisted(core.take().persist.sequence, {});
  const auto actions = core.take();
  return actions.messages.size() == 1 && actions.messages[0].message.granted;
}

replica_message random_message(std::mt19937_64& random)
{
  const auto small = [&random]
  {
    return random() % 50 == 0 ? random() : random() % 6;
  };
  replica_message message;
  message.kind = static_cast<message_kind>(random() % 11);
  message.from.id = replica_id{2 + random() % 3};
  message.to = replica_id{1};
  message.term = small();
  message.position = {small(), small()};
  message.commit = small();
  message.index = small();
  message.round = small();
  message.size = small();
  message.granted = random() % 2 == 0;
  message.may_vote = random() % 2 == 0;
  message.pristine = random() % 2 == 0;
  message.data = std::string(random() % 3, 'x');
  if (random() % 4 == 0)
    message.group.members = {{replica_id{1}, {}, random() % 2 == 0},
                             {replica_id{2}, {}, random() % 2 == 0}};
  for (auto count = random() % 3; count > 0; --count)
    message.entries.push_back({{small(), message.position.index + 1},
                               static_cast<entry_kind>(random() % 3),
                               ""});
  return message;
}

} // namespace

TEST_GROUP(replica_core){};

// Guards against a wiped instance that votes under its old id and so lets a
// candidate win that lacks entries the instance had acknowledged.
TEST(replica_core, empty_replica_does_not_vote_in_a_group_with_commands)
{
  CHECK_TRUE(grants_vote(true));
  CHECK_FALSE(grants_vote(false));
}

// Guards against well-formed messages with impossible values that end the
// process.
TEST(replica_core, impossible_messages_do_not_end_the_process)
{
  for (std::uint64_t seed = 1; seed <= 300; ++seed)
  {
    std::mt19937_64 random(seed);
    auto core = wiped_replica();
    time_point now;
    for (int i = 0; i < 300; ++i)
    {
      now += std::chrono::milliseconds(random() % 200);
      core.tick({now, random()});
      core.receive(random_message(random), {now, random()});
      for (auto actions = core.take(); !actions.empty(); actions = core.take())
        core.persisted(actions.persist.sequence, {now, random()});
    }
  }
}

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
