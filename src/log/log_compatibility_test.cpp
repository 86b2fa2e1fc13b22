#include <CppUTest/TestHarness.h>

#include "../base/recorded_octets_test.hpp"
#include "log_samples_test.hpp"

using namespace toucanmill;
using namespace toucanmill::log_detail;

namespace
{

const std::string earlier_build = "faf1efe";

std::shared_ptr<simulated_disk> recorded_disk()
{
  auto disk = std::make_shared<simulated_disk>();
  for (const auto& [name, octets] : test::recorded_octets("log", earlier_build))
    if (name.compare(0, sample_folder.size(), sample_folder) == 0)
      disk->files[name] = std::make_shared<simulated_disk::content>(
          simulated_disk::content{octets, octets.size()});
  disk->durable = disk->files;
  return disk;
}

} // namespace

TEST_GROUP(log_compatibility){};

// Guards against replicas of different builds that cannot form a quorum.
TEST(log_compatibility, messages_of_the_earlier_build_are_read)
{
  const auto recorded = test::recorded_octets("log", earlier_build);
  for (const auto& [name, message] : sample_messages())
  {
    const auto decoded = decode_message(recorded.at(name));
    CHECK_TRUE_TEXT(decoded.has_value(), name.c_str());
    CHECK_TRUE_TEXT(encode(decoded.value()) == encode(message), name.c_str());
  }
  CHECK_TRUE(decode_group(recorded.at("group")).value() == sample_group());
}

// Guards against a data folder that an upgraded instance cannot open, or that
// it opens with other entries.
TEST(log_compatibility, folder_of_the_earlier_build_is_opened)
{
  simulated_file_system files(recorded_disk());
  auto store = log_store::open(files, sample_folder, sample_replica, {},
                               sample_segment_bytes);
  CHECK_TRUE(store.has_value());
  const auto stored = store.value()->take_stored();
  CHECK_TRUE(stored.hard == sample_hard_state());
  CHECK_TRUE(stored.snapshot.position == sample_snapshot_meta().position);
  CHECK_TRUE(stored.snapshot.group == sample_group());
  STRCMP_EQUAL("the state", store.value()->take_snapshot_data().c_str());
  CHECK_EQUAL(sample_entries - sample_snapshot_index, stored.entries.size());
  for (const auto& entry : stored.entries)
    CHECK_TRUE(entry == sample_entry(entry.position.index));
}

// Guards against messages and files that an instance cannot read after it went
// back to the earlier build.
TEST(log_compatibility, octets_are_written_as_by_the_earlier_build)
{
  const auto recorded = test::recorded_octets("log", earlier_build);
  STRCMP_EQUAL("", test::differences(recorded, encoded_samples()).c_str());
}
