#ifndef TOUCANMILL_TABLE_CONFIGURATION_HPP
#define TOUCANMILL_TABLE_CONFIGURATION_HPP

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include <toucanmill/base/address.hpp>
#include <toucanmill/base/finding.hpp>
#include <toucanmill/table/objectives.hpp>

namespace toucanmill
{

/// A service that receives new flows of a route, in proportion to its weight.
struct route_target
{
  std::string service;
  std::uint32_t weight = 1;

  bool operator==(const route_target& other) const
  {
    return service == other.service && weight == other.weight;
  }
  bool operator<(const route_target& other) const
  {
    return std::tie(service, weight) < std::tie(other.service, other.weight);
  }
};

/// A public address and the services that receive its new flows.
struct route
{
  std::string name;
  endpoint address;
  std::vector<route_target> targets;
  std::uint32_t timeout_ms = 0; ///< for one request

  /// Target services of earlier versions, newest first. They may still hold
  /// flows of this address. Set by control.
  std::vector<std::string> former;
  route_objectives objectives = {};

  /// Services that are not listed may hold flows of this address too. Set by
  /// control.
  bool former_incomplete = false;

  bool operator==(const route& other) const
  {
    return std::tie(name, address, targets, timeout_ms, former, objectives,
                    former_incomplete) ==
           std::tie(other.name, other.address, other.targets, other.timeout_ms,
                    other.former, other.objectives, other.former_incomplete);
  }
};

/// What an upstream of a service bears while it is cold.
struct warm_up_limit
{
  std::string service;
  std::uint32_t rate = 0; ///< new flows in 1,000 s; 0: no limit

  bool operator==(const warm_up_limit& other) const
  {
    return service == other.service && rate == other.rate;
  }
};

/// The complete configuration declared by an operator. The one with the highest
/// version is in force.
struct configuration
{
  std::uint64_t version = 0; ///< 0: nothing declared yet
  std::vector<route> routes;
  std::vector<std::string> services;
  std::uint32_t idle_timeout_ms = 0;
  std::string document; ///< as the operator sent it; empty on nodes
  std::vector<warm_up_limit> warm_up = {}; ///< of services that have a limit

  bool operator==(const configuration& other) const
  {
    return std::tie(version, routes, services, idle_timeout_ms, document,
                    warm_up) == std::tie(other.version, other.routes,
                                         other.services, other.idle_timeout_ms,
                                         other.document, other.warm_up);
  }
};

/// Routes that differ only in their names and addresses. Nodes do not need the
/// names, and a large configuration has few different sets of targets.
struct route_group
{
  std::vector<route_target> targets;
  std::vector<std::string> former;
  std::uint32_t timeout_ms = 0;
  std::vector<endpoint> addresses;
  route_objectives objectives = {};
  bool former_incomplete = false; ///< as in route

  bool operator==(const route_group& other) const
  {
    return std::tie(targets, former, timeout_ms, addresses, objectives,
                    former_incomplete) ==
           std::tie(other.targets, other.former, other.timeout_ms,
                    other.addresses, other.objectives, other.former_incomplete);
  }
};

/// Routes that differ between two versions of the declared configuration.
struct route_changes
{
  std::uint64_t version = 0; ///< of the configuration after the changes
  bool whole = false;        ///< replaces all routes
  std::vector<route_group> changed;
  /// Applied before the changed routes: a removed address may return.
  std::vector<endpoint> removed;

  bool operator==(const route_changes& other) const
  {
    return std::tie(version, whole, changed, removed) ==
           std::tie(other.version, other.whole, other.changed, other.removed);
  }
};

/// All problems of a configuration, each with the key of the setting, for
/// example "routes[3].address". The file of each finding is empty.
findings check_configuration(const configuration& value);

/// Maximum number of former services that are listed for one route: 300 octets
/// with the longest names.
inline constexpr std::size_t max_former_services = 4;

/// Sets the former services of `next`, which replaces `present` at the same
/// address, to the targets of `present` and, unless `is_settled`, its former
/// services, except those that are still targets. `is_settled`: no flow is open
/// that was accepted before the address got its present targets.
void keep_former_services(const route& present, bool is_settled, route& next);

} // namespace toucanmill

#endif
