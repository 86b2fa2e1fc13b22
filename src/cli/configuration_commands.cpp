#include "options.hpp"

#include <fstream>
#include <iterator>

#include <toucanmill/control/configuration_file.hpp>

#include "report.hpp"

namespace toucanmill::cli
{

namespace
{

int run_apply(operator_client& control, const std::string& file,
              const common_options& common)
{
  std::ifstream input(file, std::ios::binary);
  if (!input)
    return fail({error_code::not_found, file + " cannot be read"});
  const std::string text{std::istreambuf_iterator<char>(input), {}};
  const auto read = parse_configuration(text, file);
  if (const auto* found = std::get_if<findings>(&read))
  {
    for (const auto& item : *found)
      std::cerr << to_string(item) << "\n";
    return bad_usage;
  }
  const auto outcome = control.declare(std::get<configuration>(read));
  if (!outcome)
    return fail(outcome.error());
  return report_outcome(outcome.value(), "none", common.json);
}

} // namespace

void declare_configuration_commands(CLI::App& app, const common_options& common,
                                    run_function& run)
{
  auto file = std::make_shared<std::string>();
  auto* apply = app.add_subcommand(
      "apply", "Declare a configuration; the highest version is in force");
  apply->footer("Example: toucanmill apply examples/configuration.toml");
  apply->add_option("file", *file, "TOML file")->required();
  apply->callback(
      [&common, &run, file]
      {
        run = [&common, file](operator_client& control)
        {
          return run_apply(control, *file, common);
        };
      });
  app.add_subcommand("config", "Print the configuration in force")
      ->callback(
          [&run]
          {
            run = [](operator_client& control)
            {
              const auto found = control.declared();
              if (!found)
                return fail(found.error());
              if (found.value().version == 0)
                return fail(
                    {error_code::not_found, "no configuration is declared"});
              std::cout << found.value().document << "\n";
              return int(done);
            };
          });
}

} // namespace toucanmill::cli
