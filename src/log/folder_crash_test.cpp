#include "log_store.hpp"

#include <CppUTest/TestHarness.h>

#include <set>

#include "simulated_files_test.hpp"

using namespace toucanmill;
using namespace toucanmill::log_detail;

namespace
{

const std::string folder = "data";
const replica_id first_replica{1};
const replica_id second_replica{2};
const std::vector<replica_address> group = {{first_replica, {}, true}};
constexpr std::uint64_t segment_bytes = 200;
constexpr unsigned losses_per_step = 20;

/// Two replicas that use one folder after another; notes what was acknowledged
/// until the first operation that fails.
class folder_life
{
public:
  explicit folder_life(std::shared_ptr<simulated_disk> disk)
      : files_(std::move(disk))
  {
  }

  result<void> run()
  {
    {
      BOOST_OUTCOME_TRY(store, open(first_replica));
      BOOST_OUTCOME_TRY(append(*store, 1, 12));
      // Covers several segments, which are removed at once.
      BOOST_OUTCOME_TRY(store->save_snapshot({{1, 9}, {group, {}}, 3}, "own"));
      BOOST_OUTCOME_TRY(store->require_format(2));
      BOOST_OUTCOME_TRY(append(*store, 13, 14));
    }
    clearing_ = true;
    BOOST_OUTCOME_TRY(clear_folder(files_, folder));
    cleared_ = true;
    BOOST_OUTCOME_TRY(store, open(second_replica));
    acknowledged_ = 0;
    second_opened_ = true;
    auto install = request(21, 22);
    install.snapshot = {{{{1, 20}, {group, {}}, 5}, "other"}};
    BOOST_OUTCOME_TRY(store->save(install));
    acknowledged_ = 22;
    return append(*store, 23, 30);
  }

  /// Whether the folder opens and has all that was acknowledged.
  bool survives(std::shared_ptr<simulated_disk> disk) const
  {
    simulated_file_system files(std::move(disk));
    const auto found = read_stored_identity(files, folder);
    if (!found || !expects(found.value()))
      return false;
    const auto self = found.value().id.value_or(second_replica);
    auto opened = log_store::open(files, folder, self, group, segment_bytes);
    if (!opened)
      return false;
    const bool in_use =
        self == (second_opened_ ? second_replica : first_replica);
    const auto stored = opened.value()->take_stored();
    const auto last = stored.entries.empty()
                          ? stored.snapshot.position.index
                          : stored.entries.back().position.index;
    return (!in_use || !found.value().id || last >= acknowledged_) &&
           opened.value()->save(request(last + 1, last + 1)).has_value() &&
           read_stored_identity(files, folder).value().id == self;
  }

private:
  result<std::unique_ptr<log_store>> open(replica_id self)
  {
    return log_store::open(files_, folder, self, group, segment_bytes);
  }

  result<void> append(log_store& store, std::uint64_t from, std::uint64_t to)
  {
    for (auto index = from; index <= to; ++index)
    {
      BOOST_OUTCOME_TRY(store.save(request(index, index)));
      acknowledged_ = index;
    }
    return outcome::success();
  }

  /// The id of a replica that may have acknowledged something stays until the
  /// folder is given up, and does not come back after that.
  bool expects(const stored_identity& found) const
  {
    if (second_opened_)
      return found.id == second_replica;
    if (cleared_)
      return found.cleared || found.id == second_replica;
    if (acknowledged_ != 0 && !clearing_)
      return found.id == first_replica;
    return !found.id || found.id == first_replica;
  }

  static persist_request request(std::uint64_t from, std::uint64_t to)
  {
    persist_request value;
    value.sequence = from;
    value.hard = hard_state{1, first_replica, true};
    for (auto index = from; index <= to; ++index)
      value.entries.push_back(
          {{1, index}, entry_kind::command, std::string(60, 'e')});
    return value;
  }

  simulated_file_system files_;
  std::uint64_t acknowledged_ = 0;
  bool clearing_ = false;
  bool cleared_ = false;
  bool second_opened_ = false;
};

std::shared_ptr<simulated_disk> copy(const simulated_disk& disk)
{
  auto out = std::make_shared<simulated_disk>(disk);
  std::map<const simulated_disk::content*,
           std::shared_ptr<simulated_disk::content>>
      copies;
  for (auto* names : {&out->files, &out->durable})
    for (auto& [name, file] : *names)
    {
      auto& copied = copies[file.get()];
      if (!copied)
        copied = std::make_shared<simulated_disk::content>(*file);
      file = copied;
    }
  return out;
}

/// Plays the life with a crash before each operation; `crashed` turns the disk
/// into what a new process finds.
template <class Crash>
void play_all_crashes(unsigned repeats, Crash crashed)
{
  for (std::uint64_t operations = 0;; ++operations)
  {
    const auto disk = std::make_shared<simulated_disk>();
    disk->operations_left = operations;
    folder_life life(disk);
    const bool finished = life.run().has_value();
    for (unsigned repeat = 0; repeat < repeats; ++repeat)
    {
      const auto found = copy(*disk);
      crashed(*found, repeat);
      const auto step = "operation " + std::to_string(operations) +
                        ", repeat " + std::to_string(repeat);
      CHECK_TRUE_TEXT(life.survives(found), step.c_str());
    }
    if (finished)
      return;
  }
}

} // namespace

TEST_GROUP(folder_crash){};

// Guards against a folder that can't be opened any more, or that lost entries,
// after its process was killed between two file operations.
TEST(folder_crash, process_that_is_killed_at_any_step_starts_again)
{
  play_all_crashes(1,
                   [](simulated_disk& disk, unsigned)
                   {
                     disk.operations_left = 1ULL << 60;
                   });
}

// Guards against the same after a loss of power that keeps or loses each name
// and each unsynced write on its own.
TEST(folder_crash, loss_of_power_at_any_step_leaves_a_usable_folder)
{
  play_all_crashes(losses_per_step,
                   [](simulated_disk& disk, unsigned repeat)
                   {
                     std::mt19937 random(repeat);
                     disk.lose_power(random);
                   });
}

// Guards against a first group formed anew by a seed whose folder was being
// cleared when it was killed.
TEST(folder_crash, folder_being_cleared_is_told_from_an_empty_one)
{
  const auto disk = std::make_shared<simulated_disk>();
  simulated_file_system files(disk);
  CHECK_TRUE(log_store::open(files, folder, first_replica, group).has_value());
  CHECK_TRUE(clear_folder(files, folder).has_value());
  const auto found = read_stored_identity(files, folder).value();
  CHECK_TRUE(found.cleared);
  CHECK_FALSE(found.id.has_value());
}
