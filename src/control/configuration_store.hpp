#ifndef TOUCANMILL_SRC_CONTROL_CONFIGURATION_STORE_HPP
#define TOUCANMILL_SRC_CONTROL_CONFIGURATION_STORE_HPP

#include <toucanmill/control/control_server.hpp>
#include <toucanmill/control/control_state.hpp>
#include <toucanmill/log/replicated_log.hpp>

#include "leader_hint.hpp"

namespace toucanmill::detail
{

/// Declares and reads the configuration through the replicated log. Functions
/// may be called from any thread; callbacks run on the log's thread.
class configuration_store
{
public:
  configuration_store(replicated_log& log, control_state& state)
      : log_(log), state_(state)
  {
  }

  /// Errors: not_leader, unavailable, limit_reached.
  void declare(configuration value, declare_callback done);

  /// Reads the configuration after a quorum has confirmed that this instance
  /// leads. Errors: not_leader, unavailable.
  void read(configuration_callback done);

private:
  replicated_log& log_;
  control_state& state_;
};

} // namespace toucanmill::detail

#endif
