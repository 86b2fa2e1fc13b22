#ifndef TOUCANMILL_AGENT_ADMISSION_CORE_HPP
#define TOUCANMILL_AGENT_ADMISSION_CORE_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_set>
#include <vector>

#include <toucanmill/base/ids.hpp>
#include <toucanmill/base/time.hpp>

namespace toucanmill
{

/// Identifies a session of an agent.
using session_id = strong_id<struct session_id_tag, std::uint64_t>;

struct admission_options
{
  std::size_t slots = 4;
  std::size_t queue_capacity = 16;
  duration retry_after = std::chrono::seconds(1);
};

enum class admission_answer : std::uint8_t
{
  granted,
  queued,
  refused,
};

/// A queued session was granted a slot, or refused at its deadline.
struct admission_change
{
  session_id session;
  bool granted;
};

/// Grants the slots of an upstream to sessions, first in, first out. The queue
/// is bounded and each entry has a deadline.
class admission_core
{
public:
  explicit admission_core(admission_options options);

  admission_answer request(session_id session, time_point deadline);

  /// Releases the slot or queue entry of the session, if it has one. Returns
  /// the sessions that were granted a slot or expired.
  std::vector<admission_change> release(session_id session, time_point now);

  /// Removes and returns the queued sessions whose deadline has passed.
  std::vector<admission_change> expire(time_point now);

  /// Earliest deadline in the queue.
  std::optional<time_point> next_deadline() const;

  duration retry_after() const;
  std::size_t slots_in_use() const;
  std::size_t queue_length() const;

private:
  struct queue_entry
  {
    session_id session;
    time_point deadline;
  };

  admission_options options_;
  std::unordered_set<session_id> running_;
  std::deque<queue_entry> queue_;
};

} // namespace toucanmill

#endif
