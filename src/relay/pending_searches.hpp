#ifndef TOUCANMILL_SRC_RELAY_PENDING_SEARCHES_HPP
#define TOUCANMILL_SRC_RELAY_PENDING_SEARCHES_HPP

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include <toucanmill/base/flow.hpp>
#include <toucanmill/packet/tcp_packet.hpp>
#include <toucanmill/relay/entry_core.hpp>

namespace toucanmill
{

/// Holds the latest packet of each flow that is searched for, so that the
/// balancer repeats an unanswered attempt itself. The caller's retransmission
/// may come too late, or to another balancer, whose search starts anew.
class pending_searches
{
public:
  struct options
  {
    std::size_t max_packets = 512;
    std::uint32_t max_retries = 3; ///< for one packet
  };

  struct held_packet
  {
    std::vector<std::uint8_t> bytes;
    std::uint32_t retries = 0;
  };

  explicit pending_searches(options chosen) : options_(chosen) {}

  bool empty() const
  {
    return packets_.empty();
  }

  /// Replaces an earlier packet of the flow. Does nothing when full.
  void hold(const flow_key& flow, byte_view packet, std::uint32_t retries)
  {
    if (packets_.size() < options_.max_packets || packets_.count(flow) != 0)
      packets_[flow] = {{packet.data, packet.data + packet.size}, retries};
  }

  /// Removes the packets whose search ended or was repeated often enough, and
  /// returns those that are due for another attempt.
  /// `progress`: search_progress of a flow.
  template <class Progress>
  std::vector<held_packet> take_overdue(Progress progress)
  {
    std::vector<held_packet> overdue;
    for (auto it = packets_.begin(); it != packets_.end();)
    {
      const auto state = progress(it->first);
      const bool retry = state == search_progress::overdue &&
                         it->second.retries < options_.max_retries;
      if (retry)
        overdue.push_back(std::move(it->second));
      it = state == search_progress::waiting ? std::next(it)
                                             : packets_.erase(it);
    }
    return overdue;
  }

private:
  options options_;
  std::unordered_map<flow_key, held_packet> packets_;
};

} // namespace toucanmill

#endif
