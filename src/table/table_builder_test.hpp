#ifndef TOUCANMILL_SRC_TABLE_TABLE_BUILDER_TEST_HPP
#define TOUCANMILL_SRC_TABLE_TABLE_BUILDER_TEST_HPP

#include <toucanmill/table/routing_table.hpp>

namespace toucanmill::test
{

inline endpoint public_address(std::uint32_t service)
{
  return {ipv4_address{0xCB000000U + service}, 443};
}

/// Builds a service; its holders depend on the id, the chains also on the
/// bucket.
inline service_table build_service(std::uint32_t id, std::size_t bucket_count,
                                   std::uint16_t holder_count)
{
  service_table service;
  service.id = service_id{id};
  service.name = "service-" + std::to_string(id);
  service.address = public_address(id);
  service.version = {1, id};
  for (std::uint16_t i = 0; i < holder_count; ++i)
  {
    const auto node = id * 16ULL + i;
    const ipv4_address address{0x0A000000U + static_cast<std::uint32_t>(node)};
    service.holders.push_back({node_id{node}, {address, 6081}, i == 3});
  }
  for (std::size_t bucket = 0; bucket < bucket_count; ++bucket)
  {
    chain holders;
    holders.size = static_cast<std::uint8_t>(1 + bucket % holder_count);
    for (std::size_t i = 0; i < holders.size; ++i)
      holders.holders[i] =
          static_cast<std::uint16_t>((id + bucket + i) % holder_count);
    service.buckets.push_back(holders);
  }
  return service;
}

inline table_update full_update(std::uint32_t services,
                                std::size_t bucket_count,
                                std::uint16_t holder_count)
{
  table_update update;
  update.version = {1, services};
  update.full = true;
  for (std::uint32_t id = 1; id <= services; ++id)
    update.changed.push_back(build_service(id, bucket_count, holder_count));
  return update;
}

} // namespace toucanmill::test

#endif
