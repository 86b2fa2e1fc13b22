#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include <toucanmill/base/clock.hpp>
#include <toucanmill/cluster/wire.hpp>
#include <toucanmill/control/control_channel.hpp>

namespace
{

using namespace toucanmill;

struct options
{
  std::vector<std::string> control;
  unsigned balancers = 10;
  unsigned agents = 0;
  unsigned services = 1; ///< agents join service-0, service-1 and so on
  unsigned interval_ms = 500;
  unsigned duration_ms = 10000;
};

struct counters
{
  std::uint64_t reports = 0;
  std::uint64_t failed = 0;
  std::uint64_t octets_sent = 0;
  std::uint64_t octets_received = 0;
};

node_identity make_identity(const options& settings, unsigned number)
{
  const bool agent = number >= settings.balancers;
  node_identity identity;
  identity.id = {number + 1};
  identity.life = {1};
  identity.role = agent ? node_role::agent : node_role::balancer;
  identity.name = "swarm-" + std::to_string(number);
  identity.data_centre = "swarm";
  identity.data = {{0x7F000001}, static_cast<std::uint16_t>(1 + number)};
  if (agent)
  {
    identity.service = "service-" + std::to_string(number % settings.services);
    identity.slots = 4;
    identity.connections = 2000;
  }
  return identity;
}

/// A node that reports over a connection of its own and discards its table.
class swarm_node
{
public:
  swarm_node(kj::AsyncIoContext& io, const options& settings, unsigned number,
             counters& totals)
      : timer_(io.provider->getTimer()),
        interval_(settings.interval_ms * kj::MILLISECONDS),
        channel_(io, endpoints(settings)), totals_(totals)
  {
    report_.identity = make_identity(settings, number);
    report_.flows = 2000;
  }

  kj::Promise<void> run(kj::Duration start_after)
  {
    return timer_.afterDelay(start_after)
        .then(
            [this]
            {
              return report_forever();
            });
  }

private:
  static std::vector<endpoint> endpoints(const options& settings)
  {
    std::vector<endpoint> out;
    for (const auto& text : settings.control)
      out.push_back(parse_endpoint(text).value());
    return out;
  }

  kj::Promise<void> report_forever()
  {
    auto report = channel_.client().then(
        [this](schema::Control::Client control)
        {
          return send(control);
        });
    return channel_.with_timeout(kj::mv(report))
        .catch_(
            [this, used = channel_.generation()](kj::Exception&&)
            {
              ++totals_.failed;
              channel_.select_next_instance(used);
            })
        .then(
            [this]
            {
              return timer_.afterDelay(interval_);
            })
        .then(
            [this]
            {
              return report_forever();
            });
  }

  kj::Promise<void> send(schema::Control::Client& control)
  {
    auto request = control.reportRequest();
    report_.fresh = report_.applied == table_version{};
    wire::write(request.initReport(), report_);
    totals_.octets_sent += request.totalSize().wordCount * 8;
    return request.send().then(
        [this](auto&& response)
        {
          take(response);
        });
  }

  template <class Response>
  void take(const Response& response)
  {
    if (response.hasNotLeader())
    {
      ++totals_.failed;
      return channel_.redirect(wire::read(response.getNotLeader().getHint()));
    }
    ++totals_.reports;
    totals_.octets_received += response.totalSize().wordCount * 8;
    report_.applied = wire::read(response.getReply().getUpdate().getVersion());
  }

  kj::Timer& timer_;
  kj::Duration interval_;
  control_channel channel_;
  counters& totals_;
  node_report report_;
};

counters run(const options& settings)
{
  auto io = kj::setupAsyncIo();
  counters totals;
  std::vector<std::unique_ptr<swarm_node>> nodes;
  auto all = kj::heapArrayBuilder<kj::Promise<void>>(settings.balancers +
                                                     settings.agents);
  for (unsigned i = 0; i < settings.balancers + settings.agents; ++i)
  {
    nodes.push_back(std::make_unique<swarm_node>(io, settings, i, totals));
    // Spreads the reports over the interval.
    all.add(nodes.back()->run(settings.interval_ms * (i % 97) / 97 *
                              kj::MILLISECONDS));
  }
  auto& timer = io.provider->getTimer();
  kj::joinPromises(all.finish())
      .exclusiveJoin(timer.afterDelay(settings.duration_ms * kj::MILLISECONDS))
      .wait(io.waitScope);
  return totals;
}

} // namespace

int main(int argc, char** argv)
{
  CLI::App app("Reports to control as many nodes, without any traffic");
  options settings;
  app.add_option("--control", settings.control, "RPC endpoints")
      ->required()
      ->delimiter(',');
  app.add_option("--balancers", settings.balancers, "balancers");
  app.add_option("--agents", settings.agents, "agents");
  app.add_option("--services", settings.services, "services of the agents");
  app.add_option("--interval-ms", settings.interval_ms, "between reports");
  app.add_option("--duration-ms", settings.duration_ms, "length of the run");
  CLI11_PARSE(app, argc, argv);

  const auto totals = run(settings);
  std::cout << "{\"reports\": " << totals.reports
            << ", \"failed\": " << totals.failed
            << ", \"octets_sent\": " << totals.octets_sent
            << ", \"octets_received\": " << totals.octets_received << "}\n";
}
