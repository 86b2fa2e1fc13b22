#ifndef TOUCANMILL_SRC_AGENT_DISPATCH_VISIT_ORDER_CORE_HPP
#define TOUCANMILL_SRC_AGENT_DISPATCH_VISIT_ORDER_CORE_HPP

#include <cstddef>
#include <optional>

#include <toucanmill/packet/route_stamp.hpp>
#include <toucanmill/table/service_table.hpp>

namespace toucanmill::detail
{

/// Chain of a bucket in the form of a route stamp. Holders beyond the capacity
/// of a stamp are omitted.
stamped_chain to_stamped_chain(const service_table& table, std::size_t bucket);

/// Index of the holder in the chain, none if absent.
std::optional<std::size_t> position_of(const stamped_chain& chain,
                                       const endpoint& holder);

/// Next holder that a packet of an unknown flow visits after this position. The
/// order is: the owner, the other holders in chain order, suspects. Suspects
/// come last because a failed holder drops the packets for all holders after
/// it.
std::optional<std::size_t> next_to_visit(const stamped_chain& chain,
                                         std::size_t position);

/// First holder in visiting order that is not this agent and that the packet
/// has not visited according to its stamp.
std::optional<std::size_t> first_unvisited(const stamped_chain& chain,
                                           const route_stamp& stamp,
                                           const endpoint& self);

/// Next holder after this position for a SYN probe. Suspects are skipped.
std::optional<std::size_t> next_to_probe(const stamped_chain& chain,
                                         std::size_t position);

} // namespace toucanmill::detail

#endif
