#include "control_service.hpp"

#include <toucanmill/base/clock.hpp>
#include <toucanmill/cluster/wire.hpp>

#include "capnp_data.hpp"
#include "leader_hint.hpp"
#include "message_compression.hpp"
#include "status_message.hpp"
#include "wall_clock.hpp"

namespace toucanmill::detail
{

namespace
{

[[noreturn]] void fail_call(const error& why)
{
  kj::throwFatalException(kj::Exception(kj::Exception::Type::FAILED, __FILE__,
                                        __LINE__, kj::heapString(why.message)));
}

/// Holds a fulfiller that another thread completes. It is held by a shared
/// pointer because std::function requires copyable captures.
template <class T>
struct cross_thread_reply
{
  kj::Own<kj::CrossThreadPromiseFulfiller<T>> fulfiller;

  static std::pair<kj::Promise<T>, std::shared_ptr<cross_thread_reply>> make()
  {
    auto pair = kj::newPromiseAndCrossThreadFulfiller<T>();
    auto reply = std::make_shared<cross_thread_reply>();
    reply->fulfiller = kj::mv(pair.fulfiller);
    return {kj::mv(pair.promise), reply};
  }
};

/// The data centre that a change evacuates or restores; null: none.
const std::string* ordered_data_centre(const operator_change& change)
{
  if (const auto* evacuate = std::get_if<evacuate_data_centre>(&change))
    return &evacuate->data_centre;
  if (const auto* restore = std::get_if<restore_data_centre>(&change))
    return &restore->data_centre;
  return nullptr;
}

} // namespace

control_service::control_service(replicated_log& log, control_state& state,
                                 service_counters& counters,
                                 flow_archive& flows,
                                 invitation_callback on_invited)
    : log_(log), state_(state), counters_(counters), flows_(flows),
      on_invited_(std::move(on_invited))
{
}

template <class T, class Read>
kj::Promise<control_service::answer<T>>
control_service::read_as_leader(Read read)
{
  auto [promise, reply] = cross_thread_reply<answer<T>>::make();
  log_.confirm_read(
      [this, read, reply = reply](const result<table_version>& confirmed)
      {
        if (confirmed)
          reply->fulfiller->fulfill(answer<T>{read(monotonic_now()), {}});
        else
          reply->fulfiller->fulfill(
              answer<T>{confirmed.error(), leader_hint(log_)});
      });
  return kj::mv(promise);
}

kj::Promise<control_service::answer<command_outcome>>
control_service::propose(const command& value)
{
  auto [promise, reply] = cross_thread_reply<answer<command_outcome>>::make();
  log_.propose(encode(value),
               [this, reply = reply](const result<std::string>& applied)
               {
                 if (applied)
                   reply->fulfiller->fulfill(answer<command_outcome>{
                       decode_command_outcome(applied.value()), {}});
                 else
                   reply->fulfiller->fulfill(answer<command_outcome>{
                       applied.error(), leader_hint(log_)});
               });
  return kj::mv(promise);
}

/// Returns false if the reply has a value. Otherwise writes notLeader and
/// returns true, or fails the call with the error.
template <class Results, class T>
bool control_service::handle_failure(Results& results, const answer<T>& reply)
{
  if (reply.value)
    return false;
  if (reply.value.error().code != error_code::not_leader)
    fail_call(reply.value.error());
  ++counters_.not_leader;
  wire::write(results.initNotLeader().initHint(), reply.hint);
  return true;
}

/// Proposes a command whose outcome is not returned to the caller.
template <class Context>
kj::Promise<void> control_service::commit(Context context, const command& value)
{
  return propose(value).then(
      [this, context](const answer<command_outcome>& reply) mutable
      {
        auto results = context.getResults();
        handle_failure(results, reply);
      });
}

/// Proposes a command and returns its change_outcome to the caller.
template <class Context>
kj::Promise<void> control_service::answer_change(Context context,
                                                 const command& value)
{
  return propose(value).then(
      [this, context](const answer<command_outcome>& reply) mutable
      {
        auto results = context.getResults();
        if (!handle_failure(results, reply))
          wire::write(results.initOutcome(),
                      std::get<change_outcome>(reply.value.value()));
      });
}

/// Returns the parsed value; otherwise counts a malformed call and fails it.
template <class T>
T control_service::require_valid(result<T> parsed)
{
  if (parsed)
    return std::move(parsed.value());
  ++counters_.malformed;
  fail_call(parsed.error());
}

kj::Promise<void> control_service::change(ChangeContext context)
{
  ++counters_.changes;
  auto request = require_valid(wire::read(context.getParams().getChange()));
  request.wall_clock = wall_clock_seconds();
  const auto* data_centre = ordered_data_centre(request.change);
  if (data_centre == nullptr)
    return answer_change(context, request);
  return read_as_leader<std::optional<change_outcome>>(
             [this, name = *data_centre](time_point)
             {
               return state_.refuse_unknown(name);
             })
      .then(
          [this, context, request = std::move(request)](
              const answer<std::optional<change_outcome>>& checked) mutable
          -> kj::Promise<void>
          {
            auto results = context.getResults();
            if (handle_failure(results, checked))
              return kj::READY_NOW;
            const auto& refusal = checked.value.value();
            if (!refusal)
              return answer_change(context, request);
            wire::write(results.initOutcome(), *refusal);
            return kj::READY_NOW;
          });
}

kj::Promise<void> control_service::status(StatusContext context)
{
  using view_and_log = std::pair<control_view, replicated_log_status>;
  auto [promise, reply] = cross_thread_reply<view_and_log>::make();
  log_.post(
      [this, reply = reply]
      {
        reply->fulfiller->fulfill(
            view_and_log{state_.view(monotonic_now()), log_.status()});
      });
  return promise.then(
      [context](const view_and_log& found) mutable
      {
        write_status(context.getResults().initStatus(), found.first,
                     found.second);
      });
}

kj::Promise<void> control_service::services(ServicesContext context)
{
  return read_as_leader<control_view>(
             [this](time_point now)
             {
               return state_.view(now);
             })
      .then(
          [this, context](const answer<control_view>& reply) mutable
          {
            auto results = context.getResults();
            if (handle_failure(results, reply))
              return;
            const auto& view = reply.value.value();
            results.setVersion(view.configuration_version);
            auto list = results.initServices(view.services.size());
            for (unsigned i = 0; i < view.services.size(); ++i)
              wire::write(list[i], view.services[i]);
          });
}

kj::Promise<void> control_service::inForce(InForceContext context)
{
  using names = std::vector<std::string>;
  const auto index = context.getParams().getIndex();
  return read_as_leader<names>(
             [this, index](time_point now)
             {
               return state_.waiting_for(index, now);
             })
      .then(
          [this, context](const answer<names>& reply) mutable
          {
            auto results = context.getResults();
            if (handle_failure(results, reply))
              return;
            const auto& waiting = reply.value.value();
            results.setInForce(waiting.empty());
            auto list = results.initWaiting(waiting.size());
            for (unsigned i = 0; i < waiting.size(); ++i)
              list.set(i, waiting[i]);
          });
}

kj::Promise<void> control_service::report(ReportContext context)
{
  ++counters_.reports;
  auto report = require_valid(wire::read(context.getParams().getReport()));
  return read_as_leader<report_reply>(
             [this, report = std::move(report)](time_point now)
             {
               return state_.on_report(report, now);
             })
      .then(
          [this, context](const answer<report_reply>& reply) mutable
          {
            auto results = context.getResults();
            if (handle_failure(results, reply))
              return;
            const auto& value = reply.value.value();
            if (value.refusal)
            {
              ++counters_.refused_builds;
              fail_call(*value.refusal);
            }
            auto to = results.initReply();
            wire::write(to.initUpdate(), value.update);
            to.setFormerMarked(true);
            to.setOrder(wire::to_schema(value.order));
            to.setService(value.service.value);
            to.setLife(value.life.value);
            auto members =
                to.initMembers(static_cast<unsigned>(value.members.size()));
            for (unsigned i = 0; i < members.size(); ++i)
              wire::write(members[i], value.members[i]);
          });
}

kj::Promise<void> control_service::claim(ClaimContext context)
{
  ++counters_.claims;
  auto request = require_valid(wire::read(context.getParams().getClaim()));
  request.wall_clock = wall_clock_seconds();
  return propose(request).then(
      [this, context](const answer<command_outcome>& reply) mutable
      {
        auto results = context.getResults();
        if (handle_failure(results, reply))
          return;
        const auto& outcome = std::get<claim_outcome>(reply.value.value());
        results.setVerdict(wire::to_schema(outcome.verdict));
        results.setAnswer(to_data(outcome.answer));
      });
}

kj::Promise<void> control_service::complete(CompleteContext context)
{
  const auto params = context.getParams();
  const auto request = require_valid(wire::read(params.getClaim()));
  return commit(context, claim_completion{request.key, request.claim,
                                          to_string(params.getAnswer())});
}

kj::Promise<void> control_service::release(ReleaseContext context)
{
  const auto request =
      require_valid(wire::read(context.getParams().getClaim()));
  return commit(context, claim_release{request.key, request.claim});
}

kj::Promise<void> control_service::step(StepContext context)
{
  const auto params = context.getParams();
  auto message = to_string(params.getMessage());
  if (const auto size = params.getSize(); size != 0)
    message = require_valid(decompress(message, size));
  log_.receive(std::move(message));
  context.getResults().setAcceptsCompressed(true);
  return kj::READY_NOW;
}

kj::Promise<void> control_service::changeGroup(ChangeGroupContext context)
{
  std::vector<replica_address> group;
  for (const auto member : context.getParams().getGroup())
    group.push_back(wire::read(member));
  auto [promise, reply] = cross_thread_reply<answer<std::string>>::make();
  log_.change_group(
      std::move(group),
      [this, reply = reply](const result<std::string>& done)
      {
        reply->fulfiller->fulfill(answer<std::string>{done, leader_hint(log_)});
      });
  return promise.then(
      [this, context](const answer<std::string>& done) mutable
      {
        auto results = context.getResults();
        if (!handle_failure(results, done))
          results.setMessage(done.value.value());
      });
}

kj::Promise<void> control_service::declare(DeclareContext context)
{
  ++counters_.changes;
  return answer_change(
      context,
      declare_configuration{wire::read(context.getParams().getConfiguration()),
                            state_.settled_index()});
}

kj::Promise<void> control_service::declared(DeclaredContext context)
{
  return read_as_leader<configuration>(
             [this](time_point)
             {
               return state_.declared();
             })
      .then(
          [this, context](const answer<configuration>& reply) mutable
          {
            auto results = context.getResults();
            if (!handle_failure(results, reply))
              wire::write(results.initConfiguration(), reply.value.value());
          });
}

kj::Promise<void> control_service::evacuations(EvacuationsContext context)
{
  using found = std::vector<evacuation>;
  return read_as_leader<found>(
             [this](time_point)
             {
               return state_.evacuations();
             })
      .then(
          [this, context](const answer<found>& reply) mutable
          {
            auto results = context.getResults();
            if (handle_failure(results, reply))
              return;
            const auto& values = reply.value.value();
            auto list = results.initEvacuations(values.size());
            for (unsigned i = 0; i < values.size(); ++i)
              wire::write(list[i], values[i]);
          });
}

kj::Promise<void> control_service::join(JoinContext context)
{
  const auto params = context.getParams();
  const join_request joining{wire::read(params.getReplica()),
                             !params.getInMemory()};
  const auto formats = wire::read_formats(params.getReplica());
  auto [promise, reply] = cross_thread_reply<answer<replica_standing>>::make();
  log_.confirm_read(
      [this, joining, formats,
       reply = reply](const result<table_version>& confirmed)
      {
        if (!confirmed)
          return reply->fulfiller->fulfill(
              answer<replica_standing>{confirmed.error(), leader_hint(log_)});
        if (const auto refusal = state_.refuse_build(
                "control " + to_string(joining.replica.id), formats))
        {
          ++counters_.refused_builds;
          return reply->fulfiller->fulfill(
              answer<replica_standing>{*refusal, {}});
        }
        advance_join(
            joining,
            [reply](replica_standing standing)
            {
              reply->fulfiller->fulfill(answer<replica_standing>{standing, {}});
            });
      });
  return promise.then(
      [this, context](const answer<replica_standing>& found) mutable
      {
        auto results = context.getResults();
        if (!handle_failure(results, found))
          results.setStanding(
              static_cast<schema::Standing>(found.value.value()));
      });
}

kj::Promise<void> control_service::leave(LeaveContext context)
{
  const auto leaving = wire::read(context.getParams().getReplica());
  auto [promise, reply] = cross_thread_reply<answer<bool>>::make();
  log_.confirm_read(
      [this, leaving, reply = reply](const result<table_version>& confirmed)
      {
        if (!confirmed)
          return reply->fulfiller->fulfill(
              answer<bool>{confirmed.error(), leader_hint(log_)});
        auto next = plan_leave(log_.status(), leaving.id, state_.group());
        if (!next)
          return reply->fulfiller->fulfill(answer<bool>{false, {}});
        log_.change_group(
            std::move(*next),
            [reply](const result<std::string>& changed)
            {
              reply->fulfiller->fulfill(answer<bool>{changed.has_value(), {}});
            });
      });
  return promise.then(
      [this, context](const answer<bool>& done) mutable
      {
        auto results = context.getResults();
        handle_failure(results, done);
      });
}

kj::Promise<void> control_service::invite(InviteContext context)
{
  std::vector<endpoint> members;
  for (const auto member : context.getParams().getMembers())
    members.push_back(wire::read(member));
  if (!members.empty())
    on_invited_(std::move(members));
  return kj::READY_NOW;
}

kj::Promise<void> control_service::keepFlows(KeepFlowsContext context)
{
  const auto params = context.getParams();
  const auto list = params.getList().asChars();
  const bool kept =
      flows_.keep({params.getNode()}, {list.begin(), list.size()});
  counters_.flow_lists += kept ? 1 : 0;
  context.getResults().setKept(kept);
  return kj::READY_NOW;
}

kj::Promise<void> control_service::keptFlows(KeptFlowsContext context)
{
  const auto list = flows_.find({context.getParams().getNode()});
  context.getResults().setList(to_data(list));
  return kj::READY_NOW;
}

void control_service::advance_join(const join_request& joining,
                                   std::function<void(replica_standing)> done)
{
  auto step = plan_join(log_.status(), joining, state_.group());
  if (!step.next)
    return done(step.standing);
  log_.change_group(std::move(*step.next),
                    [standing = step.standing, done](const result<std::string>&)
                    {
                      // A failed step is retried with the next join request.
                      done(standing);
                    });
}

} // namespace toucanmill::detail
