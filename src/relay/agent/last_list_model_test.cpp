#include "last_list_model_test.hpp"

#include <utility>

namespace toucanmill::relay_test
{

last_list_model::last_list_model(options chosen) : options_(chosen)
{
  start_upstream();
  start_agent();
  announce();
}

void last_list_model::start_agent()
{
  auto options = agent_options(now_);
  options.upstream.silence_limit = 4 * interval;
  options.max_tracked_visits = 256;
  agent_ = std::make_unique<relay_core>(options);
  agent_->set_configuration(routes_to(5, {{"notes", 1}}));
  stopping_ = false;
  if (!kept_.empty())
  {
    const auto& list =
        std::exchange(reads_older_, false)
            ? kept_[static_cast<std::size_t>(next_port_) % kept_.size()]
            : kept_.back();
    agent_->restore_flows(list, now_, *this);
  }
  if (std::exchange(stopped_as_planned_, false))
  {
    ++planned_starts_;
    check_start_ = now_ + interval;
  }
}

void last_list_model::end_agent(duration down_for)
{
  agent_.reset();
  check_start_.reset();
  starts_at_ = now_ + down_for + std::exchange(extra_down_, duration{0});
}

void last_list_model::keep_list()
{
  auto list = agent_->list_flows(now_);
  if (!(list == flow_list{}) && !std::exchange(loses_list_, false))
    kept_.push_back(std::move(list));
}

void last_list_model::start_upstream()
{
  ++upstream_starts_;
  born_ms_ =
      options_.states_birth ? milliseconds_of(now_.time_since_epoch()) : 0;
  calls_ = 0;
  next_call_ = now_;
  begun_.clear();
  open_.clear();
}

void last_list_model::announce()
{
  if (now_ < next_call_)
    return;
  next_call_ = now_ + interval;
  ++calls_;
  if (std::exchange(loses_call_, false) || !agent_)
    return;
  const auto number = options_.fault == list_fault::calls_share_their_number
                          ? (calls_ + 1) / 2
                          : calls_;
  const auto id = options_.reuses_id ? 0 : upstream_starts_;
  auto value = announcement(number, "i-" + std::to_string(id), born_ms_);
  value.slots = 1000;
  agent_->announce(value, milliseconds_of(now_.time_since_epoch()), now_,
                   *this);
  keep_list();
  if (!stopping_)
    return;
  stopped_as_planned_ = true;
  end_agent(interval / 2);
}

void last_list_model::visit_with(const flow_packet& packet)
{
  delivered_ = false;
  if (!agent_)
    return;
  const std::array<std::uint8_t, 1> octets{};
  auto message = visit();
  message.packet = {octets.data(), octets.size()};
  agent_->on_visit(message, packet, now_, *this);
}

void last_list_model::begin_flow()
{
  const auto port = next_port_++;
  visit_with(opening(port));
  if (!delivered_)
    return;
  begun_.insert(port);
  agent_->on_upstream_packet({}, acceptance(port), now_, *this);
}

void last_list_model::finish_flow()
{
  if (begun_.empty())
    return;
  const auto port = *begun_.begin();
  visit_with(data(port));
  if (!delivered_)
    return;
  begun_.erase(port);
  open_.insert(port);
  agent_->on_upstream_packet({}, answer(data(port)), now_, *this);
}

void last_list_model::deliver(byte_view, std::uint32_t tag)
{
  delivered_ = true;
  tag_ = tag;
}

void last_list_model::send(const endpoint&, const relay_header& header,
                           byte_view)
{
  was_denied_ = header.kind == relay_kind::missed && header.undecided == 0;
}

/// A balancer sends the packet of a flow that it does not remember.
void last_list_model::search_for_other_flow()
{
  constexpr std::uint16_t port = 60'000;
  visit_with(data(port));
  if (!delivered_)
    return;
  ++misplaced_;
  agent_->on_upstream_packet({}, bounced(data(port), tag_), now_, *this);
}

/// Asks the agent for each flow without its packet.
void last_list_model::check()
{
  if (!agent_)
    return;
  for (const auto* const flows : {&begun_, &open_})
    for (const auto port : *flows)
    {
      auto message = visit();
      message.header.locates = true;
      const auto key = encode(data(port).from_caller());
      message.packet = {key.data(), key.size()};
      was_denied_ = false;
      agent_->on_visit(message, std::nullopt, now_, *this);
      if (was_denied_ && denied_.empty())
        denied_ = "flow " + std::to_string(port) + " is denied";
    }
}

void last_list_model::check_start()
{
  if (!check_start_ || now_ < *check_start_)
    return;
  check_start_.reset();
  informed_starts_ += agent_->status(now_).knows_all_flows ? 1 : 0;
}

void last_list_model::take(list_step step)
{
  now_ += step_length;
  switch (step)
  {
  case list_step::none:
    break;
  case list_step::stop:
    if (agent_ && !stopping_)
      agent_->set_stopping();
    stopping_ = agent_ != nullptr;
    break;
  case list_step::kill:
    if (agent_)
      end_agent(interval / 2);
    break;
  case list_step::open_flow:
    begin_flow();
    finish_flow();
    break;
  case list_step::begin_flow:
    begin_flow();
    break;
  case list_step::finish_flow:
    finish_flow();
    break;
  case list_step::end_flow:
    if (!open_.empty())
      open_.erase(open_.begin());
    break;
  case list_step::restart_upstream:
    start_upstream();
    break;
  case list_step::lose_call:
    loses_call_ = true;
    break;
  case list_step::lose_list:
    loses_list_ = true;
    break;
  case list_step::read_older_list:
    reads_older_ = true;
    break;
  case list_step::stay_down:
    extra_down_ = interval;
    break;
  }
  if (!agent_ && now_ >= starts_at_)
    start_agent();
  announce();
  if (agent_)
    agent_->on_tick(now_, *this);
  search_for_other_flow();
  check();
  check_start();
}

} // namespace toucanmill::relay_test
