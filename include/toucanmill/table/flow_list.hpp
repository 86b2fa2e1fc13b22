#ifndef TOUCANMILL_TABLE_FLOW_LIST_HPP
#define TOUCANMILL_TABLE_FLOW_LIST_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <toucanmill/base/flow.hpp>
#include <toucanmill/base/outcome.hpp>

namespace toucanmill
{

/// An open flow of an upstream.
struct listed_flow
{
  flow_key flow;
  /// Position that the caller acknowledged; the sequence number of a reset.
  std::uint32_t acknowledged = 0;

  bool operator==(const listed_flow& other) const
  {
    return flow == other.flow && acknowledged == other.acknowledged;
  }
};

/// One start of an upstream, as it announces itself.
struct upstream_start
{
  std::uint64_t instance = 0; ///< hash of its instance id; 0: none is known
  std::uint64_t born_ms = 0;  ///< Unix time; 0: not announced

  bool operator==(const upstream_start& other) const
  {
    return instance == other.instance && born_ms == other.born_ms;
  }
};

/// The open flows of one start of an upstream. Control keeps it while the agent
/// or the upstream is down.
struct flow_list
{
  upstream_start of;
  std::vector<listed_flow> flows;
  /// The agent's last list: it has all flows that the upstream may hold, and
  /// the agent admits no more. Number of the latest announcement that it got;
  /// 0: an earlier list.
  std::uint64_t last_announcement = 0;

  bool operator==(const flow_list& other) const
  {
    return of == other.of && flows == other.flows &&
           last_announcement == other.last_announcement;
  }
};

/// Octets of the longest encoded list: an upstream of 4,096 flows.
inline constexpr std::size_t max_flow_list_octets = 20 + 16 * 4096;

/// Flows beyond max_flow_list_octets are left out; the list is then no last
/// one.
std::string encode(const flow_list& list);

/// Error: corrupt_data.
result<flow_list> decode_flow_list(std::string_view bytes);

} // namespace toucanmill

#endif
