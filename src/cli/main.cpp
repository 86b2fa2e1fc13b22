#include <chrono>

#include "exit_code.hpp"
#include "options.hpp"

namespace
{

constexpr const char* footer = R"(
Exit codes: 0 done, 1 failed, 2 bad usage, 3 version conflict, 4 refused,
5 not found, 6 control unavailable, 7 not in force in time.

Examples:
  toucanmill service create defects --address 203.0.113.10:80 --kind http
  toucanmill upstream drain defects-1 --request-id drill-7 --if-version 12
  toucanmill wait --index 42 && toucanmill status --json)";

} // namespace

int main(int argc, char** argv)
{
  using namespace toucanmill;

  CLI::App app("Operates a toucanmill load balancer.", "toucanmill");
  app.footer(footer);
  cli::common_options common;
  cli::run_function run;
  cli::declare_commands(app, common, run);
  try
  {
    app.parse(argc, argv);
  }
  catch (const CLI::ParseError& problem)
  {
    return app.exit(problem) == 0 ? cli::done : cli::bad_usage;
  }

  std::vector<endpoint> control;
  for (const auto& text : common.control)
    control.push_back(parse_endpoint(text).value());
  const auto client = operator_client::connect(
      control, std::chrono::milliseconds(common.timeout_ms));
  return run(*client);
}
