#include "held_flows_core.hpp"

#include <toucanmill/base/invariant.hpp>

namespace toucanmill::detail
{

held_flow* held_flows::find(const flow_key& flow)
{
  const auto found = flows_.find(flow);
  return found == flows_.end() ? nullptr : &found->second;
}

const held_flow* held_flows::find(const flow_key& flow) const
{
  const auto found = flows_.find(flow);
  return found == flows_.end() ? nullptr : &found->second;
}

void held_flows::add(const flow_key& flow, const held_flow& value)
{
  const bool added = flows_.emplace(flow, value).second;
  TOUCANMILL_INVARIANT(added, "a held flow is accepted again");
  count_flow(value);
}

void held_flows::count_flow(const held_flow& value)
{
  if (value.service != service_)
    return;
  if (value.bucket >= flow_counts_.size())
    flow_counts_.resize(value.bucket + 1U);
  if (flow_counts_[value.bucket]++ == 0)
    changed_.insert(value.bucket);
}

void held_flows::remove(const flow_key& flow)
{
  const auto found = flows_.find(flow);
  if (found == flows_.end())
    return;
  const held_flow value = found->second;
  flows_.erase(found);
  if (value.service != service_)
    return;
  TOUCANMILL_INVARIANT(flow_counts_[value.bucket] > 0,
                       "flow count of a bucket below zero");
  if (--flow_counts_[value.bucket] == 0)
    changed_.insert(value.bucket);
}

void held_flows::set_service(service_id service)
{
  if (service == service_)
    return;
  service_ = service;
  flow_counts_.clear();
  changed_ = reported_;
  for (const auto& [flow, value] : flows_)
    count_flow(value);
}

std::size_t held_flows::size() const
{
  return flows_.size();
}

bool held_flows::holds(std::uint16_t bucket) const
{
  return bucket < flow_counts_.size() && flow_counts_[bucket] > 0;
}

std::vector<std::uint16_t> held_flows::buckets() const
{
  std::vector<std::uint16_t> result;
  for (std::size_t bucket = 0; bucket < flow_counts_.size(); ++bucket)
    if (flow_counts_[bucket] > 0)
      result.push_back(static_cast<std::uint16_t>(bucket));
  return result;
}

std::vector<holdings_change> held_flows::take_changes()
{
  std::vector<holdings_change> changes;
  for (const auto bucket : changed_)
  {
    const bool held = holds(bucket);
    if (held == (reported_.count(bucket) != 0))
      continue;
    changes.push_back({bucket, held});
    if (held)
      reported_.insert(bucket);
    else
      reported_.erase(bucket);
  }
  changed_.clear();
  return changes;
}

} // namespace toucanmill::detail
