#ifndef TOUCANMILL_SRC_CLUSTER_CLUSTER_SAMPLES_TEST_HPP
#define TOUCANMILL_SRC_CLUSTER_CLUSTER_SAMPLES_TEST_HPP

#include <map>
#include <string>
#include <vector>

#include <toucanmill/cluster/wire.hpp>

#include "message.hpp"
#include "test_support.hpp"

namespace toucanmill::support
{

inline configuration sample_configuration(std::uint64_t version)
{
  configuration value;
  value.version = version;
  value.services = {"charts", "estimates"};
  value.idle_timeout_ms = 15000;
  value.document = "{\"version\": " + std::to_string(version) + "}";
  value.warm_up = {{"charts", 2500}};
  value.routes = {
      {"r", address_of(900), {{"charts", 90}, {"estimates", 10}}, 1000, {}, {}},
      {"x",
       address_of(901 + static_cast<std::uint32_t>(version)),
       {{"estimates", 1}},
       0,
       {},
       {}}};
  return value;
}

inline node_identity sample_agent(std::uint32_t number,
                                  const std::string& service)
{
  auto identity = agent(number, service);
  identity.data_centre = number % 2 == 0 ? "spata" : "koropi";
  return identity;
}

/// A log in which each kind of command occurs, in an order in which they have
/// an effect.
inline std::vector<command> sample_log()
{
  const claim_key key{service_id{1}, "key"};
  std::vector<command> log{
      operator_request{
          "a", 0,
          create_service{"charts", address_of(500), service_kind::http, 64},
          1000},
      operator_request{"b", 1, create_service{"notes", address_of(501), {}, 16},
                       1001},
      operator_request{"b", 1, create_service{"notes", address_of(501), {}, 16},
                       1002},
      register_node{balancer(40)}};
  for (std::uint32_t number = 1; number <= 7; ++number)
    log.emplace_back(
        register_node{sample_agent(number, number < 5 ? "charts" : "notes")});
  const std::vector<command> changes{
      declare_configuration{sample_configuration(3)},
      operator_request{"c", 2, change_service{"notes", address_of(502)}, 1003},
      operator_request{"d", 3, drain_node{"agent-2"}, 1004},
      operator_request{"e", 4, retire_node{"balancer-40"}, 1005},
      release_buckets{node_id{2}, incarnation{1}, 15, {0, 1, 2, 3, 4, 5, 6}},
      set_node_state{node_id{3}, incarnation{1}, node_state::suspect},
      rebalance{"charts", {{node_id{1}, 250}, {node_id{4}, 4000}}, {8, 9}},
      claim_request{key, claim_id{8}, {1, 2, 3}, 1006},
      claim_request{key, claim_id{9}, {1, 2, 3}, 1007},
      claim_completion{key, claim_id{8}, std::string("a\0b", 3)},
      claim_request{{service_id{1}, "other"}, claim_id{10}, {4}, 1008},
      claim_release{{service_id{1}, "other"}, claim_id{10}},
      set_evacuation{"spata", true, 1009},
      operator_request{"f", 6, evacuate_data_centre{"koropi"}, 1010},
      operator_request{"g", 7, restore_data_centre{"koropi"}, 1011},
      operator_request{"h", 8, restore_node{"agent-2"}, 1012},
      set_node_state{node_id{7}, incarnation{1}, node_state::gone},
      declare_configuration{sample_configuration(5)},
      declare_configuration{sample_configuration(4)},
      operator_request{"i", 9, delete_service{"notes"}, 1013},
      set_evacuation{"spata", false, 1014},
      set_evacuation{"koropi", true, 1015}};
  log.insert(log.end(), changes.begin(), changes.end());
  return log;
}

template <class Root, class Value>
std::string encode_wire(const Value& value)
{
  capnp::MallocMessageBuilder message;
  wire::write(message.initRoot<Root>(), value);
  return detail::serialize(message);
}

inline node_report sample_report()
{
  node_report report;
  report.identity = sample_agent(9, "charts");
  report.applied = {2, 17};
  report.leaving = true;
  report.flows = 12;
  report.busy_slots = 3;
  report.held_buckets = {0, 5, 255};
  report.applies_route_changes = true;
  return report;
}

inline std::string numbered(const char* name, std::size_t number)
{
  return name + std::string(number < 10 ? "0" : "") + std::to_string(number);
}

/// What this build writes; outcome_N and update_N are of log_N.
inline std::map<std::string, std::string> encoded_samples()
{
  std::map<std::string, std::string> encoded;
  state_machine_fixture control;
  const auto log = sample_log();
  for (std::size_t i = 0; i < log.size(); ++i)
  {
    const auto before = control.position;
    encoded[numbered("log_", i)] = encode(log[i]);
    encoded[numbered("outcome_", i)] = encode(control.apply(log[i]));
    encoded[numbered("update_", i)] =
        encode_wire<schema::TableUpdate>(control.state.changes_since(before));
  }
  encoded["update_full"] =
      encode_wire<schema::TableUpdate>(control.state.changes_since({}));
  encoded["snapshot"] = control.state.snapshot();
  encoded["report"] = encode_wire<schema::NodeReport>(sample_report());
  return encoded;
}

} // namespace toucanmill::support

#endif
