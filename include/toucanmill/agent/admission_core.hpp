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

/// A session of this agent.
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

/// Sessions whose state changed: granted a slot, or refused at their deadline.
struct admission_change
{
  session_id session;
  bool granted;
};

/// Shares the slots of an upstream among sessions: first in, first out, with a
/// bounded queue and a deadline for each entry.
class admission_core
{
public:
  explicit admission_core(admission_options options);

  admission_answer request(session_id session, time_point deadline);

  /// Gives back a slot or leaves the queue; a session that has neither is
  /// ignored. Returns the sessions that now have a slot.
  std::vector<admission_change> release(session_id session, time_point now);

  /// Refuses queued sessions whose deadline has passed.
  std::vector<admission_change> expire(time_point now);

  /// Earliest deadline in the queue.
  std::optional<time_point> next_deadline() const;

  duration retry_after() const;
  std::size_t slots_in_use() const;
  std::size_t queue_length() const;

private:
  struct waiting
  {
    session_id session;
    time_point deadline;
  };

  admission_options options_;
  std::unordered_set<session_id> running_;
  std::deque<waiting> queue_;
};

} // namespace toucanmill

#endif
