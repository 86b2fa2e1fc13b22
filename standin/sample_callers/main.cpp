#include <CLI/CLI.hpp>
#include <functional>
#include <future>
#include <iostream>
#include <string>
#include <vector>

#include "options.hpp"
#include "report.hpp"
#include "workers.hpp"

namespace
{

using namespace toucanmill::sample_callers;

void add_milliseconds(CLI::App& app, const std::string& name,
                      std::chrono::milliseconds& value, const std::string& help)
{
  app.add_option_function<std::int64_t>(
      name,
      [&value](std::int64_t count)
      {
        value = std::chrono::milliseconds(count);
      },
      help);
}

report run_all(const options& settings)
{
  const auto end = std::chrono::steady_clock::now() + settings.duration;
  std::vector<std::future<report>> workers;
  const auto start = [&workers](auto work)
  {
    workers.push_back(std::async(std::launch::async, std::move(work)));
  };
  start(
      [&]
      {
        return run_feeds(settings, end);
      });
  for (std::size_t i = 0; i < settings.downloaders; ++i)
    start(
        [&settings, i, end]
        {
          return run_downloads(settings, i, end);
        });
  for (std::size_t i = 0; i < settings.submitters; ++i)
    start(
        [&settings, i, end]
        {
          return run_submissions(settings, i, end);
        });
  report total;
  for (auto& worker : workers)
    total.add(worker.get());
  return total;
}

} // namespace

int main(int argc, char** argv)
{
  CLI::App app("Load tool: feeds, downloads and submissions");
  options settings;
  std::string address = "127.0.0.1";
  std::uint16_t port = 8080;
  app.add_option("--address", address, "IPv4 address of the target");
  app.add_option("--port", port, "TCP port of the target");
  app.add_option("--feeds", settings.feeds, "feeds held open");
  app.add_option("--downloaders", settings.downloaders,
                 "callers that repeat downloads");
  app.add_option("--submitters", settings.submitters,
                 "callers that send submissions");
  app.add_option("--download-size", settings.download_size,
                 "octets of a download");
  app.add_flag("--reconnect", settings.reconnect,
               "new connection for each download and submission");
  app.add_option("--seed", settings.seed, "seed of the pauses and ids");
  add_milliseconds(app, "--feed-interval-ms", settings.feed_interval,
                   "time between the lines of a feed");
  add_milliseconds(app, "--pause-ms", settings.pause,
                   "mean pause between the requests of a caller");
  add_milliseconds(app, "--duration-ms", settings.duration,
                   "length of the run");
  add_milliseconds(app, "--timeout-ms", settings.timeout,
                   "limit of one operation, and of a silent feed beyond its "
                   "interval");
  CLI11_PARSE(app, argc, argv);

  try
  {
    settings.target = {boost::asio::ip::make_address_v4(address), port};
    std::cout << to_json(run_all(settings)) << std::endl;
  }
  catch (const std::exception& problem)
  {
    std::cerr << "sample_callers: " << problem.what() << "\n";
    return 1;
  }
  return 0;
}
