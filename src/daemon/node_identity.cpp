#include "node_identity.hpp"

#include <xxhash.h>

#include <chrono>

namespace toucanmill::daemon
{

namespace
{

/// Microseconds, so that a later life of the process has a greater value.
std::uint64_t wall_clock_microseconds()
{
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

} // namespace

node_identity make_identity(const instance_settings& instance, node_role role,
                            const endpoint& data)
{
  node_identity identity;
  identity.id = {XXH3_64bits(instance.name.data(), instance.name.size())};
  identity.life = {wall_clock_microseconds()};
  identity.role = role;
  identity.name = instance.name;
  identity.data_centre = instance.data_centre;
  identity.data = data;
  return identity;
}

std::vector<sample> control_samples(const node_client_counters& counters,
                                    bool reachable, table_version applied)
{
  const auto number = [](std::uint64_t value)
  {
    return static_cast<double>(value);
  };
  return {
      {"toucanmill_reports_total",
       "Reports sent to control.",
       true,
       number(counters.reports),
       {}},
      {"toucanmill_reports_failed_total",
       "Reports that no control leader answered.",
       true,
       number(counters.failed_reports),
       {}},
      {"toucanmill_control_octets_total",
       "Octets of reports and replies, without framing.",
       true,
       number(counters.octets_sent),
       {{"direction", "sent"}}},
      {"toucanmill_control_octets_total",
       "Octets of reports and replies, without framing.",
       true,
       number(counters.octets_received),
       {{"direction", "received"}}},
      {"toucanmill_claims_failed_total",
       "Claims, completions and releases that control did not answer in time.",
       true,
       number(counters.failed_claims),
       {}},
      {"toucanmill_control_reachable",
       "1 while a control leader answers reports.",
       false,
       reachable ? 1.0 : 0.0,
       {}},
      {"toucanmill_table_index",
       "Log index of the routing table in use.",
       false,
       number(applied.index),
       {}},
  };
}

} // namespace toucanmill::daemon
