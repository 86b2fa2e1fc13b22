#ifndef TOUCANMILL_CONTROL_CONFIGURATION_FILE_HPP
#define TOUCANMILL_CONTROL_CONFIGURATION_FILE_HPP

#include <string>
#include <string_view>
#include <variant>

#include <toucanmill/base/finding.hpp>
#include <toucanmill/table/configuration.hpp>

namespace toucanmill
{

/// Reads a declared configuration from TOML (examples/configuration.toml is a
/// commented example). Either the configuration, with the text as its document,
/// or everything that is wrong with it; the file name is used in findings only.
std::variant<configuration, findings>
parse_configuration(std::string_view text, const std::string& file);

} // namespace toucanmill

#endif
