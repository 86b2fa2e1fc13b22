#include <CppUTest/TestHarness.h>

#include <future>

#include "log_runtime.hpp"
#include "simulated_files_test.hpp"

using namespace toucanmill;
using namespace toucanmill::log_detail;

namespace
{

constexpr std::size_t mb = 1'000'000;
const std::string large_command(mb / 10, 'x');
const std::vector<replica_address> only_voter = {{replica_id{1}, {}, true}};

replica_settings small_settings()
{
  replica_settings settings;
  settings.self = replica_id{1};
  settings.retained_octets = mb;
  settings.max_uncommitted_octets = 2 * mb;
  return settings;
}

/// A group of one replica whose writes become durable when asked to.
class single_replica
{
public:
  single_replica() : core(small_settings(), initial_state(), {})
  {
    core.tick({});
    write();
  }

  /// Performs all actions; everything is durable, committed and applied then.
  void write()
  {
    for (auto actions = core.take_actions(); !actions.empty();
         actions = core.take_actions())
      core.persisted(actions.persist.sequence, {});
  }

  void compact()
  {
    const auto index = core.applied_index();
    core.compact({{core.log().term_at(index).value_or(0), index},
                  core.group_at(index),
                  0});
  }

  replica_core core;

private:
  static stored_state initial_state()
  {
    stored_state stored;
    stored.hard.may_vote = true;
    stored.snapshot.group.members = only_voter;
    return stored;
  }
};

/// State machine without state, so that only the log uses storage.
class stateless_client : public log_client
{
public:
  std::string apply(const log_entry&) override
  {
    return {};
  }
  std::string snapshot() override
  {
    return "state";
  }
  result<void> restore(table_version, const std::string&) override
  {
    return outcome::success();
  }
  void on_leadership(bool leads, std::uint64_t) override
  {
    if (leads)
      elected.set_value();
  }
  void on_tick(time_point) override {}
  void send(const replica_address&, std::string) override {}

  std::promise<void> elected;
};

/// Octets in all files after `count` large commands.
std::size_t stored_octets(const std::string& folder, std::size_t count)
{
  const auto disk = std::make_shared<simulated_disk>();
  replicated_log_options options;
  options.self = replica_id{1};
  options.folder = folder;
  options.initial_group = only_voter;
  options.octets_per_snapshot = mb;
  stateless_client client;
  auto log = open_with_files(options, client,
                             std::make_unique<simulated_file_system>(disk));
  client.elected.get_future().wait();
  for (std::size_t i = 0; i < count; ++i)
  {
    std::promise<bool> done;
    log.value()->propose(large_command,
                         [&done](const result<std::string>& outcome)
                         {
                           done.set_value(outcome.has_value());
                         });
    CHECK_TRUE(done.get_future().get());
  }
  log.value()->stop();
  std::size_t octets = 0;
  for (const auto& [name, file] : disk->files)
    octets += file->bytes.size();
  return octets;
}

} // namespace

TEST_GROUP(log_size){};

// Guards against a log that keeps a number of entries whatever their size, so
// that a large configuration takes all memory.
TEST(log_size, entries_covered_by_a_snapshot_are_limited_by_octets)
{
  single_replica replica;
  for (int i = 0; i < 100; ++i)
  {
    CHECK_TRUE(replica.core.propose(large_command).has_value());
    replica.write();
    replica.compact();
    const auto& log = replica.core.log();
    CHECK_TRUE(log.octets_after(log.base().index) <= mb);
  }
  CHECK_TRUE(replica.core.log().base().index > 80);
}

// Guards against a leader that collects commands without limit while it can't
// commit them, and against one that refuses commands afterwards.
TEST(log_size, uncommitted_commands_are_limited_by_octets)
{
  single_replica replica;
  int accepted = 0;
  while (accepted < 100 && replica.core.propose(large_command).has_value())
    ++accepted;
  CHECK_EQUAL(20, accepted);
  CHECK_TRUE(replica.core.propose(large_command).error().code ==
             error_code::limit_reached);
  replica.write();
  CHECK_TRUE(replica.core.propose(large_command).has_value());
}

// Guards against segments that are kept long after a snapshot covers them.
TEST(log_size, files_hold_little_more_than_two_snapshot_intervals)
{
  CHECK_TRUE(stored_octets("data", 100) <= 3 * mb);
}

// Guards against an instance without a disk that keeps a log in memory which it
// never reads again.
TEST(log_size, files_in_memory_hold_little_more_than_a_snapshot_interval)
{
  CHECK_TRUE(stored_octets("", 100) <= 2 * mb);
}

// Guards against tasks that wait for the log's thread and hold any amount of
// data.
TEST(log_size, queued_tasks_are_limited_by_octets)
{
  task_queue queue(100, mb);
  task_queue::task work = [] {};
  CHECK_TRUE(queue.push(work, 2 * mb));
  CHECK_FALSE(queue.push(work, 1));
  CHECK_TRUE(queue.push(work));
  CHECK_EQUAL(2U, queue.pop(duration{0}, 10).size());
  CHECK_TRUE(queue.push(work, mb));
  CHECK_FALSE(queue.push(work, 1));
}
