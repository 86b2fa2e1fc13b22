#include <toucanmill/relay/placement.hpp>

#include <algorithm>

namespace toucanmill
{

namespace
{

void add_rotated(visit_stops& to, const visit_stops& from, std::size_t begin,
                 std::size_t end, std::size_t first)
{
  const auto size = end - begin;
  for (std::size_t i = 0; i < size; ++i)
    to.add(from.agents[begin + (first + i) % size]);
}

/// Adds the stops from `begin` to `end` for which the predicate holds.
template <class Predicate>
void add_if(visit_stops& to, const visit_stops& from, std::size_t begin,
            std::size_t end, Predicate predicate)
{
  for (auto i = begin; i < end; ++i)
    if (predicate(from.agents[i]))
      to.add(from.agents[i]);
}

/// The near stops are the first `near_stops`, unless the order starts with the
/// far ones.
visit_stops rotated(const placed_stops& placed, std::size_t earlier)
{
  const auto& [stops, near_stops] = placed;
  visit_stops out;
  const std::size_t first = earlier % stops.size;
  if (first < near_stops)
  {
    add_rotated(out, stops, 0, near_stops, first);
    add_rotated(out, stops, near_stops, stops.size, first);
    return out;
  }
  add_rotated(out, stops, near_stops, stops.size, first - near_stops);
  add_rotated(out, stops, 0, near_stops, 0);
  return out;
}

visit_stops with_avoided_last(const visit_stops& stops, std::size_t near_stops,
                              const agent_set& avoided)
{
  const auto is_avoided = [&avoided](const endpoint& agent)
  {
    return avoided.count(agent) != 0;
  };
  const auto is_preferred = [&is_avoided](const endpoint& agent)
  {
    return !is_avoided(agent);
  };
  visit_stops out;
  add_if(out, stops, 0, near_stops, is_preferred);
  if (out.size > 0)
    add_if(out, stops, 0, near_stops, is_avoided);
  add_if(out, stops, near_stops, stops.size, is_preferred);
  add_if(out, stops, 0, stops.size, is_avoided);
  return out;
}

std::size_t leading_near_stops(const visit_stops& stops,
                               const placed_stops& placed)
{
  const auto* const begin = placed.stops.agents.data();
  const auto* const end = begin + placed.near_stops;
  std::size_t count = 0;
  while (count < stops.size &&
         std::find(begin, end, stops.agents[count]) != end)
    ++count;
  return count;
}

} // namespace

placed_stops reordered(const placed_stops& placed, std::size_t earlier,
                       const agent_set& avoided)
{
  if (placed.stops.size == 0)
    return placed;
  const auto copy = rotated(placed, earlier);
  const auto out =
      with_avoided_last(copy, leading_near_stops(copy, placed), avoided);
  return {out, static_cast<std::uint8_t>(leading_near_stops(out, placed))};
}

} // namespace toucanmill
