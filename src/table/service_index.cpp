#include <toucanmill/table/service_index.hpp>

namespace toucanmill
{

const service_index::shard_ptr& service_index::no_shard()
{
  static const shard_ptr none;
  return none;
}

service_index::shard_ptr
service_index::build_shard(const std::vector<entry>& entries)
{
  if (entries.empty())
    return nullptr;
  std::size_t slots = 2;
  while (slots < 2 * entries.size())
    slots *= 2;
  auto built = std::make_shared<shard>(slots);
  for (const auto& entry : entries)
  {
    auto at = static_cast<std::size_t>(mix(entry.key));
    while ((*built)[at & (slots - 1)].service != nullptr)
      ++at;
    (*built)[at & (slots - 1)] = entry;
  }
  return built;
}

std::vector<service_index::entry>
service_index::unchanged_entries(std::size_t shard,
                                 const changes& changed) const
{
  std::vector<entry> kept;
  if (shards_ == nullptr || (*shards_)[shard] == nullptr)
    return kept;
  for (const auto& entry : *(*shards_)[shard])
    if (entry.service != nullptr && changed.count(entry.key) == 0)
      kept.push_back(entry);
  return kept;
}

service_index service_index::with(const changes& changed) const
{
  std::unordered_map<std::size_t, std::vector<entry>> entries_by_shard;
  for (const auto& [key, service] : changed)
  {
    auto& entries = entries_by_shard[shard_of(mix(key))];
    if (service != nullptr)
      entries.push_back({key, service});
  }
  auto shards = shards_ ? std::make_shared<shard_list>(*shards_)
                        : std::make_shared<shard_list>();
  service_index next;
  next.size_ = size_;
  for (auto& [number, entries] : entries_by_shard)
  {
    auto kept = unchanged_entries(number, changed);
    const auto& old = (*shards)[number];
    if (old != nullptr)
      for (const auto& entry : *old)
        next.size_ -= entry.service != nullptr ? 1 : 0;
    entries.insert(entries.end(), kept.begin(), kept.end());
    next.size_ += entries.size();
    (*shards)[number] = build_shard(entries);
  }
  next.shards_ = std::move(shards);
  return next;
}

} // namespace toucanmill
