#include "visit_order_core.hpp"

#include <algorithm>
#include <array>

namespace toucanmill::detail
{

namespace
{

/// Positions in a chain in the order of visits.
struct visit_order
{
  std::size_t size = 0;
  std::array<std::size_t, stamped_chain::capacity> positions{};

  void add(std::size_t position)
  {
    positions[size++] = position;
  }
};

void add_holders(visit_order& order, const stamped_chain& chain, bool suspect)
{
  for (std::size_t i = 1; i < chain.size; ++i)
    if (chain.is_suspect(i) == suspect)
      order.add(i);
}

visit_order order_of(const stamped_chain& chain)
{
  visit_order order;
  if (chain.size == 0)
    return order;
  order.add(0);
  add_holders(order, chain, false);
  add_holders(order, chain, true);
  return order;
}

/// Index of a position in the order; the size of the order if absent.
std::size_t rank_of(const visit_order& order, std::size_t position)
{
  const auto* const begin = order.positions.data();
  return static_cast<std::size_t>(
      std::find(begin, begin + order.size, position) - begin);
}

bool was_visited(const route_stamp& stamp, const endpoint& holder)
{
  const auto position = position_of(stamp.chain, holder);
  if (!position)
    return false;
  const auto order = order_of(stamp.chain);
  return rank_of(order, *position) <= rank_of(order, stamp.position);
}

} // namespace

stamped_chain to_stamped_chain(const service_table& table, std::size_t bucket)
{
  stamped_chain result;
  for (const auto index : table.buckets[bucket])
  {
    if (result.size == stamped_chain::capacity || index >= table.holders.size())
      break;
    const auto& holder = table.holders[index];
    if (holder.suspect)
      result.suspects |= static_cast<std::uint8_t>(1U << result.size);
    result.holders[result.size++] = holder.agent;
  }
  return result;
}

std::optional<std::size_t> position_of(const stamped_chain& chain,
                                       const endpoint& holder)
{
  for (std::size_t i = 0; i < chain.size; ++i)
    if (chain.holders[i] == holder)
      return i;
  return std::nullopt;
}

std::optional<std::size_t> next_to_visit(const stamped_chain& chain,
                                         std::size_t position)
{
  const auto order = order_of(chain);
  const auto next = rank_of(order, position) + 1;
  if (next >= order.size)
    return std::nullopt;
  return order.positions[next];
}

std::optional<std::size_t> first_unvisited(const stamped_chain& chain,
                                           const route_stamp& stamp,
                                           const endpoint& self)
{
  const auto order = order_of(chain);
  for (std::size_t rank = 0; rank < order.size; ++rank)
    if (const auto& holder = chain.holders[order.positions[rank]];
        holder != self && !was_visited(stamp, holder))
      return order.positions[rank];
  return std::nullopt;
}

std::optional<std::size_t> next_to_probe(const stamped_chain& chain,
                                         std::size_t position)
{
  for (std::size_t i = position + 1; i < chain.size; ++i)
    if (!chain.is_suspect(i))
      return i;
  return std::nullopt;
}

} // namespace toucanmill::detail
