// Finds the agent that owns a flow's bucket.

#include <iostream>

#include <toucanmill/table/flow_hash.hpp>
#include <toucanmill/table/routing_table.hpp>

using namespace toucanmill;

int main()
{
  service_table charts;
  charts.id = {1};
  charts.name = "charts";
  charts.address = parse_endpoint("203.0.113.11:80").value();
  charts.holders = {{{1}, parse_endpoint("127.0.0.1:6101").value(), false}};
  charts.buckets.resize(16, chain{1, {0}});

  const auto table = routing_table{}.apply({{1, 1}, true, {charts}, {}});
  const flow_key flow{parse_endpoint("10.0.0.1:40000").value(), charts.address};
  const auto* service = table.value().find(flow.service);
  const auto bucket = bucket_of(flow_hash(flow), service->buckets.size());
  const auto owner = service->buckets[bucket].holders[0];
  std::cout << to_string(service->holders[owner].agent) << "\n";
}
