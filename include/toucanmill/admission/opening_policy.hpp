#ifndef TOUCANMILL_ADMISSION_OPENING_POLICY_HPP
#define TOUCANMILL_ADMISSION_OPENING_POLICY_HPP

#include <cstdint>
#include <optional>

#include <toucanmill/admission/waiting_terms.hpp>

namespace toucanmill
{

/// What an agent does with an opening packet.
enum class opening_verdict : std::uint8_t
{
  admit,
  hold,    ///< wait at this agent until its upstream can take the flow
  pass_on, ///< to the next stop or, at the last one, to the best stop
  refuse,
};

/// What the decision about an opening packet depends on.
struct opening_view
{
  waiting_terms terms;
  duration wait{0};       ///< until the flow's request would start, if on time
  duration late_wait{0};  ///< the same, if it is late and ranks behind others
  duration token_wait{0}; ///< until the warm-up limit has room
  duration service_time{0}; ///< of one request
  bool within_share = true; ///< in the share of new flows that is admitted
  bool has_room = true;     ///< for another held opening packet
  bool last_stop = false;
  bool final_stop = false;           ///< sent here as the best stop
  std::optional<duration> best_wait; ///< of the best stop before this one
};

struct opening_decision
{
  opening_verdict verdict = opening_verdict::refuse;
  /// This stop is the best so far, with this wait.
  std::optional<duration> new_best;
};

/// A stop before the final one admits a flow that waits no longer than this
/// part of its objective: a longer wait may be avoided elsewhere.
inline constexpr int objective_parts_for_wait = 4;

opening_decision decide_opening(const opening_view& view);

/// Whether a flow that has waited for `waited` is admitted now. Within the
/// objective it is, as long as it can be met; later only if nothing else needs
/// the capacity.
bool admits_held_opening(const opening_view& view, duration waited);

/// Whether a flow is admitted at the end of the time that it can be held, and
/// its request waits on: callers that are refused come back and look like new
/// ones. False if it would be answered too late.
bool admits_at_end_of_hold(const opening_view& view, duration waited);

} // namespace toucanmill

#endif
