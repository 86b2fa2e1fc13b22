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

bool flow_memory::has_new_data(const state& flow, const flow_packet& packet)
{
  return packet.payload_size != 0 &&
         (!flow.data_end ||
          is_after(packet.sequence + packet.payload_size, *flow.data_end));
}

/// Whether the packet has data that arrived before and was not answered.
bool flow_memory::repeats(const state& flow, const flow_packet& packet,
                          time_point now) const
{
  return packet.payload_size != 0 && !has_new_data(flow, packet) &&
         now - flow.data_sent >= options_.repetition_time;
}

bool flow_memory::is_unanswered(const state& flow, time_point now,
                                duration answer_timeout) const
{
  return flow.verification_sent &&
         now - *flow.verification_sent >=
             std::max(options_.answer_timeout, answer_timeout);
}

bool flow_memory::is_lost(const flow_key& flow, const flow_packet& packet,
                          time_point now, duration answer_timeout) const
{
  const auto found = flows_.find(flow);
  return found != flows_.end() && repeats(found->second, packet, now) &&
         is_unanswered(found->second, now, answer_timeout);
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
  {
    note_data(state, packet, now);
    return recall_advice::send;
  }
  if (!state.verification_sent)
  {
    state.verification_sent = now;
    return recall_advice::verify;
  }
  return is_unanswered(state, now, answer_timeout) ? recall_advice::search
                                                   : recall_advice::send;
}

void flow_memory::note_data(state& flow, const flow_packet& packet,
                            time_point now)
{
  if (!has_new_data(flow, packet))
    return;
  flow.data_end = packet.sequence + packet.payload_size;
  flow.data_sent = now;
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
