#include <CLI/CLI.hpp>
#include <algorithm>
#include <asio.hpp>
#include <csignal>
#include <functional>
#include <iostream>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include <toucanmill/agent/agent.hpp>

#include "balancer_loop.hpp"
#include "status_json.hpp"

namespace
{

using namespace toucanmill;
using namespace toucanmill::static_path;

/// Well below the age at which agents stop to trust their table.
constexpr std::chrono::milliseconds confirm_interval{500};

template <class T>
T value_or_throw(result<T> outcome)
{
  if (!outcome)
    throw std::runtime_error(outcome.error().message);
  return std::move(outcome).value();
}

struct arguments
{
  std::string fabric = "127.0.0.1:7000";
  std::string service = "203.0.113.10:80";
  std::vector<std::string> upstreams;
  std::size_t balancers = 1;
  std::size_t buckets = 256;
  std::size_t slots = 4;
  std::size_t queue = 16;
  bool stream = false;
};

void add_options(CLI::App& app, arguments& values)
{
  app.add_option("--fabric", values.fabric, "UDP endpoint of the fabric edge");
  app.add_option("--service", values.service, "public address and port");
  app.add_option("--upstream", values.upstreams,
                 "TCP endpoint of an upstream; each gets an agent")
      ->required();
  app.add_option("--balancers", values.balancers, "balancer loops");
  app.add_option("--buckets", values.buckets, "buckets, a power of two");
  app.add_option("--slots", values.slots, "slots of an upstream");
  app.add_option("--queue", values.queue, "requests that may wait for a slot");
  app.add_flag("--stream", values.stream, "relay bytes without reading HTTP");
}

/// Agents with a fixed table, and balancer loops, in one process.
class path
{
public:
  explicit path(const arguments& values)
  {
    for (const auto& upstream : values.upstreams)
      start_agent(values, upstream);
    make_table(values);
    const auto fabric = value_or_throw(parse_endpoint(values.fabric));
    for (std::size_t i = 0; i < values.balancers; ++i)
      balancers_.push_back(std::make_unique<balancer_loop>(
          value_or_throw(udp_channel::open({{0x7f000001}, 0})), fabric,
          std::make_shared<service_table>(table_)));
    publish();
  }

  /// Gives every bucket to the next agent; the earlier owners stay in the
  /// chain.
  void move_buckets()
  {
    for (auto& bucket : table_.buckets)
      std::rotate(bucket.holders.begin(),
                  bucket.holders.begin() + bucket.size - 1,
                  bucket.holders.begin() + bucket.size);
    ++table_.version.index;
    publish();
  }

  void confirm()
  {
    for (const auto& agent : agents_)
      agent->confirmed();
  }

  void print() const
  {
    for (const auto& agent : agents_)
      std::cout << to_json(agent->status()) << std::endl;
  }

private:
  void start_agent(const arguments& values, const std::string& upstream)
  {
    agent_options options;
    options.data = {{0x7f000001}, 0};
    options.upstream = value_or_throw(parse_endpoint(upstream));
    options.admission.slots = values.slots;
    options.admission.queue_capacity = values.queue;
    agents_.push_back(value_or_throw(agent::start(options, claims_)));
  }

  void make_table(const arguments& values)
  {
    table_.id = {1};
    table_.name = "static";
    table_.address = value_or_throw(parse_endpoint(values.service));
    table_.kind = values.stream ? service_kind::stream : service_kind::http;
    table_.version = {1, 1};
    for (std::size_t i = 0; i < agents_.size(); ++i)
      table_.holders.push_back({{i + 1}, agents_[i]->data_endpoint(), false});
    table_.buckets.resize(values.buckets);
    for (std::size_t bucket = 0; bucket < values.buckets; ++bucket)
      fill_chain(table_.buckets[bucket], bucket);
  }

  void fill_chain(chain& filled, std::size_t bucket) const
  {
    filled.size =
        static_cast<std::uint8_t>(std::min(agents_.size(), max_chain_length));
    for (std::size_t i = 0; i < filled.size; ++i)
      filled.holders[i] =
          static_cast<std::uint16_t>((bucket + i) % agents_.size());
  }

  void publish()
  {
    for (const auto& agent : agents_)
      agent->set_table(table_);
    for (const auto& balancer : balancers_)
      balancer->set_table(std::make_shared<service_table>(table_));
    confirm();
  }

  memory_claim_client claims_;
  service_table table_;
  std::vector<std::unique_ptr<agent>> agents_;
  std::vector<std::unique_ptr<balancer_loop>> balancers_;
};

/// SIGUSR1 prints the status, SIGUSR2 moves the buckets, SIGTERM ends.
void wait_for_signal(asio::signal_set& signals, asio::io_context& context,
                     path& running)
{
  signals.async_wait(
      [&](std::error_code error, int signal)
      {
        if (error)
          return;
        if (signal == SIGUSR2)
          running.move_buckets();
        else
          running.print();
        if (signal == SIGTERM || signal == SIGINT)
          return context.stop();
        wait_for_signal(signals, context, running);
      });
}

void confirm_regularly(asio::steady_timer& timer, path& running)
{
  running.confirm();
  timer.expires_after(confirm_interval);
  timer.async_wait(
      [&](std::error_code error)
      {
        if (!error)
          confirm_regularly(timer, running);
      });
}

void run(const arguments& values)
{
  asio::io_context context(1);
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.add(SIGUSR1);
  signals.add(SIGUSR2);
  path running(values);
  asio::steady_timer timer(context);
  confirm_regularly(timer, running);
  wait_for_signal(signals, context, running);
  context.run();
}

} // namespace

int main(int argc, char** argv)
{
  CLI::App app("Agents with a fixed table and balancer loops in one process");
  arguments values;
  add_options(app, values);
  CLI11_PARSE(app, argc, argv);
  try
  {
    run(values);
  }
  catch (const std::exception& problem)
  {
    std::cerr << "static_path: " << problem.what() << "\n";
    return 1;
  }
  return 0;
}
