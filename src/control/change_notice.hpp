#ifndef TOUCANMILL_SRC_CONTROL_CHANGE_NOTICE_HPP
#define TOUCANMILL_SRC_CONTROL_CHANGE_NOTICE_HPP

#include <toucanmill/cluster/command.hpp>
#include <toucanmill/control/control_state.hpp>

namespace toucanmill::detail
{

/// Notices of committed changes, accepted or refused.
control_notice declaration_notice(const configuration& value,
                                  const change_outcome& outcome);
control_notice change_notice(const operator_request& request,
                             const change_outcome& outcome);
control_notice order_notice(const set_evacuation& order,
                            const change_outcome& outcome);

/// Notice of the group's members and of how many more voters may be lost before
/// it can't commit; voters that were silent for the time are lost already.
control_notice group_notice(const replicated_log_status& status,
                            duration silence);

} // namespace toucanmill::detail

#endif
