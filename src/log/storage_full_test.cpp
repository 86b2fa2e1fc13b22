#include <CppUTest/TestHarness.h>

#include <array>
#include <chrono>
#include <future>
#include <map>
#include <mutex>
#include <thread>

#include "log_runtime.hpp"
#include "simulated_files_test.hpp"

using namespace toucanmill;
using namespace toucanmill::log_detail;

namespace
{

using namespace std::chrono_literals;

const std::string folder = "data";

/// Longest time without an answer that a caller notices.
constexpr auto refusal_limit = 1s;

class group_on_simulated_disks;

/// State machine that keeps the last command.
class register_client : public log_client
{
public:
  register_client(group_on_simulated_disks& logs) : logs_(logs) {}

  std::string apply(const log_entry& entry) override
  {
    state_ = entry.payload;
    return state_;
  }
  std::string snapshot() override
  {
    return state_;
  }
  result<void> restore(table_version, const std::string& bytes) override
  {
    state_ = bytes;
    return outcome::success();
  }
  void on_leadership(bool leads, std::uint64_t) override
  {
    leads_ = leads;
  }
  void on_storage_full(const std::optional<error>& why) override
  {
    storage_full_ = why.has_value();
  }
  void on_tick(time_point) override {}
  void send(const replica_address& to, std::string message) override;

  std::atomic<bool> leads_{false};
  std::atomic<bool> storage_full_{false};

private:
  std::string state_;
  group_on_simulated_disks& logs_;
};

/// Three logs that exchange messages in one process.
class group_on_simulated_disks
{
public:
  static constexpr std::size_t size = 3;

  group_on_simulated_disks()
  {
    for (std::uint64_t id = 1; id <= size; ++id)
      members_.push_back(
          {replica_id{id},
           {ipv4_address{0x7F000001}, static_cast<std::uint16_t>(id)},
           true});
    for (std::size_t i = 0; i < size; ++i)
      start(i);
  }

  ~group_on_simulated_disks()
  {
    for (std::size_t i = 0; i < size; ++i)
      stop(i);
  }

  void start(std::size_t i)
  {
    replicated_log_options options;
    options.self = members_[i].id;
    options.folder = folder;
    options.initial_group = members_;
    options.heartbeat_interval = 20ms;
    options.election_timeout = 200ms;
    options.octets_per_snapshot = 2000;
    options.random_seed = i + 1;
    clients_[i] = std::make_unique<register_client>(*this);
    auto log =
        open_with_files(options, *clients_[i],
                        std::make_unique<simulated_file_system>(disks_[i]));
    CHECK_TRUE(log.has_value());
    const std::lock_guard lock(mutex_);
    logs_[i] = std::move(log.value());
  }

  void stop(std::size_t i)
  {
    std::shared_ptr<replicated_log> log;
    {
      const std::lock_guard lock(mutex_);
      log = std::move(logs_[i]);
    }
    if (log)
      log->stop();
  }

  std::shared_ptr<replicated_log> log(std::size_t i)
  {
    const std::lock_guard lock(mutex_);
    return logs_[i];
  }

  /// Waits for a leader that is not this one.
  std::size_t leader_besides(std::size_t excluded)
  {
    for (;; std::this_thread::sleep_for(5ms))
      for (std::size_t i = 0; i < size; ++i)
        if (i != excluded && clients_[i]->leads_)
          return i;
  }

  result<std::string> propose_at(std::size_t i, const std::string& command)
  {
    auto answered = std::make_shared<std::promise<result<std::string>>>();
    auto answer = answered->get_future();
    log(i)->propose(command,
                    [answered](result<std::string> value)
                    {
                      answered->set_value(std::move(value));
                    });
    if (answer.wait_for(refusal_limit) != std::future_status::ready)
      return error{error_code::unavailable, "no answer"};
    return answer.get();
  }

  /// Retries until the command is committed.
  void propose(const std::string& command, std::size_t excluded = size)
  {
    for (;; std::this_thread::sleep_for(5ms))
      if (propose_at(leader_besides(excluded), command))
        return;
  }

  void send(const replica_address& to, std::string message)
  {
    if (const auto target = log(to.rpc.port - 1U))
      target->receive(std::move(message));
  }

  register_client& client(std::size_t i)
  {
    return *clients_[i];
  }

  void fill(std::size_t i, bool full)
  {
    disks_[i]->full->store(full);
  }

  std::uint64_t applied_at(std::size_t i)
  {
    std::promise<std::uint64_t> found;
    log(i)->post(
        [&]
        {
          found.set_value(log(i)->status().applied_index);
        });
    return found.get_future().get();
  }

  /// Waits until each instance has applied what the leader has.
  void wait_for_all()
  {
    const auto applied = applied_at(leader_besides(size));
    for (std::size_t i = 0; i < size; ++i)
      wait_for(i, applied);
  }

  void wait_for(std::size_t i, std::uint64_t applied)
  {
    while (applied_at(i) < applied)
      std::this_thread::sleep_for(5ms);
  }

private:
  static std::shared_ptr<simulated_disk> make_disk()
  {
    return std::make_shared<simulated_disk>();
  }

