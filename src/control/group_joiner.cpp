#include "group_joiner.hpp"

#include <algorithm>

#include <toucanmill/cluster/wire.hpp>

namespace toucanmill::detail
{

namespace
{

/// Delay between join requests; short compared with the time that a new member
/// needs to catch up.
constexpr auto join_retry_interval = 300 * kj::MILLISECONDS;

/// Shutdown must not wait long for a leader: if the request fails, the group
/// removes the instance after voter_silence_timeout.
constexpr auto leave_timeout = 500 * kj::MILLISECONDS;
constexpr auto leave_retry_delay = 50 * kj::MILLISECONDS;
constexpr int max_leave_attempts = 4;

} // namespace

group_joiner::group_joiner(kj::AsyncIoContext& io, std::vector<endpoint> seeds,
                           join_request self, standing_callback on_standing)
    : timer_(io.provider->getTimer()), channel_(io, seeds),
      seeds_(std::move(seeds)), self_(self),
      on_standing_(std::move(on_standing)), tasks_(*this)
{
  tasks_.add(request_join_periodically());
}

void group_joiner::add_members(const std::vector<endpoint>& members)
{
  members_ = members;
  update_instances();
  if (enabled_ && !members.empty())
  {
    channel_.redirect(members.front());
    tasks_.add(request_join());
  }
}

void group_joiner::use_seeds(std::vector<endpoint> seeds)
{
  seeds_ = std::move(seeds);
  update_instances();
}

void group_joiner::update_instances()
{
  auto all = members_;
  for (const auto& seed : seeds_)
    if (std::find(all.begin(), all.end(), seed) == all.end())
      all.push_back(seed);
  if (!all.empty())
    channel_.set_endpoints(std::move(all));
}

void group_joiner::set_enabled(bool enabled)
{
  enabled_ = enabled;
}

kj::Promise<void> group_joiner::request_join_periodically()
{
  return (enabled_ ? request_join() : kj::Promise<void>(kj::READY_NOW))
      .then(
          [this]
          {
            return timer_.afterDelay(join_retry_interval);
          })
      .then(
          [this]
          {
            return request_join_periodically();
          });
}

kj::Promise<void> group_joiner::request_join()
{
  return channel_
      .with_timeout(channel_.client().then(
          [this](schema::Control::Client control)
          {
            auto request = control.joinRequest();
            wire::write(request.initReplica(), self_.replica);
            wire::write_formats(request.getReplica(), this_build());
            request.setInMemory(!self_.persists_log);
            return request.send().then(
                [this](auto&& response)
                {
                  if (response.hasNotLeader())
                    return channel_.redirect(
                        wire::read(response.getNotLeader().getHint()));
                  on_standing_(
                      static_cast<replica_standing>(response.getStanding()));
                });
          }))
      .catch_(
          [this, used = channel_.generation()](kj::Exception&&)
          {
            channel_.select_next_instance(used);
          });
}

kj::Promise<void> group_joiner::request_leave(int attempts_left)
{
  return channel_
      .with_timeout(channel_.client().then(
          [this](schema::Control::Client control)
          {
            auto request = control.leaveRequest();
            wire::write(request.initReplica(), self_.replica);
            return request.send().then(
                [this](auto&& response)
                {
                  if (!response.hasNotLeader())
                    return true;
                  channel_.redirect(
                      wire::read(response.getNotLeader().getHint()));
                  return false;
                });
          }))
      .catch_(
          [this, used = channel_.generation()](kj::Exception&&)
          {
            channel_.select_next_instance(used);
            return false;
          })
      .then(
          [this, attempts_left](bool answered) -> kj::Promise<void>
          {
            if (answered || attempts_left <= 1)
              return kj::READY_NOW;
            return timer_.afterDelay(leave_retry_delay)
                .then(
                    [this, attempts_left]
                    {
                      return request_leave(attempts_left - 1);
                    });
          });
}

void group_joiner::leave(std::function<void()> done)
{
  enabled_ = false;
  tasks_.add(
      timer_.timeoutAfter(leave_timeout, request_leave(max_leave_attempts))
          .catch_([](kj::Exception&&) {})
          .then(
              [done]
              {
                done();
              }));
}

void group_joiner::taskFailed(kj::Exception&&) {}

} // namespace toucanmill::detail
