#include <toucanmill/relay/agent_monitor.hpp>

#include <iterator>

namespace toucanmill
{

void agent_monitor::on_probe(const endpoint& agent, time_point now)
{
  const auto [found, added] =
      unanswered_.try_emplace(agent, unanswered_probes{now, now});
  if (!added)
    found->second.latest = now;
}

void agent_monitor::on_message(const endpoint& agent)
{
  unanswered_.erase(agent);
}

bool agent_monitor::is_overdue(const unanswered_probes& probes,
                               time_point now) const
{
  return now - probes.first > options_.answer_timeout &&
         now - probes.latest <= options_.retention;
}

agent_set agent_monitor::unresponsive(time_point now) const
{
  agent_set found;
  for (const auto& [agent, probes] : unanswered_)
    if (is_overdue(probes, now))
      found.insert(agent);
  return found;
}

void agent_monitor::on_tick(time_point now)
{
  for (auto it = unanswered_.begin(); it != unanswered_.end();)
    it = now - it->second.latest > options_.retention ? unanswered_.erase(it)
                                                      : std::next(it);
}

} // namespace toucanmill
