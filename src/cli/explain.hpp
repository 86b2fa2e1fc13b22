#ifndef TOUCANMILL_SRC_CLI_EXPLAIN_HPP
#define TOUCANMILL_SRC_CLI_EXPLAIN_HPP

#include <nlohmann/json.hpp>

#include <toucanmill/base/flow.hpp>
#include <toucanmill/base/outcome.hpp>
#include <toucanmill/control/operator_client.hpp>

namespace toucanmill::cli
{

/// Which agents a flow's packets visit, and why. Error: not_found when no
/// service has the address.
result<nlohmann::json> explain(const service_list& list, const flow_key& flow);

std::string explanation_text(const nlohmann::json& explanation);

} // namespace toucanmill::cli

#endif
