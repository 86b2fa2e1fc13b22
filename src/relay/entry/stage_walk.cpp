#include <toucanmill/relay/stage_walk.hpp>

#include <algorithm>

namespace toucanmill
{

namespace
{

/// Each round has this many times the stages of the one before, so that few
/// flows cost copies beyond the stage that holds them.
constexpr std::size_t round_growth = 4;

} // namespace

stage_walk::stage_walk(const std::vector<search_stage>& stages)
    : states_(stages.size(), stage_state::open)
{
  for (const auto& stage : stages)
    health_.push_back(stage.health);
}

std::size_t stage_walk::first(stage_state wanted) const
{
  return static_cast<std::size_t>(
      std::find(states_.begin(), states_.end(), wanted) - states_.begin());
}

std::vector<std::size_t> stage_walk::start_round()
{
  if (first(stage_state::under_way) < states_.size())
    return {};
  const auto round = start(width_);
  width_ *= round_growth;
  return round;
}

std::vector<std::size_t> stage_walk::start_all()
{
  return start(states_.size());
}

std::vector<std::size_t> stage_walk::start_one()
{
  return start(1);
}

std::vector<std::size_t> stage_walk::start(std::size_t width)
{
  std::vector<std::size_t> round;
  const auto begin = first(stage_state::open);
  for (auto at = begin; at < states_.size() && round.size() < width &&
                        health_[at] == health_[begin];
       ++at)
    if (states_[at] == stage_state::open)
    {
      states_[at] = stage_state::under_way;
      round.push_back(at);
    }
  return round;
}

bool stage_walk::on_missed(std::size_t stage)
{
  if (stage >= states_.size() || (states_[stage] != stage_state::under_way &&
                                  states_[stage] != stage_state::skipped))
    return false;
  states_[stage] = stage_state::answered;
  return true;
}

std::vector<std::size_t> stage_walk::abandon_round()
{
  std::vector<std::size_t> unanswered;
  for (std::size_t stage = 0; stage < states_.size(); ++stage)
    if (states_[stage] == stage_state::under_way)
    {
      states_[stage] = stage_state::open;
      unanswered.push_back(stage);
    }
  return unanswered;
}

void stage_walk::skip(std::size_t stage)
{
  states_[stage] = stage_state::skipped;
}

void stage_walk::skip_round()
{
  std::replace(states_.begin(), states_.end(), stage_state::under_way,
               stage_state::skipped);
}

bool stage_walk::is_skipped(std::size_t stage) const
{
  return stage < states_.size() && states_[stage] == stage_state::skipped;
}

bool stage_walk::is_under_way(std::size_t stage) const
{
  return stage < states_.size() && states_[stage] == stage_state::under_way;
}

bool stage_walk::has_skipped() const
{
  return first(stage_state::skipped) < states_.size();
}

bool stage_walk::is_open(std::size_t stage) const
{
  return stage < states_.size() && states_[stage] == stage_state::open;
}

void stage_walk::add(holder_health health)
{
  states_.push_back(stage_state::open);
  health_.push_back(health);
}

bool stage_walk::finished() const
{
  return std::all_of(states_.begin(), states_.end(),
                     [](stage_state state)
                     {
                       return state == stage_state::answered ||
                              state == stage_state::skipped;
                     });
}

} // namespace toucanmill
