#ifndef TOUCANMILL_SRC_DAEMON_NODE_IDENTITY_HPP
#define TOUCANMILL_SRC_DAEMON_NODE_IDENTITY_HPP

#include <string>

#include <toucanmill/base/ids.hpp>
#include <toucanmill/cluster/node.hpp>
#include <toucanmill/observe/sample.hpp>
#include <toucanmill/settings/settings.hpp>

#include <toucanmill/control/node_client.hpp>

namespace toucanmill::daemon
{

/// Identity of this process: the id from the name, the life from the clock.
node_identity make_identity(const instance_settings& instance, node_role role,
                            const endpoint& data);

/// Metrics of the connection to control, the same for balancers and agents.
std::vector<sample> control_samples(const node_client_counters& counters,
                                    bool reachable, table_version applied);

} // namespace toucanmill::daemon

#endif
