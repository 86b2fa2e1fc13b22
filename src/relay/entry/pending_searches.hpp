#ifndef TOUCANMILL_SRC_RELAY_PENDING_SEARCHES_HPP
#define TOUCANMILL_SRC_RELAY_PENDING_SEARCHES_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <iterator>
#include <list>
#include <unordered_map>
#include <utility>
#include <vector>

#include <toucanmill/base/flow.hpp>
#include <toucanmill/packet/tcp_packet.hpp>
#include <toucanmill/relay/entry_core.hpp>

namespace toucanmill
{

/// The flows that a balancer searches for and their packets. A limited number
/// is searched for at once; the others wait for their turn. Answers the load
/// after a loss of power: each flow is unknown, and searches for all at once
/// fill the link of a small balancer, so that answers come late and searches
/// are repeated, which keeps the link full.
///
/// One packet of a flow at a time visits agents. It is sent again when no
/// answer comes: the caller's retransmission may come too late, or to another
/// balancer, whose search starts anew. The others follow once the flow is
/// found.
class pending_searches
{
public:
  using packet_bytes = std::vector<std::uint8_t>;

  struct options
  {
    std::size_t max_flows = 512;
    std::size_t max_octets = std::size_t{512} * 1024; ///< of all packets
    std::uint32_t max_retries = 3;                    ///< for one flow
    /// Flows searched for at once. One search has up to 1 KB under way, and 12
    /// KB take 50 ms on a link of 2 Mbit/s, half of the time after which a
    /// search is repeated.
    std::size_t max_active = 12;
  };

  explicit pending_searches(options chosen) : options_(chosen) {}

  bool empty() const
  {
    return flows_.empty();
  }

  std::size_t octets() const
  {
    return octets_;
  }

  /// Whether the search for a further flow has to wait.
  bool is_full() const
  {
    return active_ >= options_.max_active;
  }

  /// Whether a packet of the flow, which has to be searched for, waits for its
  /// turn. While a search is under way, its further packets belong to it.
  bool must_wait(const flow_key& flow) const
  {
    const auto found = flows_.find(flow);
    return is_full() && (found == flows_.end() || !found->second.is_active);
  }

  /// Holds a packet that has been sent to agents. Does nothing when there is no
  /// room.
  void hold(const flow_key& flow, byte_view packet)
  {
    if (!has_room(flow, packet))
      return;
    auto& held = find_or_add(flow);
    held.packets.push_front({packet.data, packet.data + packet.size});
    octets_ += packet.size;
    activate(held);
  }

  /// Holds a packet that waits for its flow to be found, or for the search to
  /// start. Returns false, and drops it, when there is no room; the caller
  /// retransmits.
  bool wait(const flow_key& flow, byte_view packet)
  {
    if (!has_room(flow, packet))
      return false;
    auto& held = find_or_add(flow);
    held.packets.push_back({packet.data, packet.data + packet.size});
    octets_ += packet.size;
    return true;
  }

  /// A copy of the packet that visits agents; empty if there is none.
  packet_bytes sent_packet(const flow_key& flow) const
  {
    const auto found = flows_.find(flow);
    if (found == flows_.end() || !found->second.is_active)
      return {};
    return found->second.packets.front();
  }

  /// The flow was found: removes it and returns the packets that waited.
  std::vector<packet_bytes> take_waiting(const flow_key& flow)
  {
    return take(flow, true);
  }

  /// The same with the packet that visited agents.
  std::vector<packet_bytes> take_all(const flow_key& flow)
  {
    return take(flow, false);
  }

  /// The flow was reset or its search given up.
  void drop(const flow_key& flow)
  {
    if (const auto found = flows_.find(flow); found != flows_.end())
      erase(found);
  }

  /// Removes the flows whose search ended or was repeated often enough. Returns
  /// the packets to send now: one of each flow that is due for another attempt
  /// or whose turn has come. The packets of a flow take turns, since an
  /// upstream may answer only to the last one of a request. The flows keep all
  /// their packets, so do not hold() the returned ones.
  /// `progress`: search_progress of a flow.
  template <class Progress>
  std::vector<packet_bytes> take_due(Progress progress)
  {
    std::vector<packet_bytes> due;
    for (auto it = flows_.begin(); it != flows_.end();)
    {
      const auto next = std::next(it);
      if (it->second.is_active)
        check_active(it, progress(it->first), due);
      it = next;
    }
    start_next(due);
    return due;
  }

private:
  struct held_flow
  {
    std::deque<packet_bytes> packets; ///< if active, the first visits agents
    bool is_active = false;
    std::uint32_t retries = 0;
    std::list<flow_key>::iterator place; ///< in order_
  };

  using flow_map = std::unordered_map<flow_key, held_flow>;

  bool has_room(const flow_key& flow, byte_view packet) const
  {
    return octets_ + packet.size <= options_.max_octets &&
           (flows_.size() < options_.max_flows || flows_.count(flow) != 0);
  }

  held_flow& find_or_add(const flow_key& flow)
  {
    const auto [found, added] = flows_.try_emplace(flow);
    if (added)
      found->second.place = order_.insert(order_.end(), flow);
    return found->second;
  }

  void activate(held_flow& flow)
  {
    active_ += flow.is_active ? 0 : 1;
    flow.is_active = true;
  }

  void check_active(flow_map::iterator at, search_progress progress,
                    std::vector<packet_bytes>& due)
  {
    auto& flow = at->second;
    if (progress == search_progress::waiting)
      return;
    const bool repeats = progress == search_progress::repeats;
    if (progress == search_progress::ended ||
        (!repeats && flow.retries == options_.max_retries))
    {
      erase(at);
      return;
    }
    flow.retries += repeats ? 0 : 1;
    flow.packets.push_back(std::move(flow.packets.front()));
    flow.packets.pop_front();
    due.push_back(flow.packets.front());
  }

  void start_next(std::vector<packet_bytes>& due)
  {
    for (const auto& key : order_)
    {
      if (is_full())
        return;
      auto& flow = flows_.at(key);
      if (flow.is_active)
        continue;
      activate(flow);
      due.push_back(flow.packets.front());
    }
  }

  std::vector<packet_bytes> take(const flow_key& flow, bool without_sent)
  {
    const auto found = flows_.find(flow);
    if (found == flows_.end())
      return {};
    const auto& packets = found->second.packets;
    const bool skips = without_sent && found->second.is_active;
    std::vector<packet_bytes> taken(packets.begin() + (skips ? 1 : 0),
                                    packets.end());
    erase(found);
    return taken;
  }

  void erase(flow_map::iterator at)
  {
    for (const auto& packet : at->second.packets)
      octets_ -= packet.size();
    active_ -= at->second.is_active ? 1 : 0;
    order_.erase(at->second.place);
    flows_.erase(at);
  }

  options options_;
  flow_map flows_;
  std::list<flow_key> order_; ///< of flows_, by the time of their first packet
  std::size_t active_ = 0;
  std::size_t octets_ = 0;
};

} // namespace toucanmill

#endif
