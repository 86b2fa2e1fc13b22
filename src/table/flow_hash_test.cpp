#include <toucanmill/table/flow_hash.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

using namespace toucanmill;

TEST_GROUP(flow_hash){};

// Guards against a change of the seed or the input layout: balancers and agents
// of different versions would map the same flow to different buckets.
TEST(flow_hash, value_is_fixed)
{
  const flow_key key{{ipv4_address{0xC6336401}, 40001},
                     {ipv4_address{0xCB00710A}, 443}};
  UNSIGNED_LONGLONGS_EQUAL(0xD47317ACDB06AA27ULL, flow_hash(key));
}

// Guards against a hash that leaves buckets empty for callers that share one
// address and differ only in the port.
TEST(flow_hash, ports_of_one_caller_reach_all_buckets)
{
  constexpr std::size_t buckets = 256;
  std::vector<unsigned> counts(buckets);
  for (std::uint16_t port = 10000; port < 60000; ++port)
  {
    const flow_key key{{ipv4_address{0xC6336401}, port},
                       {ipv4_address{0xCB00710A}, 443}};
    ++counts[bucket_of(flow_hash(key), buckets)];
  }
  // The mean is 195; the bounds are seven standard deviations away, which a
  // uniform hash does not reach.
  CHECK_TRUE(*std::min_element(counts.begin(), counts.end()) > 97);
  CHECK_TRUE(*std::max_element(counts.begin(), counts.end()) < 293);
}
