#ifndef TOUCANMILL_DAEMON_FLOW_LOG_HPP
#define TOUCANMILL_DAEMON_FLOW_LOG_HPP

#include <toucanmill/relay/entry_balancer.hpp>
#include <toucanmill/relay/relay_core.hpp>

namespace toucanmill::daemon
{

/// Writes the log line of a balancer's decision.
void log_decision(const entry_decision& value);

/// Writes the log line of an agent's decision.
void log_decision(const relay_decision& value);

} // namespace toucanmill::daemon

#endif
