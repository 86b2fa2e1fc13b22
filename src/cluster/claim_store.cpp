#include "claim_store.hpp"

#include <toucanmill/cluster/validation.hpp>

namespace toucanmill
{

namespace
{

// Memory of one claim (entry, key and index nodes) without the text of key and
// answer.
constexpr std::size_t entry_overhead_octets = 256;

std::size_t octets_of(const claim_key& key, const stored_claim& value)
{
  return entry_overhead_octets + key.key.size() + value.answer.size();
}

} // namespace

claim_outcome claim_store::request(const claim_request& value,
                                   std::uint64_t index, std::uint64_t clock)
{
  expire(clock);
  if (const auto found = claims_.find(value.key); found != claims_.end())
  {
    const auto& stored = found->second;
    if (stored.digest != value.digest)
      return {claim_verdict::different_request, {}};
    if (stored.completed)
      return {claim_verdict::completed, stored.answer};
    return {stored.claim == value.claim ? claim_verdict::granted
                                        : claim_verdict::in_progress,
            {}};
  }
  if (octets_ >= limit_octets_ || check_claim_key(value.key.key).has_error())
    return {claim_verdict::limit_reached, {}};
  stored_claim granted;
  granted.claim = value.claim;
  granted.digest = value.digest;
  granted.index = index;
  granted.at = clock;
  insert(value.key, std::move(granted));
  return {claim_verdict::granted, {}};
}

void claim_store::complete(const claim_completion& value)
{
  const auto found = claims_.find(value.key);
  if (found == claims_.end() || found->second.claim != value.claim ||
      found->second.completed)
    return;
  found->second.completed = true;
  // The limit refuses new claims only; claims in progress may still store their
  // answers up to twice the limit, which bounds memory use.
  if (value.answer.size() > max_answer_octets ||
      octets_ + value.answer.size() > 2 * limit_octets_)
    return;
  found->second.answer = value.answer;
  octets_ += value.answer.size();
}

void claim_store::release(const claim_release& value)
{
  const auto found = claims_.find(value.key);
  if (found != claims_.end() && found->second.claim == value.claim &&
      !found->second.completed)
    erase(value.key);
}

void claim_store::expire(std::uint64_t clock)
{
  while (!by_index_.empty())
  {
    const claim_key key = *by_index_.begin()->second;
    if (claims_.at(key).at + retention_seconds > clock)
      return;
    erase(key);
  }
}

void claim_store::insert(const claim_key& key, stored_claim value)
{
  const auto index = value.index;
  octets_ += octets_of(key, value);
  const auto [at, inserted] = claims_.emplace(key, std::move(value));
  by_index_.emplace(index, &at->first);
}

void claim_store::erase(const claim_key& key)
{
  const auto found = claims_.find(key);
  octets_ -= octets_of(found->first, found->second);
  by_index_.erase(found->second.index);
  claims_.erase(found);
}

} // namespace toucanmill
