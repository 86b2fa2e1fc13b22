#include <toucanmill/relay/flow_memory.hpp>

#include <algorithm>
#include <iterator>

namespace toucanmill
{

std::optional<remembered_agent> flow_memory::find(const flow_key& flow,
                                                  time_point now)
{
  const auto found = flows_.find(flow);
  if (found == flows_.end())
    return std::nullopt;
  found->second.used = now;
  return found->second.location;
}

bool flow_memory::has_data(const flow_key& flow) const
{
  const auto found = flows_.find(flow);
  return found != flows_.end() && found->second.data_end;
}

bool flow_memory::repeats(state& flow, const flow_packet& packet,
                          time_point now) const
{
  if (packet.payload_size == 0)
    return false;
  const auto end = packet.sequence + packet.payload_size;
  if (flow.data_end && !is_after(end, *flow.data_end))
    return now - flow.data_sent >= options_.repetition_time;
  flow.data_end = end;
  flow.data_sent = now;
  return false;
}

recall_advice flow_memory::advise(const flow_key& flow,
                                  const flow_packet& packet, time_point now,
                                  duration answer_timeout)
{
  const auto found = flows_.find(flow);
  if (found == flows_.end())
    return recall_advice::search;
  auto& state = found->second;
  if (!repeats(state, packet, now))
    return recall_advice::send;
  if (!state.verification_sent)
  {
    state.verification_sent = now;
    return recall_advice::verify;
  }
  const auto timeout = std::max(options_.answer_timeout, answer_timeout);
  return now - *state.verification_sent < timeout ? recall_advice::send
                                                  : recall_advice::search;
}

void flow_memory::put(const flow_key& flow, const remembered_agent& value,
                      time_point now)
{
  if (flows_.size() >= options_.max_flows && flows_.count(flow) == 0)
    return;
  auto& state = flows_[flow];
  state.location = value;
  state.used = now;
  state.verification_sent.reset();
}

void flow_memory::erase(const flow_key& flow)
{
  flows_.erase(flow);
}

void flow_memory::erase(const flow_key& flow, const endpoint& agent)
{
  if (const auto found = flows_.find(flow);
      found != flows_.end() && found->second.location.agent == agent)
    flows_.erase(found);
}

void flow_memory::on_tick(time_point now)
{
  for (auto it = flows_.begin(); it != flows_.end();)
    it = now - it->second.used > options_.idle_limit ? flows_.erase(it)
                                                     : std::next(it);
}

} // namespace toucanmill
