#include <toucanmill/relay/agent_monitor.hpp>

#include <algorithm>
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

namespace
{

/// Answers to questions of one time arrive up to this much apart.
constexpr duration least_loss_margin = std::chrono::milliseconds(50);

} // namespace

// After several probes it is not known which of them the agent answers.
void agent_monitor::on_answer(const endpoint& agent, time_point now)
{
  if (const auto found = unanswered_.find(agent);
      found != unanswered_.end() && found->second.first == found->second.latest)
  {
    answered_probe_ = std::max(answered_probe_, found->second.first);
    on_answer_time(now - found->second.first);
    answered_question_ = std::max(answered_question_, {found->second.first});
  }
  on_message(agent);
}

void agent_monitor::on_question_answered(time_point sent, time_point now)
{
  const duration taken = now - sent;
  answered_question_ = std::max(answered_question_, {sent});
  mean_answer_time_ = mean_answer_time_ == duration{0}
                          ? taken
                          : mean_answer_time_ + (taken - mean_answer_time_) / 8;
  on_answer_time(taken);
}

void agent_monitor::on_answer_time(duration taken)
{
  answer_time_ = std::max(taken, answer_time_ - (answer_time_ - taken) / 8);
}

duration agent_monitor::answer_timeout() const
{
  const auto longest =
      std::max(options_.answer_timeout, options_.max_answer_timeout);
  return std::clamp<duration>(answer_time_ + answer_time_ / 2,
                              options_.answer_timeout, longest);
}

duration agent_monitor::loss_timeout() const
{
  const auto longest =
      std::max(options_.answer_timeout, options_.max_answer_timeout);
  const auto margin = std::max(mean_answer_time_ / 8, least_loss_margin);
  return std::clamp<duration>(mean_answer_time_ + margin,
                              options_.answer_timeout, longest);
}

bool agent_monitor::has_answered_since(time_point at) const
{
  return answered_question_ && *answered_question_ >= at;
}

bool agent_monitor::is_overdue(const unanswered_probes& probes,
                               time_point now) const
{
  return now - probes.first > answer_timeout() &&
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

agent_set agent_monitor::silent(time_point now) const
{
  agent_set found;
  for (const auto& [agent, probes] : unanswered_)
    if (is_overdue(probes, now) && probes.first <= answered_probe_)
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
