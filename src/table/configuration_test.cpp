#include <toucanmill/table/configuration.hpp>

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace toucanmill;

namespace
{

route route_at(std::uint16_t port, const std::string& service)
{
  route item;
  item.name = "r" + std::to_string(port);
  item.address = {{0xC6120001}, port};
  item.targets = {{service, 1}};
  item.timeout_ms = 1000;
  return item;
}

configuration valid_configuration()
{
  configuration value;
  value.version = 3;
  value.services = {"a", "b"};
  value.routes = {route_at(80, "a"), route_at(81, "b")};
  return value;
}

} // namespace

TEST_GROUP(configuration){};

TEST(configuration, valid_configuration_has_no_findings)
{
  CHECK_TRUE(check_configuration(valid_configuration()).empty());
}

// Guards against accepting an invalid configuration, and against reporting only
// the first of several problems.
TEST(configuration, all_findings_are_returned_at_once)
{
  auto value = valid_configuration();
  value.version = 0;
  value.routes[0].targets = {{"missing", 1}};
  value.routes[1].address = value.routes[0].address;
  value.routes[1].timeout_ms = 0;
  value.routes.push_back(route_at(82, "a"));
  value.routes[2].targets[0].weight = 0;
  value.services.push_back("a");
  std::string keys;
  for (const auto& item : check_configuration(value))
    keys += item.key + " ";
  STRCMP_EQUAL("version services[2].name routes[0] routes[1].timeout "
               "routes[1].address routes[2] ",
               keys.c_str());
}

// Guards against an objective that no response within the time limit misses.
TEST(configuration, objective_beyond_the_time_limit_is_a_finding)
{
  auto value = valid_configuration();
  value.routes[0].objectives.latency_ms = 1000;
  CHECK_TRUE(check_configuration(value).empty());
  value.routes[1].objectives.latency_ms = 1001;
  const auto found = check_configuration(value);
  CHECK_EQUAL(1U, found.size());
  STRCMP_EQUAL("routes[1].latency", found[0].key.c_str());
}

// Guards against a limit that is declared and has no effect.
TEST(configuration, warm_up_limit_needs_one_declared_service)
{
  auto value = valid_configuration();
  value.warm_up = {{"a", 1000}, {"b", 0}};
  CHECK_TRUE(check_configuration(value).empty());
  value.warm_up = {{"a", 1000}, {"c", 1000}, {"a", 2000}};
  std::string keys;
  for (const auto& item : check_configuration(value))
    keys += item.key + " ";
  STRCMP_EQUAL("warm_up[1] warm_up[2] ", keys.c_str());
}

// Guards against established flows that break when the targets of a route are
// replaced, because balancers cannot locate flows opened under an earlier
// version.
TEST(configuration, former_services_of_a_route_are_kept)
{
  auto second = route_at(80, "b");
  keep_former_services(route_at(80, "a"), false, second);
  CHECK_TRUE(second.former == std::vector<std::string>{"a"});
  auto unchanged = route_at(81, "b");
  keep_former_services(route_at(81, "b"), false, unchanged);
  CHECK_TRUE(unchanged.former.empty());
  auto third = route_at(80, "c");
  keep_former_services(second, false, third);
  CHECK_TRUE((third.former == std::vector<std::string>{"b", "a"}));
  CHECK_FALSE(third.former_incomplete);
}

// Guards against resets of open flows on a service that was dropped from the
// list for want of room (review/11).
TEST(configuration, list_without_room_for_a_former_service_is_incomplete)
{
  auto present = route_at(80, "s0");
  for (std::size_t i = 1; i <= max_former_services + 1; ++i)
  {
    auto next = route_at(80, "s" + std::to_string(i));
    keep_former_services(present, false, next);
    CHECK_EQUAL(i > max_former_services, next.former_incomplete);
    CHECK_EQUAL(std::min(i, max_former_services), next.former.size());
    present = next;
  }
  // Services that become targets again make room, but not for the dropped one.
  auto wide = route_at(80, "s2");
  wide.targets.push_back({"s3", 1});
  keep_former_services(present, false, wide);
  CHECK_TRUE(wide.former.size() < max_former_services);
  CHECK_TRUE(wide.former_incomplete);
}

// Guards against a search of every service for as long as a route exists, and
// against a settled route that forgets the targets that it still has.
TEST(configuration, settled_route_keeps_only_its_targets_as_former_services)
{
  auto present = route_at(80, "a");
  present.former = {"b", "c"};
  present.former_incomplete = true;
  auto next = route_at(80, "d");
  keep_former_services(present, true, next);
  CHECK_TRUE(next.former == std::vector<std::string>{"a"});
  CHECK_FALSE(next.former_incomplete);
}
