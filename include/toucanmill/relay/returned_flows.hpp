#ifndef TOUCANMILL_RELAY_RETURNED_FLOWS_HPP
#define TOUCANMILL_RELAY_RETURNED_FLOWS_HPP

#include <cstddef>
#include <unordered_map>
#include <vector>

#include <toucanmill/base/flow.hpp>

namespace toucanmill
{

/// Flows that an upstream does not hold, because it has returned a packet of
/// them. Bounded; the flow that was added first is evicted first. An evicted
/// flow only costs one more way to the upstream and back.
class returned_flows
{
public:
  /// `capacity`: flows, at least 1.
  explicit returned_flows(std::size_t capacity);

  /// Does nothing for a flow that it contains.
  void add(const flow_key& flow);

  void erase(const flow_key& flow);

  /// Also frees the memory.
  void clear();

  bool contains(const flow_key& flow) const
  {
    return places_.count(flow) != 0;
  }

  std::size_t size() const
  {
    return places_.size();
  }

private:
  /// Makes the place at next_ free; returns it.
  std::size_t take_place();

  std::size_t capacity_;
  /// In the order of addition, from next_ on once it is full. The place of an
  /// erased flow stays unused until its turn.
  std::vector<flow_key> order_;
  std::size_t next_ = 0;
  std::unordered_map<flow_key, std::size_t> places_; ///< in order_
};

} // namespace toucanmill

#endif
