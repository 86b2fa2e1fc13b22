#ifndef TOUCANMILL_SRC_CONTROL_EVACUATION_ORDERS_HPP
#define TOUCANMILL_SRC_CONTROL_EVACUATION_ORDERS_HPP

#include <string>

#include <toucanmill/control/control_server.hpp>
#include <toucanmill/control/control_state.hpp>
#include <toucanmill/log/replicated_log.hpp>

namespace toucanmill::detail
{

/// Carries out evacuation orders that have no request id. May be called from
/// any thread; callbacks run on the log's thread.
class evacuation_orders
{
public:
  evacuation_orders(replicated_log& log, control_state& state)
      : log_(log), state_(state)
  {
  }

  /// Checks the name against the state that a quorum has confirmed and then
  /// proposes the order. Errors: not_leader, unavailable, limit_reached.
  void set(std::string data_centre, bool evacuated, declare_callback done);

private:
  void propose(const std::string& data_centre, bool evacuated,
               const declare_callback& done);

  replicated_log& log_;
  control_state& state_;
};

} // namespace toucanmill::detail

#endif
