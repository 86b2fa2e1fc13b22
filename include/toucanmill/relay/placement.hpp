#ifndef TOUCANMILL_RELAY_PLACEMENT_HPP
#define TOUCANMILL_RELAY_PLACEMENT_HPP

#include <cstddef>
#include <cstdint>

#include <toucanmill/relay/agent_monitor.hpp>
#include <toucanmill/relay/relay_message.hpp>
#include <toucanmill/table/data_centre.hpp>

namespace toucanmill
{

enum class placement_mode : std::uint8_t
{
  hash, ///< new flows are spread over all agents
  near, ///< agents of the balancer's data centre come first
};

/// In which order a balancer visits agents.
struct placement_policy
{
  placement_mode mode = placement_mode::hash;
  data_centre_key data_centre = 0; ///< of the balancer; 0: not known

  /// Whether agents of this data centre come first.
  bool prefers(data_centre_key other) const
  {
    return mode == placement_mode::near && data_centre != 0 &&
           other == data_centre;
  }

  bool operator==(const placement_policy& other) const
  {
    return mode == other.mode && data_centre == other.data_centre;
  }
};

/// Maximum number of agents of the balancer's data centre that one opening
/// packet visits. The other stops are in other data centres, which may have
/// capacity when the balancer's has none.
inline constexpr std::size_t max_near_stops = 6;

/// The stops of an opening packet.
struct placed_stops
{
  visit_stops stops;
  /// The first stops, this many, are in the balancer's data centre; 0 with
  /// hash placement.
  std::uint8_t near_stops = 0;

  bool operator==(const placed_stops& other) const
  {
    return stops == other.stops && near_stops == other.near_stops;
  }
};

/// The order of visits for an opening packet of which `earlier` copies were
/// lost: it starts at another stop than those. The avoided stops come last.
/// Near stops stay first unless a copy was lost at each of them or all of them
/// are avoided.
placed_stops reordered(const placed_stops& placed, std::size_t earlier,
                       const agent_set& avoided);

} // namespace toucanmill

#endif
