#include <toucanmill/control/operator_client.hpp>

#include <toucanmill/base/clock.hpp>
#include <toucanmill/cluster/wire.hpp>
#include <toucanmill/control/control_channel.hpp>

namespace toucanmill
{

namespace
{

constexpr auto retry_delay = 100 * kj::MILLISECONDS;

result<node_overview> read_node(schema::NodeStatus::Reader from)
{
  BOOST_OUTCOME_TRY(identity, wire::read(from.getIdentity()));
  BOOST_OUTCOME_TRY(state, wire::read(from.getState()));
  BOOST_OUTCOME_TRY(order, wire::read(from.getOrder()));
  node_overview out;
  out.live = {
      identity.id,     from.getLeaseValid(), wire::read(from.getApplied()),
      from.getFlows(), from.getBusySlots(),  wire::read_formats(from)};
  out.record = {std::move(identity), state, order, {}};
  return out;
}

result<system_status> read_status(schema::Status::Reader from)
{
  system_status out;
  out.self = {from.getSelf()};
  out.leader = {from.getLeader()};
  out.term = from.getTerm();
  out.commit_index = from.getCommitIndex();
  out.applied_index = from.getAppliedIndex();
  out.last_index = from.getLastIndex();
  out.snapshot_index = from.getSnapshotIndex();
  out.configuration_version = from.getConfigurationVersion();
  out.claims = from.getClaims();
  for (const auto member : from.getGroup())
  {
    out.group.push_back(wire::read(member));
    out.formats.push_back(wire::read_formats(member));
  }
  out.format = std::max(from.getFormatVersion(), first_format_version);
  out.halted = from.getHalted().cStr();
  for (const auto name : from.getHeldBackBy())
    out.held_back_by.emplace_back(name.cStr());
  for (const auto node : from.getNodes())
  {
    BOOST_OUTCOME_TRY(overview, read_node(node));
    out.nodes.push_back(std::move(overview));
  }
  return out;
}

endpoint leader_of(const system_status& status)
{
  for (const auto& member : status.group)
    if (member.id == status.leader)
      return member.rpc;
  return {};
}

class operator_client_impl final : public operator_client
{
public:
  operator_client_impl(std::vector<endpoint> control, duration timeout)
      : io_(kj::setupAsyncIo()), channel_(io_, std::move(control)),
        timeout_(timeout)
  {
  }

  // The destructor of the base class is noexcept, but those of kj may throw.
  ~operator_client_impl() noexcept override
  {
    // Connections that the channel closed are destroyed by the event loop, and
    // must not outlive it.
    io_.waitScope.poll();
  }

  result<change_outcome> change(const operator_request& value) override
  {
    return retry_until_answered<change_outcome>(
        [&](schema::Control::Client& control)
        {
          auto request = control.changeRequest();
          wire::write(request.initChange(), value);
          return request.send();
        },
        [](auto&& response)
        {
          return wire::read(response.getOutcome());
        });
  }

  result<service_list> services() override
  {
    return retry_until_answered<service_list>(
        [](schema::Control::Client& control)
        {
          return control.servicesRequest().send();
        },
        [](auto&& response) -> result<service_list>
        {
          service_list out;
          out.version = response.getVersion();
          for (const auto item : response.getServices())
          {
            BOOST_OUTCOME_TRY(table, wire::read(item));
            out.services.push_back(std::move(table));
          }
          return out;
        });
  }

  result<in_force_state> in_force(std::uint64_t index) override
  {
    return retry_until_answered<in_force_state>(
        [index](schema::Control::Client& control)
        {
          auto request = control.inForceRequest();
          request.setIndex(index);
          return request.send();
        },
        [](auto&& response) -> result<in_force_state>
        {
          in_force_state out;
          out.in_force = response.getInForce();
          for (const auto name : response.getWaiting())
            out.waiting.emplace_back(name.cStr());
          return out;
        });
  }

