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

/// A service that a route leads to, with its share of the new flows.
struct route_target
{
  std::string service;
  std::uint32_t weight = 1;

  bool operator==(const route_target& other) const
  {
    return service == other.service && weight == other.weight;
  }
};

/// A public address and where its new flows go.
struct route
{
  std::string name;
  endpoint address;
  std::vector<route_target> targets;
  std::uint32_t timeout_ms = 0; ///< of one request

  /// Services that earlier versions led to, newest first. They may still hold
  /// flows of this address. Set by control.
  std::vector<std::string> former;

  bool operator==(const route& other) const
  {
    return std::tie(name, address, targets, timeout_ms, former) ==
           std::tie(other.name, other.address, other.targets, other.timeout_ms,
                    other.former);
  }
};

/// Everything that an operator declares, under one version. The highest
/// version is in force.
struct configuration
{
  std::uint64_t version = 0; ///< 0: nothing was declared yet
  std::vector<route> routes;
  std::vector<std::string> services;
  std::uint32_t idle_timeout_ms = 0;
  std::string document; ///< as the operator sent it; empty at nodes

  bool operator==(const configuration& other) const
  {
    return std::tie(version, routes, services, idle_timeout_ms, document) ==
           std::tie(other.version, other.routes, other.services,
                    other.idle_timeout_ms, other.document);
  }
};

/// Everything that is wrong with a configuration, each with its key, for
/// example "routes[3].service". The file of each finding is empty.
findings check_configuration(const configuration& value);

/// Former services of one route at most.
inline constexpr std::size_t max_former_services = 4;

/// Fills in the former services of each route of `next`, which replaces
/// `present`.
void keep_former_services(const configuration& present, configuration& next);

} // namespace toucanmill

#endif
