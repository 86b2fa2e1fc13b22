#ifndef TOUCANMILL_STATIC_PATH_STATUS_JSON_HPP
#define TOUCANMILL_STATIC_PATH_STATUS_JSON_HPP

#include <string>

#include <toucanmill/agent/agent.hpp>

namespace toucanmill::static_path
{

/// One JSON object on one line; counters by reason only where above zero.
std::string to_json(const agent_status& status);

} // namespace toucanmill::static_path

#endif
