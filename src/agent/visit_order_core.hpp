#ifndef TOUCANMILL_AGENT_VISIT_ORDER_CORE_HPP
#define TOUCANMILL_AGENT_VISIT_ORDER_CORE_HPP

#include <cstddef>
#include <optional>

#include <toucanmill/packet/route_stamp.hpp>
#include <toucanmill/table/service_table.hpp>

namespace toucanmill::detail
{

/// Chain of a bucket as stamps carry it. Holders beyond the capacity of a stamp
/// are left out.
stamped_chain to_stamped_chain(const service_table& table, std::size_t bucket);

/// Index of a holder in the chain.
std::optional<std::size_t> position_of(const stamped_chain& chain,
                                       const endpoint& holder);

/// Holder that a packet of an unknown flow visits after this one. The owner
/// comes first, then the other holders in chain order; suspects come last,
/// because a failed holder would swallow packets meant for those behind it.
std::optional<std::size_t> next_to_visit(const stamped_chain& chain,
                                         std::size_t position);

/// First holder of the chain that is neither this agent nor among those that
/// the packet visited under its stamp.
std::optional<std::size_t> first_unvisited(const stamped_chain& chain,
                                           const route_stamp& stamp,
                                           const endpoint& self);

/// Next holder after this one that a SYN probe asks; suspects are skipped.
std::optional<std::size_t> next_to_probe(const stamped_chain& chain,
                                         std::size_t position);

} // namespace toucanmill::detail

#endif
