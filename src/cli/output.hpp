#ifndef TOUCANMILL_SRC_CLI_OUTPUT_HPP
#define TOUCANMILL_SRC_CLI_OUTPUT_HPP

#include <string>

#include <nlohmann/json.hpp>

#include <toucanmill/control/operator_client.hpp>

namespace toucanmill::cli
{

nlohmann::json to_json(const service_table& service);
nlohmann::json to_json(const service_list& list);
nlohmann::json to_json(const system_status& status);
nlohmann::json to_json(const in_force_state& state);
nlohmann::json to_json(const evacuation_list& list);

std::string to_text(const service_table& service);
std::string to_text(const service_list& list);
std::string to_text(const system_status& status);
std::string to_text(const evacuation_list& list);

} // namespace toucanmill::cli

#endif
