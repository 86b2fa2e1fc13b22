#include "options.hpp"

#include <cstdio>
#include <thread>

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>

#include <toucanmill/base/clock.hpp>

#include "explain.hpp"
#include "report.hpp"

namespace toucanmill::cli
{

namespace
{

result<operator_request> complete_request(operator_client& control,
                                          const change_options& options,
                                          operator_change change)
{
  operator_request request;
  request.request_id = options.request_id;
  if (request.request_id.empty())
    request.request_id =
        boost::uuids::to_string(boost::uuids::random_generator()());
  request.change = std::move(change);
  if (options.if_version)
    request.if_version = *options.if_version;
  else
  {
    BOOST_OUTCOME_TRY(present, control.services());
    request.if_version = present.version;
  }
  return request;
}

int run_change(operator_client& control, const change_options& options,
               operator_change change, bool json)
{
  const auto request = complete_request(control, options, std::move(change));
  if (!request)
    return fail(request.error());
  const auto outcome = control.change(request.value());
  if (!outcome)
    return fail(outcome.error());
  return report_outcome(outcome.value(), request.value().request_id, json);
}

struct change_command
{
  std::string name;
  std::string address;
  std::string kind = "stream";
  std::uint32_t buckets = 256;
  change_options options;
};

using make_change = std::function<operator_change(const change_command&)>;

endpoint checked_endpoint(const std::string& text)
{
  return parse_endpoint(text).value();
}

std::string check_endpoint(const std::string& text)
{
  const auto parsed = parse_endpoint(text);
  return parsed ? std::string() : parsed.error().message;
}

std::shared_ptr<change_command> add_change(CLI::App& parent, const char* name,
                                           const char* help, const char* footer,
                                           const common_options& common,
                                           run_function& run, make_change make)
{
  auto values = std::make_shared<change_command>();
  auto* command = parent.add_subcommand(name, help);
  command->footer(footer);
  command->add_option("name", values->name, "Name")->required();
  command->add_option("--request-id", values->options.request_id,
                      "Makes it safe to repeat the command; random if absent");
  command->add_option("--if-version", values->options.if_version,
                      "Only if the configuration has this version; without "
                      "it, the version read just before the change");
  command->callback(
      [values, &common, &run, make]
      {
        run = [values, &common, make](operator_client& control)
        {
          return run_change(control, values->options, make(*values),
                            common.json);
        };
      });
  return values;
}

void add_address(CLI::App& command, change_command& values)
{
  command.add_option("--address", values.address, "Public address:port")
      ->required()
      ->check(CLI::Validator(check_endpoint, "ADDRESS:PORT", "address"));
}

void declare_service_changes(CLI::App& service, const common_options& common,
                             run_function& run)
{
  auto created = add_change(
      service, "create", "Create a service",
      "Example: toucanmill service create charts --address 203.0.113.11:80 "
      "--kind http",
      common, run,
      [](const change_command& values) -> operator_change
      {
        return create_service{values.name, checked_endpoint(values.address),
                              values.kind == "http" ? service_kind::http
                                                    : service_kind::stream,
                              values.buckets};
      });
  auto& create = *service.get_subcommand("create");
  add_address(create, *created);
  create.add_option("--kind", created->kind, "stream or http")
      ->check(CLI::IsMember({"stream", "http"}));
  create.add_option("--buckets", created->buckets,
                    "Power of two from 16 to 4096");

  auto changed = add_change(
      service, "change", "Give a service another public address",
      "Example: toucanmill service change charts --address 203.0.113.12:80",
      common, run,
      [](const change_command& values) -> operator_change
      {
        return change_service{values.name, checked_endpoint(values.address)};
      });
  add_address(*service.get_subcommand("change"), *changed);

  add_change(service, "delete", "Delete a service",
             "Example: toucanmill service delete charts", common, run,
             [](const change_command& values) -> operator_change
             {
               return delete_service{values.name};
             });
}

void declare_service_reads(CLI::App& service, const common_options& common,
                           run_function& run)
{
  service.add_subcommand("list", "List the services")
      ->callback(
          [&common, &run]
          {
            run = [&common](operator_client& control)
            {
              return print(control.services(), common.json);
            };
          });
  auto name = std::make_shared<std::string>();
  auto* show = service.add_subcommand("show", "Show a service");
  show->add_option("name", *name, "Name")->required();
  show->callback(
      [&common, &run, name]
      {
        run = [&common, name](operator_client& control)
        {
          const auto list = control.services();
          if (!list)
            return fail(list.error());
          for (const auto& table : list.value().services)
            if (table.name == *name)
              return print(result<service_table>(table), common.json);
          return fail({error_code::not_found,
                       "service \"" + *name + "\" does not exist"});
        };
      });
}

void declare_node_changes(CLI::App& app, const common_options& common,
                          run_function& run)
{
  auto* upstream = app.add_subcommand("upstream", "Change an upstream");
  upstream->require_subcommand(1);
  add_change(*upstream, "drain", "Give an upstream no new work",
             "Example: toucanmill upstream drain defects-1", common, run,
             [](const change_command& values) -> operator_change
             {
               return drain_node{values.name};
             });
  add_change(*upstream, "restore", "End the drain of an upstream",
             "Example: toucanmill upstream restore defects-1", common, run,
             [](const change_command& values) -> operator_change
             {
               return restore_node{values.name};
             });
  auto* balancer = app.add_subcommand("balancer", "Change a balancer");
  balancer->require_subcommand(1);
  add_change(*balancer, "retire", "Withdraw a balancer and end it",
             "Example: toucanmill balancer retire balancer-2", common, run,
             [](const change_command& values) -> operator_change
             {
               return retire_node{values.name};
             });
}

void declare_evacuations(CLI::App& app, const common_options& common,
                         run_function& run)
{
  add_change(app, "evacuate",
             "Send no more new flows to the upstreams of a data centre",
             "Example: toucanmill evacuate spata --request-id drill-7", common,
             run,
             [](const change_command& values) -> operator_change
             {
               return evacuate_data_centre{values.name};
             });
  add_change(app, "restore", "Withdraw the evacuation of a data centre",
             "Example: toucanmill restore spata", common, run,
             [](const change_command& values) -> operator_change
             {
               return restore_data_centre{values.name};
             });
  app.add_subcommand("evacuations", "List the evacuated data centres")
      ->callback(
          [&common, &run]
          {
            run = [&common](operator_client& control)
            {
              return print(control.evacuations(), common.json);
            };
          });
}

int wait_in_force(operator_client& control, std::uint64_t index,
                  const common_options& common)
{
  const auto until =
      monotonic_now() + std::chrono::milliseconds(common.timeout_ms);
  for (;;)
  {
    const auto state = control.in_force(index);
    if (!state)
      return fail(state.error());
    const bool over = state.value().in_force || monotonic_now() >= until;
    if (over && common.json)
      std::cout << to_json(state.value()).dump(2) << "\n";
    if (state.value().in_force)
      return done;
    if (over)
    {
      std::cerr << "toucanmill: not in force at:";
      for (const auto& name : state.value().waiting)
        std::cerr << " " << name;
      std::cerr << "\n";
      return not_in_force;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
}

void declare_wait(CLI::App& app, const common_options& common,
                  run_function& run)
{
  auto index = std::make_shared<std::uint64_t>(0);
  auto* wait = app.add_subcommand(
      "wait", "Wait until a change is in force on every live node");
  wait->footer("Example: toucanmill wait --index 42");
  wait->add_option("--index", *index, "Log index that the change printed")
      ->required();
  wait->callback(
      [&common, &run, index]
      {
        run = [&common, index](operator_client& control)
        {
          return wait_in_force(control, *index, common);
        };
      });
}

struct explain_options
{
  std::string caller;
  std::string service;
};

int run_explain(operator_client& control, const explain_options& options,
                const common_options& common)
{
  const auto list = control.services();
  if (!list)
    return fail(list.error());
  const auto found = explain(list.value(), {checked_endpoint(options.caller),
                                            checked_endpoint(options.service)});
  if (!found)
    return fail(found.error());
  std::cout << (common.json ? found.value().dump(2) + "\n"
                            : explanation_text(found.value()));
  return done;
}

void declare_explain(CLI::App& app, const common_options& common,
                     run_function& run)
{
  auto options = std::make_shared<explain_options>();
  auto* command =
      app.add_subcommand("explain", "Which upstream a flow reaches, and why");
  command->footer("Example: toucanmill explain 10.0.0.1:40000 203.0.113.10:80");
  const CLI::Validator valid(check_endpoint, "ADDRESS:PORT", "endpoint");
  command->add_option("caller", options->caller, "Caller's address:port")
      ->required()
      ->check(valid);
  command->add_option("service", options->service, "Public address:port")
      ->required()
      ->check(valid);
  command->callback(
      [&common, &run, options]
      {
        run = [&common, options](operator_client& control)
        {
          return run_explain(control, *options, common);
        };
      });
}

result<std::vector<replica_address>>
changed_group(operator_client& control, const replica_address& member,
              bool remove)
{
  BOOST_OUTCOME_TRY(status, control.status());
  std::vector<replica_address> group;
  for (const auto& present : status.group)
    if (present.id != member.id)
      group.push_back(present);
  if (!remove)
    group.push_back(member);
  return group;
}

void declare_group(CLI::App& app, run_function& run)
{
  struct options
  {
    std::uint64_t id = 0;
    std::string rpc;
  };
  auto* group =
      app.add_subcommand("control", "Change the group of control instances");
  group->require_subcommand(1);
  const auto declare =
      [&run, group](const char* name, const char* help, bool voter, bool remove)
  {
    auto values = std::make_shared<options>();
    auto* command = group->add_subcommand(name, help);
    command->add_option("id", values->id, "Replica id")->required();
    if (!remove)
      command->add_option("--rpc", values->rpc, "RPC address:port")
          ->required()
          ->check(CLI::Validator(check_endpoint, "ADDRESS:PORT", "rpc"));
    command->callback(
        [&run, values, voter, remove]
        {
          run = [values, voter, remove](operator_client& control)
          {
            const replica_address member{{values->id},
                                         remove ? endpoint{}
                                                : checked_endpoint(values->rpc),
                                         voter};
            const auto group = changed_group(control, member, remove);
            if (!group)
              return fail(group.error());
            const auto changed = control.change_group(group.value());
            return changed ? int(done) : fail(changed.error());
          };
        });
  };
  declare("add", "Add an instance as a learner", false, false);
  declare("promote", "Let a learner vote", true, false);
  declare("remove", "Remove an instance", false, true);
}

} // namespace

void declare_commands(CLI::App& app, common_options& common, run_function& run)
{
  app.add_option("--control", common.control,
                 "RPC endpoints of control instances")
      ->envname("TOUCANMILL_CONTROL")
      ->delimiter(',')
      ->check(CLI::Validator(check_endpoint, "ADDRESS:PORT", "control"));
  app.add_option("--timeout-ms", common.timeout_ms, "Limit of the command");
  app.add_flag("--json", common.json, "Print JSON");
  app.add_option_function<std::string>(
         "--output",
         [&common](const std::string& format)
         {
           common.json = format == "json";
         },
         "text or json; json is the same as --json")
      ->check(CLI::IsMember({"text", "json"}));
  app.require_subcommand(1);
  app.fallthrough();

  auto* service = app.add_subcommand("service", "Read or change services");
  service->require_subcommand(1);
  declare_service_changes(*service, common, run);
  declare_service_reads(*service, common, run);
  declare_node_changes(app, common, run);
  declare_evacuations(app, common, run);
  app.add_subcommand("status", "Show control instances and nodes")
      ->callback(
          [&common, &run]
          {
            run = [&common](operator_client& control)
            {
              return print(control.status(), common.json);
            };
          });
  declare_wait(app, common, run);
  declare_explain(app, common, run);
  declare_configuration_commands(app, common, run);
  declare_trace(app, run);
  declare_group(app, run);
}

} // namespace toucanmill::cli
