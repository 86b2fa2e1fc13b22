#include "log_store.hpp"

#include <CppUTest/TestHarness.h>

#include "frame.hpp"
#include "simulated_files_test.hpp"

using namespace toucanmill;
using namespace toucanmill::log_detail;

namespace
{

const std::string folder = "data";
const std::string first_segment = "data/wal-0000000000000001";
const std::vector<replica_address> group = {{replica_id{1}, {}, true}};

persist_request request(std::uint64_t from, std::uint64_t to,
                        std::uint64_t term = 1)
{
  persist_request value;
  value.sequence = from;
  value.hard = hard_state{term, replica_id{1}, true};
  for (auto index = from; index <= to; ++index)
    value.entries.push_back(
        {{term, index}, entry_kind::command, "entry " + std::to_string(index)});
  return value;
}

/// A store opened on a disk; several can be opened one after another.
struct store_on_disk
{
  explicit store_on_disk(std::shared_ptr<simulated_disk> disk,
                         std::uint64_t id = 1,
                         std::uint64_t segment_bytes = 1 << 20)
      : files(std::move(disk)),
        store(log_store::open(files, folder, replica_id{id}, group,
                              segment_bytes))
  {
  }
  simulated_file_system files;
  result<std::unique_ptr<log_store>> store;
};

std::shared_ptr<simulated_disk> copy(const simulated_disk& disk)
{
  auto result = std::make_shared<simulated_disk>(disk);
  for (auto& [name, file] : result->files)
    file = std::make_shared<simulated_disk::content>(*file);
  result->durable = result->files;
  return result;
}

/// Returns a disk with entries 1 to 3, one per batch. `sizes` receives the
/// segment's size initially and after each batch.
std::shared_ptr<simulated_disk>
disk_with_entries(std::vector<std::size_t>& sizes)
{
  auto disk = std::make_shared<simulated_disk>();
  store_on_disk opened(disk);
  sizes.push_back(disk->files.at(first_segment)->bytes.size());
  for (std::uint64_t index = 1; index <= 3; ++index)
  {
    CHECK_TRUE(opened.store.value()->save(request(index, index)).has_value());
    sizes.push_back(disk->files.at(first_segment)->bytes.size());
  }
  return disk;
}

} // namespace

TEST_GROUP(log_store){};

// Guards against an interrupted write that loses synced entries, yields a
// partially written entry, or prevents the store from opening.
TEST(log_store, segment_cut_at_every_byte_keeps_the_synced_entries)
{
  std::vector<std::size_t> sizes;
  const auto disk = disk_with_entries(sizes);
  for (auto size = sizes[0]; size <= sizes[3]; ++size)
  {
    const auto cut = copy(*disk);
    cut->files.at(first_segment)->bytes.resize(size);
    store_on_disk opened(cut);
    CHECK_TRUE(opened.store.has_value());
    std::size_t complete_batches = 0;
    while (complete_batches < 3 && sizes[complete_batches + 1] <= size)
      ++complete_batches;
    const auto stored = opened.store.value()->take_stored();
    // The entry is the last record of its batch, so it is complete if the batch
    // is.
    const bool expected_count = stored.entries.size() == complete_batches;
    CHECK_TRUE(expected_count);
    CHECK_TRUE(opened.store.value()
                   ->save(request(complete_batches + 1, 9))
                   .has_value());
  }
}

// Guards against a segment that is truncated in its synced start record and is
// treated as an empty log.
TEST(log_store, segment_cut_in_its_start_record_is_an_error)
{
  std::vector<std::size_t> sizes;
  const auto disk = disk_with_entries(sizes);
  for (const std::size_t size : {0, 1, 11, 20})
  {
    const auto cut = copy(*disk);
    cut->files.at(first_segment)->bytes.resize(size);
    CHECK_FALSE(store_on_disk(cut).store.has_value());
  }
}

// Guards against a corrupted byte that is read as valid data, or treated as an
// interrupted write, which silently drops synced entries.
TEST(log_store, each_corrupted_byte_is_reported_with_file_and_offset)
{
  std::vector<std::size_t> sizes;
  const auto disk = disk_with_entries(sizes);
  for (const auto& [name, file] : disk->files)
    for (std::size_t i = 0; i < file->bytes.size(); ++i)
    {
      const auto flipped = copy(*disk);
      flipped->files.at(name)->bytes[i] ^= 0x10;
      store_on_disk opened(flipped);
      CHECK_FALSE(opened.store.has_value());
      const auto& message = opened.store.error().message;
      CHECK_TRUE(message.find(name) != std::string::npos);
      if (name != "data/replica-id")
        CHECK_TRUE(message.find("offset ") != std::string::npos);
    }
}

// Guards against a store that does not open after a power loss left zeros in
// the space that the file system had allocated for the last write.
TEST(log_store, trailing_zeros_are_an_interrupted_write)
{
  std::vector<std::size_t> sizes;
  const auto disk = disk_with_entries(sizes);
  disk->files.at(first_segment)->bytes += std::string(4096, '\0');
  store_on_disk opened(disk);
  CHECK_TRUE(opened.store.has_value());
  CHECK_EQUAL(3U, opened.store.value()->take_stored().entries.size());
}

// Guards against an instance that opens another instance's folder, or one that
// lost its replica id file, and votes with the wrong log.
TEST(log_store, folder_of_another_replica_is_rejected)
{
  std::vector<std::size_t> sizes;
  const auto disk = disk_with_entries(sizes);
  CHECK_FALSE(store_on_disk(disk, 2).store.has_value());
  disk->files.erase("data/replica-id");
  const store_on_disk opened(disk);
  CHECK_FALSE(opened.store.has_value());
  CHECK_TRUE(opened.store.error().code == error_code::invalid_argument);
}

