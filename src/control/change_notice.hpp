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

} // namespace toucanmill::detail

#endif
