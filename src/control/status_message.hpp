#ifndef TOUCANMILL_SRC_CONTROL_STATUS_MESSAGE_HPP
#define TOUCANMILL_SRC_CONTROL_STATUS_MESSAGE_HPP

#include <toucanmill.capnp.h>

#include <toucanmill/control/control_state.hpp>

namespace toucanmill::detail
{

/// Writes the answer to a status call.
void write_status(schema::Status::Builder to, const control_view& view,
                  const replicated_log_status& log);

} // namespace toucanmill::detail

#endif
