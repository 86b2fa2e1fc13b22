#include <toucanmill/control/replica_identity.hpp>

#include <CppUTest/TestHarness.h>

#include <filesystem>

#include <unistd.h>

using namespace toucanmill;

namespace
{

const std::vector<endpoint> seeds = {{{1}, 7720}, {{2}, 7720}, {{3}, 7720}};

} // namespace

TEST_GROUP(replica_identity)
{
  void setup() override
  {
    char name[] = "/tmp/toucanmill-identity-test-XXXXXX";
    settings.folder = mkdtemp(name);
    settings.mode = "seeds";
    settings.rpc = seeds[0];
    settings.bootstrap = true;
  }

  void teardown() override
  {
    std::filesystem::remove_all(settings.folder);
  }

  replica_identity choose(replica_start start)
  {
    return choose_replica_identity(settings, seeds, start).value();
  }

  control_settings settings;
};

// Guards against a system that never starts because no seed forms the initial
// group.
TEST(replica_identity, seed_forms_the_initial_group_at_the_first_start)
{
  const auto identity = choose(replica_start::at_process_start);
  CHECK_EQUAL(3U, identity.initial_group.size());
  CHECK_TRUE(identity.id == identity.initial_group[0].id);
}

// Guards against two removed seeds that form a second group without the changes
// that the first one accepted.
TEST(replica_identity, removed_seed_never_forms_a_group_again)
{
  const auto identity = choose(replica_start::after_removal);
  CHECK_TRUE(identity.initial_group.empty());
  CHECK_FALSE(identity.id == choose(replica_start::at_process_start).id);
}

// Guards against a replacement instance that votes under the id of a lost disk.
TEST(replica_identity, instance_with_an_empty_folder_gets_a_new_id)
{
  settings.bootstrap = false;
  const auto first = choose(replica_start::at_process_start);
  CHECK_TRUE(first.initial_group.empty());
  CHECK_FALSE(first.id == choose(replica_start::at_process_start).id);
}

// Guards against an instance without a data folder that fails to start.
TEST(replica_identity, instance_without_a_disk_has_an_identity)
{
  std::filesystem::remove_all(settings.folder);
  settings.folder.clear();
  CHECK_EQUAL(3U, choose(replica_start::at_process_start).initial_group.size());
  settings.bootstrap = false;
  CHECK_TRUE(choose(replica_start::at_process_start).initial_group.empty());
}
