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

/// Stops from `begin` to `end` that are avoided, or those that are not.
void add_avoided(visit_stops& to, const visit_stops& from, std::size_t begin,
                 std::size_t end, const agent_set& avoided, bool wanted)
{
  for (auto i = begin; i < end; ++i)
    if ((avoided.count(from.agents[i]) != 0) == wanted)
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
  visit_stops out;
  add_avoided(out, stops, 0, near_stops, avoided, false);
  if (out.size > 0)
    add_avoided(out, stops, 0, near_stops, avoided, true);
  add_avoided(out, stops, near_stops, stops.size, avoided, false);
  add_avoided(out, stops, 0, stops.size, avoided, true);
  return out;
}

std::size_t leading(const visit_stops& stops, const placed_stops& placed)
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
  const auto out = with_avoided_last(copy, leading(copy, placed), avoided);
  return {out, static_cast<std::uint8_t>(leading(out, placed))};
}

} // namespace toucanmill