  result<change_outcome> declare(const configuration& value) override
  {
    return retry_until_answered<change_outcome>(
        [&](schema::Control::Client& control)
        {
          auto request = control.declareRequest();
          wire::write(request.initConfiguration(), value);
          return request.send();
        },
        [](auto&& response)
        {
          return wire::read(response.getOutcome());
        });
  }

  result<configuration> declared() override
  {
    return retry_until_answered<configuration>(
        [](schema::Control::Client& control)
        {
          return control.declaredRequest().send();
        },
        [](auto&& response)
        {
          return result<configuration>(wire::read(response.getConfiguration()));
        });
  }

  result<evacuation_list> evacuations() override
  {
    return retry_until_answered<evacuation_list>(
        [](schema::Control::Client& control)
        {
          return control.evacuationsRequest().send();
        },
        [](auto&& response) -> result<evacuation_list>
        {
          evacuation_list out;
          for (const auto item : response.getEvacuations())
            out.evacuations.push_back(wire::read(item));
          return out;
        });
  }

  result<system_status> status() override
  {
    const auto deadline = monotonic_now() + timeout_;
    for (;;)
    {
      const auto found = attempt_status();
      if (found && found.value().leader == found.value().self)
        return found;
      if (monotonic_now() >= deadline)
        return found ? found : unavailable();
      channel_.redirect(found ? leader_of(found.value()) : endpoint{});
      wait_before_retry();
    }
  }

  result<void> change_group(const std::vector<replica_address>& group) override
  {
    return retry_until_answered<void>(
        [&](schema::Control::Client& control)
        {
          auto request = control.changeGroupRequest();
          auto list = request.initGroup(group.size());
          for (unsigned i = 0; i < group.size(); ++i)
            wire::write(list[i], group[i]);
          return request.send();
        },
        [](auto&&) -> result<void>
        {
          return outcome::success();
        });
  }

private:
  result<system_status> attempt_status()
  {
    try
    {
      auto control = channel_.client().wait(io_.waitScope);
      const auto response =
          channel_
              .with_timeout(control.statusRequest().send().then(
                  [](auto&& found)
                  {
                    return read_status(found.getStatus());
                  }))
              .wait(io_.waitScope);
      return response;
    }
    catch (const kj::Exception& failure)
    {
      last_failure_ = failure.getDescription().cStr();
      return unavailable();
    }
  }

  /// Retries a call until the leader answers it or the timeout expires.
  template <class T, class Send, class Read>
  result<T> retry_until_answered(Send send, Read read)
  {
    const auto deadline = monotonic_now() + timeout_;
    for (;;)
    {
      if (auto answer = attempt<T>(send, read))
        return std::move(*answer);
      if (monotonic_now() >= deadline)
        return unavailable();
      wait_before_retry();
    }
  }

  template <class T, class Send, class Read>
  std::optional<result<T>> attempt(Send& send, Read& read)
  {
    const auto used = channel_.generation();
    try
    {
      auto control = channel_.client().wait(io_.waitScope);
      auto call = send(control).then(
          [&](auto&& response) -> std::optional<result<T>>
          {
            if (!response.hasNotLeader())
              return read(response);
            channel_.redirect(wire::read(response.getNotLeader().getHint()));
            last_failure_ = "instance is not the leader";
            return std::nullopt;
          });
      return channel_.with_timeout(kj::mv(call)).wait(io_.waitScope);
    }
    catch (const kj::Exception& failure)
    {
      last_failure_ = failure.getDescription().cStr();
      channel_.select_next_instance(used);
      return std::nullopt;
    }
  }

  void wait_before_retry()
  {
    io_.provider->getTimer().afterDelay(retry_delay).wait(io_.waitScope);
  }

  error unavailable() const
  {
    return {error_code::unavailable,
            "control did not answer in time: " + last_failure_};
  }

  kj::AsyncIoContext io_;
  control_channel channel_;
  duration timeout_;
  std::string last_failure_;
};

} // namespace

std::unique_ptr<operator_client>
operator_client::connect(std::vector<endpoint> control, duration timeout)
{
  return std::make_unique<operator_client_impl>(std::move(control), timeout);
}

} // namespace toucanmill
