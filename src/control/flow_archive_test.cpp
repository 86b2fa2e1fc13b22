#include "flow_archive.hpp"

#include <CppUTest/TestHarness.h>

#include <filesystem>
#include <fstream>
#include <mutex>
#include <vector>

#include <stdlib.h>

#include <toucanmill/log/replicated_log.hpp>
#include <toucanmill/table/flow_list.hpp>

#include "flow_list_client.hpp"

using namespace toucanmill;
using namespace toucanmill::detail;

namespace
{

std::string make_folder()
{
  char name[] = "/tmp/toucanmill-flow-archive-XXXXXX";
  return mkdtemp(name);
}

} // namespace

TEST_GROUP(flow_archive)
{
  std::string folder{make_folder()};
  std::mutex mutex;
  std::vector<std::string> failures;

  flow_archive::options options(std::size_t max_octets = 1000)
  {
    const auto record = [this](const std::string& what)
    {
      const std::lock_guard lock(mutex);
      failures.push_back(what);
    };
    return {folder, record, std::chrono::milliseconds(1), max_octets};
  }

  std::size_t failure_count()
  {
    const std::lock_guard lock(mutex);
    return failures.size();
  }

  std::string file() const
  {
    return folder + "/" + kept_flows_file;
  }

  /// Until the writer has written the file, for 10 s at most.
  template <class Condition>
  bool eventually(Condition condition)
  {
    for (int i = 0; i < 1000 && !condition(); ++i)
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    return condition();
  }

  /// Keeps the list, and ends once a new archive would find it.
  void keep_durably(node_id node, const std::string& list)
  {
    flow_archive archive(options());
    CHECK_TRUE(archive.keep(node, list));
    CHECK_TRUE(eventually(
        [&]
        {
          return flow_archive(options()).find(node) == list;
        }));
  }

  void teardown() override
  {
    std::filesystem::remove_all(folder);
  }
};

// Guards against lists that are lost with the power.
TEST(flow_archive, lists_are_found_after_a_restart)
{
  keep_durably({1}, "first");
  keep_durably({2}, "second");
  keep_durably({1}, std::string("third\0", 6));
  flow_archive archive(options());
  CHECK_TRUE(archive.find({1}) == std::string("third\0", 6));
  STRCMP_EQUAL("second", archive.find({2}).c_str());
  STRCMP_EQUAL("", archive.find({3}).c_str());
  CHECK_EQUAL(0U, failure_count());
}

// Guards against a control instance that does not start, or uses wrong lists,
// because of a damaged file.
TEST(flow_archive, damaged_file_is_reported_and_replaced)
{
  keep_durably({1}, "list");
  {
    std::fstream damaged(file(), std::ios::in | std::ios::out);
    damaged.seekp(-1, std::ios::end);
    damaged.put('?');
  }
  STRCMP_EQUAL("", flow_archive(options()).find({1}).c_str());
  CHECK_EQUAL(1U, failure_count());
  keep_durably({1}, "next");
}

// Guards against lists that fill the memory of a control instance.
TEST(flow_archive, oldest_lists_are_evicted)
{
  flow_archive archive(options(100));
  archive.keep({1}, std::string(60, 'a'));
  archive.keep({2}, std::string(30, 'b'));
  archive.keep({1}, std::string(60, 'c'));
  archive.keep({3}, std::string(30, 'd'));
  CHECK_EQUAL(60U, archive.find({1}).size());
  CHECK_EQUAL(0U, archive.find({2}).size());
  CHECK_EQUAL(30U, archive.find({3}).size());
  CHECK_FALSE(archive.keep({4}, std::string(max_flow_list_octets + 1, 'e')));
}

// Guards against lists that an agent believes to be durable.
TEST(flow_archive, instance_without_a_disk_keeps_no_lists)
{
  auto chosen = options();
  chosen.folder.clear();
  flow_archive archive(chosen);
  CHECK_FALSE(archive.keep({1}, "list"));
  STRCMP_EQUAL("", archive.find({1}).c_str());
}

// Guards against a full disk that ends the instance, or that nobody sees.
TEST(flow_archive, failed_write_is_reported_and_the_lists_stay_in_memory)
{
  std::filesystem::create_directory(file() + ".new");
  flow_archive archive(options());
  CHECK_TRUE(archive.keep({1}, "list"));
  CHECK_TRUE(eventually(
      [this]
      {
        return failure_count() == 1;
      }));
  STRCMP_EQUAL("list", archive.find({1}).c_str());
}

// Guards against lists that are never written because the disk was full when
// they came, and no other list came after.
TEST(flow_archive, failed_write_is_tried_again)
{
  const auto obstacle = file() + ".new";
  std::filesystem::create_directory(obstacle);
  flow_archive archive(options());
  CHECK_TRUE(archive.keep({1}, "list"));
  CHECK_TRUE(eventually(
      [&]
      {
        return failure_count() == 1;
      }));
  std::filesystem::remove(obstacle);
  CHECK_TRUE(eventually(
      [&]
      {
        return flow_archive(options()).find({1}) == "list";
      }));
  CHECK_EQUAL(1U, failure_count());
}

// Guards against an agent that looks for its list where it has not put it, and
// against one instance that keeps the lists of all.
TEST(flow_archive, each_node_has_its_own_order_of_keepers)
{
  std::vector<endpoint> instances;
  for (std::uint32_t i = 1; i <= 8; ++i)
    instances.push_back({{i}, 7000});
  const auto reversed =
      std::vector<endpoint>(instances.rbegin(), instances.rend());
  std::vector<std::size_t> nodes_of(9);
  for (std::uint64_t node = 1; node <= 800; ++node)
  {
    const auto order = order_keepers(instances, {node});
    CHECK_TRUE(order == order_keepers(reversed, {node}));
    ++nodes_of[order[0].address.value];
  }
  for (std::uint32_t i = 1; i <= 8; ++i)
    CHECK_TRUE(nodes_of[i] > 50 && nodes_of[i] < 150);
}