// Guards against an instance that never starts again because the power was lost
// while it cleared its folder, before the lists of flows were removed.
TEST(log_store, folder_with_lists_of_flows_only_is_initialised)
{
  const auto disk = std::make_shared<simulated_disk>();
  disk->files["data/kept_flows"] = std::make_shared<simulated_disk::content>();
  CHECK_TRUE(store_on_disk(disk).store.has_value());
}

// Guards against a missing segment or snapshot that is not detected.
TEST(log_store, missing_file_is_reported)
{
  const auto disk = std::make_shared<simulated_disk>();
  {
    store_on_disk opened(disk, 1, 100);
    for (std::uint64_t index = 1; index <= 4; ++index)
      CHECK_TRUE(opened.store.value()->save(request(index, index)).has_value());
  }
  CHECK_TRUE(disk->files.size() >= 6);
  for (const auto& [name, file] : disk->files)
  {
    if (name == disk->files.rbegin()->first)
      continue; // the newest segment holds no entry yet
    const auto damaged = copy(*disk);
    damaged->files.erase(name);
    CHECK_FALSE(store_on_disk(damaged).store.has_value());
  }
}

// Guards against a write to a full disk that is reported as success or makes
// earlier entries unrecoverable.
TEST(log_store, full_disk_is_an_error_and_keeps_synced_entries)
{
  std::vector<std::size_t> sizes;
  const auto disk = disk_with_entries(sizes);
  for (std::uint64_t free_bytes = 0; free_bytes < 60; free_bytes += 7)
  {
    const auto full = copy(*disk);
    std::uint64_t used = 0;
    for (const auto& [name, file] : full->files)
      used += file->bytes.size();
    full->capacity = used + free_bytes;
    store_on_disk opened(full);
    CHECK_FALSE(opened.store.value()->save(request(4, 4)).has_value());
    full->capacity = 1 << 20;
    full->crash(free_bytes);
    store_on_disk reopened(full);
    CHECK_EQUAL(3U, reopened.store.value()->take_stored().entries.size());
  }
}

// Guards against a snapshot in progress that replaces a newer installed one.
TEST(log_store, installed_snapshot_replaces_one_in_progress)
{
  const auto disk = std::make_shared<simulated_disk>();
  {
    store_on_disk opened(disk);
    auto& store = *opened.store.value();
    CHECK_TRUE(store.save(request(1, 5)).has_value());
    store.begin_snapshot({{1, 4}, {group, {}}, 3}, "own");
    CHECK_FALSE(store.step_snapshot().value().has_value());
    auto install = request(12, 13, 2);
    install.snapshot = {{{{2, 11}, {group, {}}, 5}, "other"}};
    CHECK_TRUE(store.save(install).has_value());
    CHECK_FALSE(store.snapshot_in_progress());
  }
  disk->crash(0);
  store_on_disk reopened(disk);
  CHECK_TRUE(reopened.store.value()->take_snapshot_data() == "other");
  CHECK_EQUAL(2U, reopened.store.value()->take_stored().entries.size());
}

// Guards against lost state, or a folder that cannot be opened, after a crash
// during initialisation, a snapshot or the installation of a snapshot.
TEST(log_store, crash_after_every_operation_recovers)
{
  for (std::uint64_t operations = 0; operations < 60; ++operations)
  {
    const auto disk = std::make_shared<simulated_disk>();
    disk->operations_left = operations;
    std::uint64_t durable = 0;
    {
      store_on_disk opened(disk, 1, 300);
      if (opened.store && opened.store.value()->save(request(1, 5)))
        durable = 5;
      const snapshot_meta own{{1, 4}, {group, {}}, 3};
      if (durable == 5)
        (void)opened.store.value()->save_snapshot(own, "own");
      auto install = request(12, 13, 2);
      install.snapshot = {{{{2, 11}, {group, {}}, 5}, "other"}};
      if (durable == 5 && opened.store.value()->save(install))
        durable = 13;
    }
    disk->crash(operations % 3 * 20);
    store_on_disk reopened(disk, 1, 300);
    CHECK_TRUE(reopened.store.has_value());
    const auto stored = reopened.store.value()->take_stored();
    const auto last = stored.entries.empty()
                          ? stored.snapshot.position.index
                          : stored.entries.back().position.index;
    CHECK_TRUE(last >= durable);
    CHECK_TRUE(reopened.store.value()
                   ->save(request(last + 1, last + 2, 3))
                   .has_value());
    CHECK_TRUE(store_on_disk(disk, 1, 300).store.has_value());
  }
}

// Guards against a build that opens a folder of a newer one, or changes it, and
// against one that can't go back to the earlier build before the raise.
TEST(log_store, folder_of_a_newer_format_is_rejected_and_stays)
{
  std::vector<std::size_t> sizes;
  const auto disk = disk_with_entries(sizes);
  const auto path = folder + "/replica-id";
  CHECK_TRUE(disk->files.at(path)->bytes == "1\n");
  CHECK_TRUE(store_on_disk(disk).store.value()->require_format(2).has_value());
  CHECK_TRUE(disk->files.at(path)->bytes == "1\nformat 2\n");
  CHECK_TRUE(store_on_disk(disk).store.has_value());
  for (const auto* text : {"1\nformat 3\n", "1\nformat 300\n", "1\nformat\n"})
  {
    disk->files.at(path)->bytes = text;
    const auto before = copy(*disk);
    CHECK_TRUE(store_on_disk(disk).store.error().code ==
               error_code::corrupt_data);
    CHECK_EQUAL(before->files.size(), disk->files.size());
    for (const auto& [name, file] : before->files)
      CHECK_TRUE(file->bytes == disk->files.at(name)->bytes);
  }
}
