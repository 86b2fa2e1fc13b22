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
  count(value);
}

/// Flows of another service are not counted as holdings of this one.
void held_flows::count(const held_flow& value)
{
  if (value.service != service_)
    return;
  if (value.bucket >= counts_.size())
    counts_.resize(value.bucket + 1U);
  if (counts_[value.bucket]++ == 0)
    touched_.insert(value.bucket);
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
  TOUCANMILL_INVARIANT(counts_[value.bucket] > 0, "bucket count below zero");
  if (--counts_[value.bucket] == 0)
    touched_.insert(value.bucket);
}

void held_flows::set_service(service_id service)
{
  if (service == service_)
    return;
  service_ = service;
  counts_.clear();
  touched_ = reported_;
  for (const auto& [flow, value] : flows_)
    count(value);
}

std::size_t held_flows::size() const
{
  return flows_.size();
}

bool held_flows::holds(std::uint16_t bucket) const
{
  return bucket < counts_.size() && counts_[bucket] > 0;
}

std::vector<std::uint16_t> held_flows::buckets() const
{
  std::vector<std::uint16_t> result;
  for (std::size_t bucket = 0; bucket < counts_.size(); ++bucket)
    if (counts_[bucket] > 0)
      result.push_back(static_cast<std::uint16_t>(bucket));
  return result;
}

std::vector<holdings_change> held_flows::take_changes()
{
  std::vector<holdings_change> changes;
  for (const auto bucket : touched_)
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
  touched_.clear();
  return changes;
}

} // namespace toucanmill::detail
