#include <toucanmill/admission/opening_policy.hpp>

#include <algorithm>

namespace toucanmill
{

namespace
{

/// Part of the objective for accepting the flow and getting its request.
constexpr int objective_parts_for_handshake = 8;

duration effective_wait(const opening_view& view)
{
  return std::max(view.wait, view.token_wait);
}

bool can_be_answered(const opening_view& view)
{
  const auto wait = std::max(effective_wait(view), view.late_wait);
  return view.has_room && wait + view.service_time <= view.terms.time_limit;
}

bool has_short_wait(const opening_view& view)
{
  return view.wait <= view.terms.objective / objective_parts_for_wait;
}

bool meets_objective(const opening_view& view, duration waited)
{
  return waited + view.wait + service_reserve(view.terms, view.service_time) +
             view.terms.objective / objective_parts_for_handshake <=
         view.terms.objective;
}

opening_verdict decide_at_final_stop(const opening_view& view)
{
  if (view.token_wait == duration{0} &&
      (meets_objective(view, duration{0}) || has_short_wait(view)))
    return opening_verdict::admit;
  return can_be_answered(view) ? opening_verdict::hold
                               : opening_verdict::refuse;
}

/// An upstream with a reduced share is better than none, but worse than one
/// that can meet the objective.
duration reported_wait(const opening_view& view)
{
  return effective_wait(view) +
         (view.within_share ? duration{0} : view.terms.objective);
}

} // namespace

opening_decision decide_opening(const opening_view& view)
{
  if (view.final_stop)
    return {decide_at_final_stop(view), std::nullopt};
  if (view.within_share && view.token_wait == duration{0} &&
      has_short_wait(view))
    return {opening_verdict::admit, std::nullopt};
  std::optional<duration> best;
  if (const auto wait = reported_wait(view);
      can_be_answered(view) && (!view.best_wait || wait < *view.best_wait))
    best = wait;
  if (!view.last_stop)
    return {opening_verdict::pass_on, best};
  if (best)
    return {decide_at_final_stop(view), best};
  return {view.best_wait ? opening_verdict::pass_on : opening_verdict::refuse,
          best};
}

bool admits_held_opening(const opening_view& view, duration waited)
{
  if (view.token_wait > duration{0})
    return false;
  if (meets_objective(view, waited))
    return true;
  return view.late_wait <= view.terms.objective / objective_parts_for_wait;
}

bool admits_at_end_of_hold(const opening_view& view, duration waited)
{
  return view.token_wait == duration{0} &&
         waited + view.late_wait + view.service_time <= view.terms.time_limit;
}

} // namespace toucanmill
