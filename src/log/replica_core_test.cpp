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
constexpr std::uint64_t defect_seeds = 300;

std::uint64_t seed_count()
{
  const char* text = std::getenv("TOUCANMILL_SEEDS");
  return text != nullptr ? std::strtoull(text, nullptr, 10) : default_seeds;
}

/// Whether the driver reports a violation that contains the text, for some
/// seed.
bool detects_violation(const protocol_defects& defects, const std::string& text)
{
  for (std::uint64_t seed = 1; seed <= defect_seeds; ++seed)
  {
    group_driver driver(seed, defects);
    driver.run(steps_per_run);
    for (const auto& violation : driver.violations())
      if (violation.find(text) != std::string::npos)
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

/// Whether a replica that lost its data grants a vote request with this value
/// of `pristine`.
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
  core.persisted(core.take_actions().persist.sequence, {});
  const auto actions = core.take_actions();
  return actions.messages.size() == 1 && actions.messages[0].message.granted;
}

replica_message random_message(std::mt19937_64& random)
{
  const auto mostly_small = [&random]
  {
    return random() % 50 == 0 ? random() : random() % 6;
  };
  replica_message message;
  message.kind = static_cast<message_kind>(random() % 11);
  message.from.id = replica_id{2 + random() % 3};
  message.to = replica_id{1};
  message.term = mostly_small();
  message.position = {mostly_small(), mostly_small()};
  message.commit = mostly_small();
  message.index = mostly_small();
  message.round = mostly_small();
  message.size = mostly_small();
  message.granted = random() % 2 == 0;
  message.may_vote = random() % 2 == 0;
  message.pristine = random() % 2 == 0;
  message.data = std::string(random() % 3, 'x');
  if (random() % 4 == 0)
    message.group.members = {{replica_id{1}, {}, random() % 2 == 0},
                             {replica_id{2}, {}, random() % 2 == 0}};
  for (auto count = random() % 3; count > 0; --count)
    message.entries.push_back({{mostly_small(), message.position.index + 1},
                               static_cast<entry_kind>(random() % 3),
                               ""});
  return message;
}

} // namespace

TEST_GROUP(replica_core){};

// Guards against a replica that lost its data, votes under its old id, and
// helps to elect a candidate that lacks entries it had acknowledged.
TEST(replica_core, empty_replica_does_not_vote_in_a_group_with_commands)
{
  CHECK_TRUE(grants_vote(true));
  CHECK_FALSE(grants_vote(false));
}

// Guards against decodable messages with inconsistent values that abort the
// process.
TEST(replica_core, inconsistent_messages_do_not_abort_the_process)
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
      for (auto actions = core.take_actions(); !actions.empty();
           actions = core.take_actions())
        core.persisted(actions.persist.sequence, {now, random()});
    }
  }
}

// Guards against two leaders in a term, diverging logs, lost acknowledged
// entries, stale reads, and a group that does not recover after faults.
TEST(replica_core, invariants_hold_under_random_faults)
{
  std::map<std::string, int> counts;
  for (std::uint64_t seed = 1; seed <= seed_count(); ++seed)
  {
    group_driver driver(seed);
    driver.run(steps_per_run);
    for (const auto& [event, count] : driver.counts)
      counts[event] += count;
    if (!driver.violations().empty())
      FAIL(("seed " + std::to_string(seed) + ", " + driver.violations().front())
               .c_str());
  }
  // Every kind of event must have happened, or the run does not cover it.
  for (const char* event :
       {"crash", "clock jump", "transfer", "wipe", "partition", "add",
        "promote", "replace", "remove", "snapshot", "install", "read",
        "refused read", "commit"})
    CHECK_TRUE_TEXT(counts[event] > 0, event);
}

// Guards against a driver that does not detect lost acknowledged entries.
TEST(replica_core, driver_detects_acknowledgement_before_sync)
{
  protocol_defects defects;
  defects.acknowledge_before_sync = true;
  CHECK_TRUE(detects_violation(defects, "different entries"));
}

// Guards against a driver that does not detect two votes in one term.
TEST(replica_core, driver_detects_votes_that_are_not_persisted)
{
  protocol_defects defects;
  defects.forget_votes = true;
  CHECK_TRUE(detects_violation(defects, "two leaders"));
}

// Guards against a driver that does not detect stale reads.
TEST(replica_core, driver_detects_reads_without_a_quorum)
{
  protocol_defects defects;
  defects.unconfirmed_reads = true;
  CHECK_TRUE(detects_violation(defects, "a read missed"));
}
