#ifndef TOUCANMILL_BENCH_FLOW_DATAGRAMS_HPP
#define TOUCANMILL_BENCH_FLOW_DATAGRAMS_HPP

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

#include "../src/packet/packet_builder_test.hpp"
#include "../src/table/table_builder_test.hpp"

namespace toucanmill::bench
{

inline constexpr std::size_t bucket_count = 64;
inline constexpr std::uint16_t holder_count = 5;

inline routing_table build_table(std::uint32_t services)
{
  const auto update = test::full_update(services, bucket_count, holder_count);
  return routing_table{}.apply(update).value();
}

/// Datagrams as a fabric edge sends them, of random flows to random services.
inline std::vector<test::octets>
flow_datagrams(std::size_t count, std::uint32_t services, std::size_t payload)
{
  std::mt19937_64 random(1);
  std::vector<test::octets> datagrams;
  for (std::size_t i = 0; i < count; ++i)
  {
    const auto caller =
        test::ip_endpoint(static_cast<std::uint32_t>(random()),
                          static_cast<std::uint16_t>(1 + random() % 65535));
    const auto service = static_cast<std::uint32_t>(1 + random() % services);
    const flow_key flow{caller, test::public_address(service)};
    datagrams.push_back(
        test::encapsulate(encode_gue_header(),
                          test::build_packet(flow, test::ack_flag, payload)));
  }
  return datagrams;
}

} // namespace toucanmill::bench

#endif
