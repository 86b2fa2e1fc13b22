#ifndef TOUCANMILL_CLUSTER_AGENT_DEPARTURE_HPP
#define TOUCANMILL_CLUSTER_AGENT_DEPARTURE_HPP

#include <optional>
#include <string>
#include <utility>

#include <toucanmill/base/ids.hpp>
#include <toucanmill/base/time.hpp>
#include <toucanmill/table/service_table.hpp>

namespace toucanmill
{

/// Decides when an agent whose upstream ended may stop. Balancers send packets
/// to it until their tables no longer list it, and a packet that visits a
/// stopped agent is lost. An answered report is not enough: control removes the
/// agent by a log entry, which a new leader may have to write again.
class agent_departure
{
public:
  struct options
  {
    /// Time in which balancers fetch a new table: two report intervals.
    duration propagation_time = std::chrono::seconds(1);
  };

  /// `self`: this agent, which may be a holder of buckets of `service`.
  agent_departure(std::string service, node_id self, options chosen)
      : service_(std::move(service)), self_(self), options_(chosen)
  {
  }

  /// Takes an update that a quorum confirmed, in answer to a report.
  /// `departing`: that report said that nothing is left at this agent.
  void on_answer(const table_update& update, bool departing, time_point now);

  /// No balancer sends packets to this agent any more.
  bool complete(time_point now) const
  {
    return unlisted_since_ &&
           now - *unlisted_since_ >= options_.propagation_time;
  }

private:
  bool lists_self(const service_table& table) const;

  std::string service_;
  node_id self_;
  options options_;
  bool listed_ = false;
  std::optional<time_point> unlisted_since_;
};

} // namespace toucanmill

#endif
