#include <toucanmill/table/configuration.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace toucanmill
{

namespace
{

/// Longest name of a route or service, in octets.
constexpr std::size_t max_name_length = 63;

class configuration_checker
{
public:
  explicit configuration_checker(const configuration& value)
      : value_(value), services_(value.services.begin(), value.services.end())
  {
  }

  findings run()
  {
    if (value_.version == 0)
      add_finding("version", "must be at least 1");
    for (std::size_t i = 0; i < value_.services.size(); ++i)
      check_service("services[" + std::to_string(i) + "]", value_.services[i]);
    for (std::size_t i = 0; i < value_.routes.size(); ++i)
      check_route("routes[" + std::to_string(i) + "]", value_.routes[i]);
    for (std::size_t i = 0; i < value_.warm_up.size(); ++i)
      check_warm_up("warm_up[" + std::to_string(i) + "]",
                    value_.warm_up[i].service);
    return std::move(findings_);
  }

private:
  void add_finding(std::string key, std::string message)
  {
    findings_.push_back({"", 0, 0, std::move(key), std::move(message)});
  }

  void check_service(const std::string& key, const std::string& name)
  {
    if (name.empty() || name.size() > max_name_length)
      add_finding(key + ".name", "must be 1 to 63 octets long");
    else if (!seen_services_.insert(name).second)
      add_finding(key + ".name", "\"" + name + "\" is declared twice");
  }

  void check_route(const std::string& key, const route& item)
  {
    if (item.timeout_ms == 0)
      add_finding(key + ".timeout", "must be at least 1 ms");
    else if (item.objectives.latency_ms > item.timeout_ms)
      add_finding(key + ".latency", "must not exceed the time limit of " +
                                        std::to_string(item.timeout_ms) +
                                        " ms");
    if (item.address.address.value == 0 || item.address.port == 0)
      add_finding(key + ".address", "must have a non-zero address and port");
    else if (const auto [first, added] =
                 route_keys_.try_emplace(item.address, key);
             !added)
      add_finding(key + ".address", to_string(item.address) +
                                        " is also the address of " +
                                        first->second);
    check_targets(key, item);
  }

  void check_targets(const std::string& key, const route& item)
  {
    const bool has_weight =
        std::any_of(item.targets.begin(), item.targets.end(),
                    [](const route_target& target)
                    {
                      return target.weight > 0;
                    });
    if (!has_weight)
      add_finding(key, "has no target with a weight above 0");
    for (const auto& target : item.targets)
      if (services_.count(target.service) == 0)
        add_finding(key, "service \"" + target.service + "\" is not declared");
  }

  void check_warm_up(const std::string& key, const std::string& service)
  {
    if (services_.count(service) == 0)
      add_finding(key, "service \"" + service + "\" is not declared");
    else if (!limited_services_.insert(service).second)
      add_finding(key, "service \"" + service + "\" has two limits");
  }

  const configuration& value_;
  const std::set<std::string> services_;
  std::set<std::string> seen_services_;
  std::set<std::string> limited_services_;
  std::map<endpoint, std::string> route_keys_; ///< by address
  findings findings_;
};

} // namespace

namespace
{

void add_former_service(route& to, const std::string& name)
{
  const bool current = std::any_of(to.targets.begin(), to.targets.end(),
                                   [&](const route_target& target)
                                   {
                                     return target.service == name;
                                   });
  const auto& former = to.former;
  if (current || std::find(former.begin(), former.end(), name) != former.end())
    return;
  if (former.size() < max_former_services)
    to.former.push_back(name);
  else
    to.former_incomplete = true;
}

} // namespace

void keep_former_services(const route& present, bool is_settled, route& next)
{
  next.former.clear();
  next.former_incomplete = !is_settled && present.former_incomplete;
  for (const auto& target : present.targets)
    add_former_service(next, target.service);
  if (is_settled)
    return;
  for (const auto& name : present.former)
    add_former_service(next, name);
}

findings check_configuration(const configuration& value)
{
  return configuration_checker(value).run();
}

} // namespace toucanmill
