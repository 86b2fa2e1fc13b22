#include "group_joiner.hpp"

#include <algorithm>

#include <toucanmill/cluster/wire.hpp>

namespace toucanmill::detail
{

namespace
{

/// Pause between two requests; the time to catch up dominates.
constexpr auto ask_interval = 300 * kj::MILLISECONDS;

/// A stop must not wait long for a leader; the silence limit of the group does
/// the same later.
constexpr auto leave_limit = 500 * kj::MILLISECONDS;
constexpr auto leave_pause = 50 * kj::MILLISECONDS;
constexpr int leave_attempts = 4;

} // namespace

group_joiner::group_joiner(kj::AsyncIoContext& io, std::vector<endpoint> others,
                           join_request self, standing_callback on_standing)
    : timer_(io.provider->getTimer()), channel_(io, others),
      seeds_(std::move(others)), self_(self),
      on_standing_(std::move(on_standing)), tasks_(*this)
{
  tasks_.add(ask_forever());
}

void group_joiner::add_members(const std::vector<endpoint>& members)
{
  auto all = members;
  for (const auto& seed : seeds_)
    if (std::find(all.begin(), all.end(), seed) == all.end())
      all.push_back(seed);
  channel_.set_endpoints(std::move(all));
  if (needed_ && !members.empty())
  {
    channel_.redirect(members.front());
    tasks_.add(ask());
  }
}

void group_joiner::set_needed(bool needed)
{
  needed_ = needed;
}

kj::Promise<void> group_joiner::ask_forever()
{
  return (needed_ ? ask() : kj::Promise<void>(kj::READY_NOW))
      .then(
          [this]
          {
            return timer_.afterDelay(ask_interval);
          })
      .then(
          [this]
          {
            return ask_forever();
          });
}

kj::Promise<void> group_joiner::ask()
{
  return channel_
      .limited(channel_.client().then(
          [this](schema::Control::Client control)
          {
            auto request = control.joinRequest();
            wire::write(request.initReplica(), self_.replica);
            request.setInMemory(!self_.stores);
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
          [this](kj::Exception&&)
          {
            channel_.move_on();
          });
}

kj::Promise<void> group_joiner::ask_to_leave(int attempts)
{
  return channel_
      .limited(channel_.client().then(
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
          [this](kj::Exception&&)
          {
            channel_.move_on();
            return false;
          })
      .then(
          [this, attempts](bool answered) -> kj::Promise<void>
          {
            if (answered || attempts <= 1)
              return kj::READY_NOW;
            return timer_.afterDelay(leave_pause)
                .then(
                    [this, attempts]
                    {
                      return ask_to_leave(attempts - 1);
                    });
          });
}

void group_joiner::leave(std::function<void()> done)
{
  needed_ = false;
  tasks_.add(timer_.timeoutAfter(leave_limit, ask_to_leave(leave_attempts))
                 .catch_([](kj::Exception&&) {})
                 .then(
                     [done]
                     {
                       done();
                     }));
}

void group_joiner::taskFailed(kj::Exception&&) {}

} // namespace toucanmill::detail
