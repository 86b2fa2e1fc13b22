#include "explain.hpp"

#include <algorithm>
#include <sstream>

#include <toucanmill/table/flow_hash.hpp>

namespace toucanmill::cli
{

namespace
{

nlohmann::json chain_of(const service_table& service, std::size_t bucket)
{
  auto holders = nlohmann::json::array();
  for (const auto index : service.buckets[bucket])
  {
    const auto& holder = service.holders[index];
    holders.push_back({{"agent", to_string(holder.agent)},
                       {"suspect", holder.suspect},
                       {"role", holders.empty() ? "owner" : "earlier owner"}});
  }
  return holders;
}

} // namespace

result<nlohmann::json> explain(const service_list& list, const flow_key& flow)
{
  const auto found = std::find_if(list.services.begin(), list.services.end(),
                                  [&flow](const service_table& service)
                                  {
                                    return service.address == flow.service;
                                  });
  if (found == list.services.end())
    return error{error_code::not_found,
                 "no service has the address " + to_string(flow.service) +
                     ": its packets are dropped and counted"};
  const auto hash = flow_hash(flow);
  const auto bucket = bucket_of(hash, found->buckets.size());
  return nlohmann::json{{"service", found->name},
                        {"hash", hash},
                        {"bucket", bucket},
                        {"buckets", found->buckets.size()},
                        {"chain", chain_of(*found, bucket)}};
}

std::string explanation_text(const nlohmann::json& explanation)
{
  std::ostringstream out;
  out << "service " << explanation["service"].get<std::string>() << ": hash "
      << explanation["hash"] << " selects bucket " << explanation["bucket"]
      << " of " << explanation["buckets"] << "\n";
  if (explanation["chain"].empty())
    out << "no upstream owns the bucket: packets are dropped\n";
  for (const auto& holder : explanation["chain"])
    out << "  " << holder["agent"].get<std::string>() << "  "
        << holder["role"].get<std::string>()
        << (holder["suspect"].get<bool>() ? ", suspect" : "") << "\n";
  if (explanation["chain"].size() > 1)
    out << "a flow that an earlier owner holds stays there; new flows go to "
           "the owner\n";
  return out.str();
}

} // namespace toucanmill::cli
