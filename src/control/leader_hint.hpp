#ifndef TOUCANMILL_SRC_CONTROL_LEADER_HINT_HPP
#define TOUCANMILL_SRC_CONTROL_LEADER_HINT_HPP

#include <toucanmill/log/replicated_log.hpp>

namespace toucanmill::detail
{

/// RPC endpoint of the leader if it is another instance; port 0: none known.
/// Must be called on the log's thread.
inline endpoint leader_hint(const replicated_log& log)
{
  const auto status = log.status();
  return status.leader && !status.leads ? status.leader->rpc : endpoint{};
}

} // namespace toucanmill::detail

#endif
