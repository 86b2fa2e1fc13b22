#ifndef TOUCANMILL_RELAY_STAGE_WALK_HPP
#define TOUCANMILL_RELAY_STAGE_WALK_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

#include <toucanmill/relay/relay_table.hpp>

namespace toucanmill
{

/// Progress of one search through the stages of its plan. The first stage holds
/// nearly all flows, so it goes alone. Each further round visits several stages
/// in parallel: one after the other, the stages of 160 agents take 0.3 s, as
/// long as a caller waits before it retransmits.
class stage_walk
{
public:
  stage_walk() = default;
  explicit stage_walk(const std::vector<search_stage>& stages);

  /// Stages to visit now; empty while others are under way and at the end. All
  /// stages of a round have the same health, so that dead agents are visited
  /// after all others.
  std::vector<std::size_t> start_round();

  /// All open stages of the same health as the first of them.
  std::vector<std::size_t> start_all();

  /// The next stage alone; the round after it is as wide as without it.
  std::vector<std::size_t> start_one();

  /// No stop of the stage holds the flow. Returns false if the stage was
  /// neither under way nor skipped.
  bool on_missed(std::size_t stage);

  /// Ends the round. Returns its stages without an answer, which are open
  /// again.
  std::vector<std::size_t> abandon_round();

  /// The walk goes on without the answer of the stage, which may still come.
  void skip(std::size_t stage);

  /// The same for all stages under way.
  void skip_round();

  bool is_skipped(std::size_t stage) const;
  bool is_under_way(std::size_t stage) const;
  bool has_skipped() const;
  bool is_open(std::size_t stage) const;

  /// A further stage at the end.
  void add(holder_health health);

  /// All stages were answered or skipped.
  bool finished() const;

private:
  enum class stage_state : std::uint8_t
  {
    open,
    under_way,
    skipped,
    answered,
  };

  std::size_t first(stage_state wanted) const;
  std::vector<std::size_t> start(std::size_t width);

  std::vector<stage_state> states_;
  std::vector<holder_health> health_;
  std::size_t width_ = 1; ///< stages of the next round
};

} // namespace toucanmill

#endif
