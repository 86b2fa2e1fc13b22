#include <toucanmill/agent/agent.hpp>

#include <thread>
#include <utility>

#include <toucanmill/base/clock.hpp>

#include "agent_runtime.hpp"

namespace toucanmill
{

struct agent::state
{
  detail::agent_runtime runtime;
  endpoint data;
  std::thread thread;

  template <class Function>
  void post(Function function)
  {
    asio::post(runtime.context(), std::move(function));
  }
};

result<std::unique_ptr<agent>> agent::start(agent_options options,
                                            claim_client& claims)
{
  BOOST_OUTCOME_TRY(channel, udp_channel::open(options.data));
  options.data = channel.local();
  options.dispatch.self = channel.local();
  std::unique_ptr<state> made(
      new state{{options, std::move(channel), claims}, options.data, {}});
  made->thread = std::thread(
      [&runtime = made->runtime]
      {
        runtime.run();
      });
  return std::unique_ptr<agent>(new agent(std::move(made)));
}

agent::agent(std::unique_ptr<state> state) : state_(std::move(state)) {}

agent::~agent()
{
  stop();
}

endpoint agent::data_endpoint() const
{
  return state_->data;
}

void agent::set_table(service_table table)
{
  state_->post(
      [&runtime = state_->runtime, table = std::move(table)]
      {
        runtime.set_table(table);
      });
}

void agent::confirmed()
{
  state_->post(
      [&runtime = state_->runtime, now = monotonic_now()]
      {
        runtime.set_confirmed(now);
      });
}

void agent::set_leaving(bool leaving)
{
  state_->post(
      [&runtime = state_->runtime, leaving]
      {
        runtime.set_leaving(leaving);
      });
}

void agent::stop()
{
  if (!state_->thread.joinable())
    return;
  state_->post(
      [&runtime = state_->runtime]
      {
        runtime.stop();
      });
  state_->thread.join();
}

agent_status agent::status() const
{
  return state_->runtime.status();
}

} // namespace toucanmill