  std::vector<replica_address> members_;
  std::array<std::shared_ptr<simulated_disk>, size> disks_{
      make_disk(), make_disk(), make_disk()};
  std::array<std::unique_ptr<register_client>, size> clients_;
  std::mutex mutex_;
  std::array<std::shared_ptr<replicated_log>, size> logs_;
};

void register_client::send(const replica_address& to, std::string message)
{
  logs_.send(to, std::move(message));
}

const std::string command(300, 'x');

/// Saves entries, a snapshot and a format version while the disk is full at
/// some of the attempts; returns false if the disk was never full.
bool save_over_full_disk(std::uint64_t first_full, std::uint64_t attempts)
{
  auto disk = std::make_shared<simulated_disk>();
  simulated_file_system files(disk);
  const std::vector<replica_address> group = {{replica_id{1}, {}, true}};
  auto opened = log_store::open(files, folder, replica_id{1}, group, 700);
  auto& store = *opened.value();
  std::uint64_t saves = 0;
  bool met = false;
  const auto finish = [&](result<void> outcome)
  {
    for (std::uint64_t attempt = 0; !outcome; ++attempt)
    {
      met = true;
      CHECK_TRUE(outcome.error().code == error_code::storage_full);
      if (attempt == attempts)
        disk->full->store(false);
      outcome = store.complete();
    }
  };
  const auto next = [&]
  {
    disk->full->store(saves++ == first_full);
  };
  for (std::uint64_t index = 1; index <= 8; ++index)
  {
    persist_request request;
    request.hard = hard_state{index, replica_id{1}, true};
    request.entries = {{{index, index}, entry_kind::command, command}};
    next();
    finish(store.save(request));
  }
  next();
  finish(store.require_format(2));
  persist_request install;
  install.snapshot = {{{{9, 20}, {group, {}}, command.size()}, command}};
  install.entries = {{{9, 21}, entry_kind::command, command}};
  next();
  finish(store.save(install));
  disk->full->store(false);
  opened.value().reset();
  disk->crash(0);
  auto reopened = log_store::open(files, folder, replica_id{1}, group, 700);
  CHECK_TRUE(reopened.has_value());
  CHECK_TRUE(reopened.value()->take_snapshot_data() == command);
  CHECK_EQUAL(1U, reopened.value()->take_stored().entries.size());
  return met;
}

} // namespace

TEST_GROUP(storage_full){};

// Guards against a write that a full disk has interrupted and that is not
// finished when there is room, whatever file operation met the full disk.
TEST(storage_full, interrupted_save_is_finished_when_there_is_room)
{
  std::uint64_t first_full = 0;
  for (; first_full < 10; ++first_full)
    for (std::uint64_t attempts = 0; attempts < 3; ++attempts)
      CHECK_TRUE(save_over_full_disk(first_full, attempts));
  CHECK_FALSE(save_over_full_disk(first_full, 0));
}

// Guards against an instance that ends because a snapshot met a full disk, and
// against one that never writes a snapshot again.
TEST(storage_full, snapshot_in_progress_is_finished_when_there_is_room)
{
  auto disk = std::make_shared<simulated_disk>();
  simulated_file_system files(disk);
  const std::vector<replica_address> group = {{replica_id{1}, {}, true}};
  auto opened = log_store::open(files, folder, replica_id{1}, group);
  auto& store = *opened.value();
  persist_request request;
  request.entries = {{{1, 1}, entry_kind::command, command}};
  CHECK_TRUE(store.save(request).has_value());
  store.begin_snapshot({{1, 1}, {group, {}}, command.size()}, command);
  disk->full->store(true);
  CHECK_FALSE(store.step_snapshot().value().has_value());
  for (int attempt = 0; attempt < 3; ++attempt)
    CHECK_TRUE(store.step_snapshot().error().code == error_code::storage_full);
  disk->full->store(false);
  CHECK_TRUE(store.step_snapshot().value().has_value());
  CHECK_FALSE(store.snapshot_in_progress());
}

// Guards against a leader whose disk is full and that answers nobody until
// there is room, and against a group that then stays without one.
TEST(storage_full, leader_hands_over_and_refuses_at_once)
{
  group_on_simulated_disks logs;
  logs.propose(command);
  logs.wait_for_all();
  const auto full = logs.leader_besides(logs.size);
  logs.fill(full, true);
  const auto answer = logs.propose_at(full, command);
  CHECK_TRUE(!answer || answer.value() == command);
  CHECK_TRUE(answer || answer.error().message != "no answer");
  logs.propose(command, full);
  while (!logs.client(full).storage_full_)
    std::this_thread::sleep_for(5ms);
  CHECK_FALSE(logs.client(full).leads_);
  const auto refused = logs.propose_at(full, command);
  CHECK_TRUE(refused.error().code == error_code::not_leader);
}

// Guards against a group that refuses commands for good after each disk was
// full for a while, one after the other, with snapshots and segments on the
// way.
TEST(storage_full, group_goes_on_after_each_disk_was_full_in_turn)
{
  group_on_simulated_disks logs;
  logs.propose(command);
  logs.wait_for_all();
  for (std::size_t turn = 0; turn < 9; ++turn)
  {
    const auto full = turn % logs.size;
    logs.fill(full, true);
    for (int i = 0; i < 20; ++i)
      logs.propose(command);
    logs.fill(full, false);
    logs.wait_for_all();
    while (logs.client(full).storage_full_)
      std::this_thread::sleep_for(5ms);
  }
}

// Guards against an instance that can't be stopped while its disk is full, and
// against a lost entry after that.
TEST(storage_full, instance_with_a_full_disk_stops_and_starts_again)
{
  group_on_simulated_disks logs;
  logs.propose(command);
  logs.wait_for_all();
  const auto full = logs.leader_besides(logs.size);
  logs.fill(full, true);
  (void)logs.propose_at(full, command);
  logs.propose(command, full);
  const auto begun = std::chrono::steady_clock::now();
  logs.stop(full);
  CHECK_TRUE(std::chrono::steady_clock::now() - begun < refusal_limit);
  logs.fill(full, false);
  const auto applied = logs.applied_at(logs.leader_besides(full));
  logs.start(full);
  logs.wait_for(full, applied);
}
