#include <toucanmill/relay/returned_flows.hpp>

#include <algorithm>

namespace toucanmill
{

returned_flows::returned_flows(std::size_t capacity)
    : capacity_(std::max<std::size_t>(capacity, 1))
{
}

void returned_flows::add(const flow_key& flow)
{
  if (contains(flow))
    return;
  const auto place = take_place();
  order_[place] = flow;
  places_.emplace(flow, place);
}

std::size_t returned_flows::take_place()
{
  const auto place = next_;
  next_ = (next_ + 1) % capacity_;
  if (place == order_.size())
  {
    order_.emplace_back();
    return place;
  }
  // The flow of this place may have been erased and added again elsewhere.
  if (const auto oldest = places_.find(order_[place]);
      oldest != places_.end() && oldest->second == place)
    places_.erase(oldest);
  return place;
}

void returned_flows::erase(const flow_key& flow)
{
  places_.erase(flow);
}

void returned_flows::clear()
{
  *this = returned_flows(capacity_);
}

} // namespace toucanmill
