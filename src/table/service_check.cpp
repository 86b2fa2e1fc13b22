#include "service_check.hpp"

namespace toucanmill::detail
{

namespace
{

/// route_stamp has a 16-bit bucket number.
constexpr std::size_t max_bucket_count = 65536;

error corrupt(const service_table& service, const std::string& problem)
{
  return {error_code::corrupt_data,
          "service " + to_string(service.id) + ": " + problem};
}

bool is_valid_bucket_count(std::size_t count)
{
  return count != 0 && count <= max_bucket_count && (count & (count - 1)) == 0;
}

} // namespace

result<void> check_service(const service_table& service)
{
  const std::size_t count = service.buckets.size();
  if (!is_valid_bucket_count(count))
    return corrupt(service, "bucket count " + std::to_string(count) +
                                " is not a power of two up to 65536");
  for (std::size_t bucket = 0; bucket < count; ++bucket)
  {
    const auto& chain = service.buckets[bucket];
    if (chain.size > max_chain_length)
      return corrupt(service, "bucket " + std::to_string(bucket) + " has " +
                                  std::to_string(chain.size) +
                                  " holders, more than a chain can have");
    for (const auto index : chain)
      if (index >= service.holders.size())
        return corrupt(service, "bucket " + std::to_string(bucket) +
                                    " refers to holder index " +
                                    std::to_string(index) +
                                    ", but the number of holders is " +
                                    std::to_string(service.holders.size()));
  }
  return outcome::success();
}

} // namespace toucanmill::detail
