#include <toucanmill/agent/claim_client.hpp>

namespace toucanmill
{

claim_status memory_claim_client::decide(const key_pair& key, claim_id id,
                                         const request_digest& digest,
                                         std::string& answer)
{
  const std::lock_guard lock(mutex_);
  const auto [place, added] =
      entries_.try_emplace(key, entry{id, digest, false, {}});
  const auto& found = place->second;
  if (added)
    return claim_status::granted;
  if (found.digest != digest)
    return claim_status::different_request;
  if (found.completed)
  {
    answer = found.answer;
    return claim_status::completed;
  }
  return found.id == id ? claim_status::granted : claim_status::in_progress;
}

void memory_claim_client::claim(const claim_key& key, claim_id id,
                                const request_digest& digest, on_decided done)
{
  std::string answer;
  const auto status = decide({key.service, key.key}, id, digest, answer);
  done(status, std::move(answer));
}

void memory_claim_client::complete(const claim_key& key, claim_id id,
                                   std::string answer, on_recorded done)
{
  bool stored = false;
  {
    const std::lock_guard lock(mutex_);
    const auto found = entries_.find({key.service, key.key});
    stored = found != entries_.end() && found->second.id == id;
    if (stored && !found->second.completed)
    {
      found->second.completed = true;
      found->second.answer = std::move(answer);
    }
  }
  done(stored);
}

void memory_claim_client::release(const claim_key& key, claim_id id)
{
  const std::lock_guard lock(mutex_);
  const auto found = entries_.find({key.service, key.key});
  if (found != entries_.end() && found->second.id == id &&
      !found->second.completed)
    entries_.erase(found);
}

} // namespace toucanmill
