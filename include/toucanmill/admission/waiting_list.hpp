#ifndef TOUCANMILL_ADMISSION_WAITING_LIST_HPP
#define TOUCANMILL_ADMISSION_WAITING_LIST_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include <toucanmill/admission/waiting_terms.hpp>
#include <toucanmill/base/flow.hpp>

namespace toucanmill
{

/// What waits, one entry for a flow.
struct waiting_entry
{
  flow_key flow;
  waiting_terms terms;
  time_point since;
  time_point on_time_until; ///< a later start misses the objective
  time_point expires;
};

/// Orders what waits by priority, on time before late, objective deadline.
/// After half of its time limit an entry ranks with the highest priority, and
/// each `fair_interval`-th release is the oldest of these, so that a steady
/// load of others cannot hold it up for ever. Each operation takes O(log n).
class waiting_list
{
public:
  /// Priorities below this one rank with it.
  static constexpr std::uint32_t lowest_priority = 7;
  static constexpr std::uint32_t fair_interval = 8;

  /// False if the flow already waits.
  bool add(const waiting_entry& entry, time_point now);

  /// False if the flow does not wait.
  bool remove(const flow_key& flow);

  bool contains(const flow_key& flow) const
  {
    return entries_.count(flow) != 0;
  }

  /// The entry to be released next; null if none waits. Valid until the next
  /// change.
  const waiting_entry* next(time_point now);

  /// Ranks the entry as late; false if it is.
  bool mark_late(const flow_key& flow);

  /// Passes over the turn of the oldest entry; false if it is not its turn.
  bool skip_oldest();

  /// Removes the entry that next() returned.
  waiting_entry take(const flow_key& flow);

  /// Removes and returns the flows whose time is up.
  std::vector<waiting_entry> take_expired(time_point now);

  /// Number of entries that a new one of this priority would wait for. Late
  /// ones count only if they rank before it by a higher priority or their age.
  std::size_t ahead(std::uint32_t priority, time_point now);

  std::size_t size() const
  {
    return entries_.size();
  }
  bool empty() const
  {
    return entries_.empty();
  }

  /// Removes and returns all that wait, in no particular order.
  std::vector<waiting_entry> take_all();

private:
  struct state
  {
    waiting_entry entry;
    bool late = false;
    bool aged = false; ///< half of its time limit has passed
  };
  using rank = std::tuple<std::uint32_t, bool, time_point, flow_key>;
  using timer = std::pair<time_point, flow_key>;

  static rank rank_of(const state& value);
  static time_point next_change(const state& value);
  static time_point ages_at(const waiting_entry& entry);
  bool is_turn_of_oldest() const;
  static void update(state& value, time_point now);
  void link(const state& value);
  void unlink(const state& value);
  void advance(time_point now);

  std::unordered_map<flow_key, state> entries_;
  std::set<rank> order_;
  std::set<timer> timers_; ///< when the rank of an entry changes, or it expires
  std::set<timer> aged_;   ///< by `since`
  using counts = std::array<std::size_t, lowest_priority + 1>;
  counts on_time_{};                   ///< by priority
  counts late_{};                      ///< by priority
  std::vector<waiting_entry> expired_; ///< not yet returned
  std::uint32_t releases_ = 0;
};

} // namespace toucanmill

#endif
