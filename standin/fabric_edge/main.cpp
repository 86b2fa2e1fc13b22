#include <CLI/CLI.hpp>
#include <csignal>
#include <functional>
#include <iostream>
#include <stdexcept>
#include <string>
#include <vector>

#include "edge.hpp"

namespace
{

using namespace toucanmill;
using namespace toucanmill::fabric_edge;

template <class T>
T value_or_throw(result<T> outcome)
{
  if (!outcome)
    throw std::runtime_error(outcome.error().message);
  return std::move(outcome).value();
}

struct arguments
{
  std::string data = "127.0.0.1:7000";
  std::vector<std::string> listens;
  std::uint64_t seed = 1;
  unsigned delay_ms = 0;
  impairments harm;
};

void add_options(CLI::App& app, arguments& values)
{
  app.add_option("--data", values.data,
                 "UDP endpoint for balancers and agents");
  app.add_option("--listen", values.listens,
                 "LOCAL=PUBLIC, for example 127.0.0.1:8080=203.0.113.10:80")
      ->required();
  app.add_option("--seed", values.seed, "seed of all random choices");
  const auto add_probability =
      [&app](const char* name, double& value, const char* help)
  {
    app.add_option(name, value, help)->check(CLI::Range(0.0, 1.0));
  };
  add_probability("--duplicate", values.harm.duplicate,
                  "probability that a packet is sent twice");
  add_probability("--reorder", values.harm.reorder,
                  "probability that a packet is held back for up to 5 ms");
  add_probability("--drop", values.harm.drop,
                  "probability that a packet is dropped");
  app.add_option("--delay-ms", values.delay_ms, "delay of each packet");
}

void listen_on(edge& callers, const std::string& text)
{
  const auto separator = text.find('=');
  if (separator == std::string::npos)
    throw std::runtime_error("--listen " + text + ": no '=' in it");
  callers.listen(value_or_throw(parse_endpoint(text.substr(0, separator))),
                 value_or_throw(parse_endpoint(text.substr(separator + 1))));
}

/// Prints the counters on SIGUSR1, and at the end on SIGTERM or SIGINT.
void wait_for_signal(asio::signal_set& signals, asio::io_context& context,
                     const counters& counts)
{
  signals.async_wait(
      [&](std::error_code error, int signal)
      {
        if (error)
          return;
        std::cout << to_json(counts) << std::endl;
        if (signal != SIGUSR1)
          return context.stop();
        wait_for_signal(signals, context, counts);
      });
}

void run(const arguments& values)
{
  asio::io_context context(1);
  counters counts;
  auto harm = values.harm;
  harm.delay = std::chrono::milliseconds(values.delay_ms);
  const auto data = value_or_throw(parse_endpoint(values.data));
  fabric network(context, value_or_throw(udp_channel::open(data)), harm,
                 values.seed, counts);
  edge callers(context, network, values.seed + 1, counts);
  for (const auto& text : values.listens)
    listen_on(callers, text);
  asio::signal_set signals(context, SIGTERM, SIGINT, SIGUSR1);
  wait_for_signal(signals, context, counts);
  context.run();
}

} // namespace

int main(int argc, char** argv)
{
  CLI::App app("Accepts callers and sprays their packets over the balancers");
  arguments values;
  add_options(app, values);
  CLI11_PARSE(app, argc, argv);
  try
  {
    run(values);
  }
  catch (const std::exception& problem)
  {
    std::cerr << "fabric_edge: " << problem.what() << "\n";
    return 1;
  }
  return 0;
}
