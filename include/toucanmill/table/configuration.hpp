#ifndef TOUCANMILL_TABLE_CONFIGURATION_HPP
#define TOUCANMILL_TABLE_CONFIGURATION_HPP

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include <toucanmill/base/address.hpp>
#include <toucanmill/base/finding.hpp>

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

  bool operator==(const route& other) const
  {
    return std::tie(name, address, targets, timeout_ms, former) ==
           std::tie(other.name, other.address, other.targets, other.timeout_ms,
                    other.former);
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

  bool operator==(const configuration& other) const
  {
    return std::tie(version, routes, services, idle_timeout_ms, document) ==
           std::tie(other.version, other.routes, other.services,
                    other.idle_timeout_ms, other.document);
  }
};

/// All problems of a configuration, each with the key of the setting, for
/// example "routes[3].address". The file of each finding is empty.
findings check_configuration(const configuration& value);

/// Maximum number of former services of one route.
inline constexpr std::size_t max_former_services = 4;

/// Sets the former services of each route of `next`, which replaces `present`,
/// to the targets and former services of the present route with its address,
/// except those that are still targets.
void keep_former_services(const configuration& present, configuration& next);

} // namespace toucanmill

#endif
