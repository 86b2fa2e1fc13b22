#include "options.hpp"

#include <fstream>

#include <toucanmill/observe/log_trace.hpp>

#include "report.hpp"

namespace toucanmill::cli
{

namespace
{

struct trace_options
{
  trace_subject subject;
  std::vector<std::string> files;
};

int run_trace(const trace_options& options)
{
  std::vector<std::string> lines;
  const auto read = [&lines](std::istream& input)
  {
    for (std::string line; std::getline(input, line);)
      lines.push_back(line);
  };
  for (const auto& name : options.files)
  {
    std::ifstream input(name);
    if (!input)
      return fail({error_code::not_found, name + " cannot be read"});
    read(input);
  }
  if (options.files.empty())
    read(std::cin);
  const auto found = trace_lines(lines, options.subject);
  for (const auto& line : found)
    std::cout << line << "\n";
  return found.empty() ? int(not_found) : int(done);
}

} // namespace

void declare_trace(CLI::App& app, run_function& run)
{
  auto options = std::make_shared<trace_options>();
  auto* command = app.add_subcommand(
      "trace", "Lines of all processes about a request or flow, in order");
  command->footer("Example: toucanmill trace --request 4f1a node-*.log");
  auto* request =
      command->add_option("--request", options->subject.request, "Request id");
  command
      ->add_option("--flow", options->subject.flow,
                   "caller>service, each address:port")
      ->excludes(request);
  command->add_option("files", options->files,
                      "Log files; none: standard input");
  command->callback(
      [&run, options]
      {
        run = [options](operator_client&)
        {
          return run_trace(*options);
        };
      });
}

} // namespace toucanmill::cli
