#include <toucanmill/admission/waiting_list.hpp>

#include <algorithm>

namespace toucanmill
{

time_point waiting_list::ages_at(const waiting_entry& entry)
{
  return entry.since + entry.terms.time_limit / 2;
}

waiting_list::rank waiting_list::rank_of(const state& value)
{
  const auto priority =
      value.aged ? 0 : std::min(value.entry.terms.priority, lowest_priority);
  return {priority, value.late, value.entry.on_time_until, value.entry.flow};
}

time_point waiting_list::next_change(const state& value)
{
  auto at = value.entry.expires;
  if (!value.late)
    at = std::min(at, value.entry.on_time_until);
  if (!value.aged)
    at = std::min(at, ages_at(value.entry));
  return at;
}

void waiting_list::update(state& value, time_point now)
{
  value.late |= value.entry.on_time_until <= now;
  value.aged |= ages_at(value.entry) <= now;
}

void waiting_list::link(const state& value)
{
  const auto place = rank_of(value);
  order_.insert(place);
  timers_.emplace(next_change(value), value.entry.flow);
  if (value.aged)
    aged_.emplace(value.entry.since, value.entry.flow);
  ++(value.late ? late_ : on_time_)[std::get<0>(place)];
}

void waiting_list::unlink(const state& value)
{
  const auto place = rank_of(value);
  order_.erase(place);
  timers_.erase({next_change(value), value.entry.flow});
  if (value.aged)
    aged_.erase({value.entry.since, value.entry.flow});
  --(value.late ? late_ : on_time_)[std::get<0>(place)];
}

void waiting_list::advance(time_point now)
{
  while (!timers_.empty() && timers_.begin()->first <= now)
  {
    const auto found = entries_.find(timers_.begin()->second);
    unlink(found->second);
    if (found->second.entry.expires <= now)
    {
      expired_.push_back(found->second.entry);
      entries_.erase(found);
      continue;
    }
    update(found->second, now);
    link(found->second);
  }
}

bool waiting_list::add(const waiting_entry& entry, time_point now)
{
  state value{entry, false, false};
  update(value, now);
  const auto [at, added] = entries_.emplace(entry.flow, value);
  if (added)
    link(at->second);
  return added;
}

bool waiting_list::remove(const flow_key& flow)
{
  const auto found = entries_.find(flow);
  if (found == entries_.end())
    return false;
  unlink(found->second);
  entries_.erase(found);
  return true;
}

bool waiting_list::is_turn_of_oldest() const
{
  return !aged_.empty() && releases_ % fair_interval == fair_interval - 1;
}

bool waiting_list::skip_oldest()
{
  if (!is_turn_of_oldest())
    return false;
  ++releases_;
  return true;
}

const waiting_entry* waiting_list::next(time_point now)
{
  advance(now);
  if (entries_.empty())
    return nullptr;
  const auto& flow = is_turn_of_oldest() ? aged_.begin()->second
                                         : std::get<flow_key>(*order_.begin());
  return &entries_.find(flow)->second.entry;
}

bool waiting_list::mark_late(const flow_key& flow)
{
  auto& value = entries_.find(flow)->second;
  if (value.late)
    return false;
  unlink(value);
  value.late = true;
  link(value);
  return true;
}

waiting_entry waiting_list::take(const flow_key& flow)
{
  const auto entry = entries_.find(flow)->second.entry;
  remove(flow);
  ++releases_;
  return entry;
}

std::vector<waiting_entry> waiting_list::take_expired(time_point now)
{
  advance(now);
  return std::exchange(expired_, {});
}

std::size_t waiting_list::ahead(std::uint32_t priority, time_point now)
{
  advance(now);
  const auto own = std::min(priority, lowest_priority);
  auto sum = on_time_[own];
  for (std::size_t i = 0; i < own; ++i)
    sum += on_time_[i] + late_[i];
  return sum;
}

std::vector<waiting_entry> waiting_list::take_all()
{
  std::vector<waiting_entry> taken;
  taken.reserve(entries_.size());
  for (const auto& [flow, value] : entries_)
    taken.push_back(value.entry);
  for (const auto& entry : taken)
    remove(entry.flow);
  return taken;
}

} // namespace toucanmill
