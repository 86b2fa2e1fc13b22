#include <algorithm>
#include <utility>

#include <toucanmill/base/clock.hpp>

#include "agent_flow.hpp"
#include "agent_runtime.hpp"

namespace toucanmill::detail
{

void agent_flow::execute(send_to_caller& action)
{
  if (closed_)
    return;
  to_caller_.push(std::move(action.bytes));
  flush_to_caller();
}

void agent_flow::execute(finish_caller&)
{
  finish_requested_ = true;
  flush_to_caller();
}

void agent_flow::execute(reset_caller&)
{
  to_caller_.clear();
  connection_->reset();
}

void agent_flow::execute(connect_upstream&)
{
  if (upstream_)
    upstream_->close();
  upstream_ = std::make_shared<upstream_connection>(
      runtime_.context(), weak_from_this(), runtime_.read_buffer());
  upstream_->connect(runtime_.options().upstream,
                     runtime_.options().connect_timeout);
}

void agent_flow::execute(send_to_upstream& action)
{
  if (upstream_)
    upstream_->send(std::move(action.bytes));
}

void agent_flow::execute(finish_upstream&)
{
  if (upstream_)
    upstream_->finish();
}

void agent_flow::execute(close_upstream&)
{
  if (upstream_)
    upstream_->close();
  upstream_.reset();
}

void agent_flow::execute(request_slot& action)
{
  // A new request needs a new claim id: with the previous one its claim would
  // be granted as a repetition.
  claim_.reset();
  const auto answer = runtime_.slots().request(id_, action.deadline);
  if (answer == admission_answer::granted)
    handle(slot_granted{});
  else if (answer == admission_answer::refused)
    handle(slot_refused{runtime_.slots().retry_after()});
}

void agent_flow::execute(release_slot&)
{
  runtime_.slots().release(id_);
}

void agent_flow::execute(request_claim& action)
{
  if (!claim_)
    claim_ = runtime_.next_claim();
  claim_key_ = action.key;
  runtime_.claims().claim(
      {runtime_.service(), action.key}, *claim_, action.digest,
      runtime_.bind_to_flow<claim_status, std::string>(
          weak_from_this(),
          [id = *claim_](agent_flow& flow, claim_status status,
                         std::string answer)
          {
            if (flow.claim_ == id)
              flow.handle(claim_decided{status, std::move(answer)});
          }));
}

void agent_flow::execute(record_answer& action)
{
  if (!claim_)
    return;
  runtime_.claims().complete(
      {runtime_.service(), claim_key_}, *claim_, std::move(action.answer),
      runtime_.bind_to_flow<bool>(weak_from_this(),
                                  [id = *claim_](agent_flow& flow, bool stored)
                                  {
                                    if (flow.claim_ == id)
                                      flow.handle(claim_recorded{stored});
                                  }));
}

void agent_flow::execute(release_claim&)
{
  if (claim_)
    runtime_.claims().release({runtime_.service(), claim_key_}, *claim_);
  claim_.reset();
}

void agent_flow::execute(set_timer& action)
{
  const auto delay = std::max(action.at - monotonic_now(), duration::zero());
  timer_.expires_after(delay);
  timer_.async_wait(
      [self = weak_from_this()](std::error_code error)
      {
        if (const auto flow = self.lock(); flow && !error && !flow->closed_)
          flow->handle(timer_expired{});
      });
}

void agent_flow::execute(cancel_timer&)
{
  timer_.cancel();
}

void agent_flow::execute(count_event& action)
{
  runtime_.count_request(action.event);
}

} // namespace toucanmill::detail
