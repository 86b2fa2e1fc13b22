#ifndef TOUCANMILL_SRC_AGENT_RUNTIME_SLOT_SCHEDULER_HPP
#define TOUCANMILL_SRC_AGENT_RUNTIME_SLOT_SCHEDULER_HPP

#include <asio.hpp>
#include <functional>
#include <optional>
#include <vector>

#include <toucanmill/agent/admission_core.hpp>

#include "agent_counters.hpp"

namespace toucanmill::detail
{

/// Runs the admission core on the thread of an io_context, with a timer for the
/// deadlines of the queue.
class slot_scheduler
{
public:
  using change_handler = std::function<void(const admission_change&)>;

  /// The handler is called for each queued session that gets a slot or expires.
  slot_scheduler(asio::io_context& context, admission_options options,
                 agent_counters& counts, change_handler on_change);

  admission_answer request(session_id session, time_point deadline);
  void release(session_id session);

  duration retry_after() const
  {
    return admission_.retry_after();
  }

private:
  void notify(const std::vector<admission_change>& changes) const;
  void update();
  void arm_timer();
  void on_timer();

  admission_core admission_;
  agent_counters& counts_;
  change_handler on_change_;
  asio::steady_timer timer_;
  std::optional<time_point> deadline_; ///< of the timer
};

} // namespace toucanmill::detail

#endif
