#ifndef TOUCANMILL_SRC_CLI_OPTIONS_HPP
#define TOUCANMILL_SRC_CLI_OPTIONS_HPP

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include <toucanmill/control/operator_client.hpp>

namespace toucanmill::cli
{

/// Options of every command.
struct common_options
{
  std::vector<std::string> control = {"127.0.0.1:7001", "127.0.0.1:7002",
                                      "127.0.0.1:7003"};
  unsigned timeout_ms = 10000;
  bool json = false;
};

/// Options of commands that change something.
struct change_options
{
  std::string request_id;                  ///< empty: a random one
  std::optional<std::uint64_t> if_version; ///< none: the present version
};

/// A parsed command line: runs against control and returns the exit code.
using run_function = std::function<int(operator_client&)>;

/// Declares `apply` and `config`.
void declare_configuration_commands(CLI::App& app, const common_options& common,
                                    run_function& run);

/// Declares `trace`.
void declare_trace(CLI::App& app, run_function& run);

/// Declares all commands; the chosen one sets run.
void declare_commands(CLI::App& app, common_options& common, run_function& run);

} // namespace toucanmill::cli

#endif
