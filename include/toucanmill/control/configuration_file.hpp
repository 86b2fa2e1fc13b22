#ifndef TOUCANMILL_CONTROL_CONFIGURATION_FILE_HPP
#define TOUCANMILL_CONTROL_CONFIGURATION_FILE_HPP

#include <string>
#include <string_view>
#include <variant>

#include <toucanmill/base/finding.hpp>
#include <toucanmill/table/configuration.hpp>

namespace toucanmill
{

/// Parses a configuration from TOML; examples/configuration.toml is a commented
/// example. Returns the configuration with `text` stored as its document, or
/// all validation errors; `file` is used only in findings.
std::variant<configuration, findings>
parse_configuration(std::string_view text, const std::string& file);

} // namespace toucanmill

#endif
