#include <toucanmill/table/service_index.hpp>

#include <CppUTest/TestHarness.h>

#include <map>
#include <random>

using namespace toucanmill;

TEST_GROUP(service_index){};

// Guards against lost, stale or mixed-up entries in a rebuilt shard, and
// against changes that become visible in an older index.
TEST(service_index, agrees_with_a_map_after_random_changes)
{
  std::mt19937_64 random(3);
  constexpr std::uint64_t keys = 3000;
  std::map<std::uint64_t, service_index::service_ptr> model;
  service_index index;
  for (unsigned round = 0; round < 200; ++round)
  {
    service_index::changes changed;
    for (auto count = random() % (round % 10 == 0 ? 1000 : 5); count != 0;
         --count)
      changed[random() % keys] =
          random() % 3 == 0 ? nullptr : std::make_shared<service_table>();
    const auto older = index;
    index = index.with(changed);
    for (std::uint64_t key = 0; key < keys; ++key)
      CHECK_TRUE(older.find(key) == model[key].get());
    for (const auto& [key, service] : changed)
      model[key] = service;
    std::size_t present = 0;
    for (std::uint64_t key = 0; key < keys; ++key)
    {
      CHECK_TRUE(index.find(key) == model[key].get());
      present += model[key] != nullptr ? 1 : 0;
    }
    CHECK_EQUAL(present, index.size());
  }
}
