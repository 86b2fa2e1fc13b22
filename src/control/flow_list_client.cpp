#include "flow_list_client.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include <toucanmill/base/clock.hpp>
#include <toucanmill/base/hash.hpp>

#include "capnp_data.hpp"

namespace toucanmill::detail
{

namespace
{

/// Time until the instances are asked again after none of them kept the list:
/// they have no disk, or are of an earlier build.
constexpr duration refused_delay = std::chrono::seconds(10);

std::uint64_t score(const endpoint& instance, node_id node)
{
  const auto address =
      std::uint64_t{instance.address.value} << 16 | instance.port;
  return mix(mix(node.value) ^ mix(address));
}

} // namespace

std::vector<endpoint> order_keepers(std::vector<endpoint> instances,
                                    node_id node)
{
  std::sort(instances.begin(), instances.end(),
            [node](const endpoint& left, const endpoint& right)
            {
              return std::make_tuple(score(left, node), left) <
                     std::make_tuple(score(right, node), right);
            });
  return instances;
}

flow_list_client::flow_list_client(kj::AsyncIoContext& io,
                                   const node_callbacks& callbacks)
    : io_(io), callbacks_(callbacks), tasks_(*this)
{
}

void flow_list_client::set_instances(std::vector<endpoint> instances,
                                     node_id node)
{
  node_ = node;
  instances_ = order_keepers(std::move(instances), node);
  if (channel_ == nullptr && !instances_.empty())
    channel_ = std::make_unique<control_channel>(io_, instances_);
  selected_ = instances_.size(); // so that the next store selects the first
}

void flow_list_client::select(std::size_t instance)
{
  if (selected_ != instance)
    channel_->redirect(instances_[instance]);
  selected_ = instance;
}

void flow_list_client::on_answer()
{
  if (!callbacks_.make_flow_list || instances_.empty())
    return;
  if (phase_ == phase::starting)
  {
    phase_ = phase::fetching;
    tasks_.add(fetch(0));
    return;
  }
  if (phase_ != phase::idle || monotonic_now() < next_store_)
    return;
  if (auto list = callbacks_.make_flow_list(); !list.empty())
    unstored_ = std::move(list);
  if (unstored_.empty())
    return;
  phase_ = phase::storing;
  tasks_.add(store(unstored_));
}

kj::Promise<void> flow_list_client::fetch(std::size_t instance)
{
  if (instance >= instances_.size())
  {
    end_fetch({});
    return kj::READY_NOW;
  }
  select(instance);
  return channel_
      ->with_timeout(channel_->client().then(
          [this](schema::Control::Client control)
          {
            auto request = control.keptFlowsRequest();
            request.setNode(node_.value);
            return request.send().then(
                [](auto&& response)
                {
                  return to_string(response.getList());
                });
          }))
      .then(
          [this, instance](std::string list) -> kj::Promise<void>
          {
            if (list.empty())
              return fetch(instance + 1);
            end_fetch(std::move(list));
            return kj::READY_NOW;
          },
          // An instance that does not answer, or of an earlier build.
          [this, instance](kj::Exception&&)
          {
            return fetch(instance + 1);
          });
}

void flow_list_client::end_fetch(std::string list)
{
  phase_ = phase::idle;
  if (callbacks_.on_kept_flows)
    callbacks_.on_kept_flows(std::move(list));
}

kj::Promise<void> flow_list_client::store(const std::string& list)
{
  select(selected_ < instances_.size() ? selected_ : 0);
  return channel_
      ->with_timeout(channel_->client().then(
          [this, list](schema::Control::Client control)
          {
            auto request = control.keepFlowsRequest();
            request.setNode(node_.value);
            request.setList(to_data(list));
            return request.send().then(
                [](auto&& response)
                {
                  return response.getKept();
                });
          }))
      .then(
          [this](bool kept)
          {
            if (!kept)
              return on_not_kept();
            unstored_.clear();
            refusals_ = 0;
            phase_ = phase::idle;
            if (callbacks_.on_flow_list_kept)
              callbacks_.on_flow_list_kept();
          },
          [this](kj::Exception&&)
          {
            on_not_kept();
          });
}

void flow_list_client::on_not_kept()
{
  phase_ = phase::idle;
  if (instances_.empty())
    return;
  select((selected_ + 1) % instances_.size());
  if (++refusals_ % instances_.size() == 0)
  {
    next_store_ = monotonic_now() + refused_delay;
    return;
  }
  // A stopping node has no time to wait for its next report.
  phase_ = phase::storing;
  tasks_.add(store(unstored_));
}

void flow_list_client::taskFailed(kj::Exception&&)
{
  phase_ = phase::idle;
}

} // namespace toucanmill::detail
