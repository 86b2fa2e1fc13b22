#include "agent_runtime.hpp"

#include <utility>

#include <toucanmill/base/clock.hpp>

namespace toucanmill::detail
{

namespace
{

/// Maximum octets per read from an upstream; equals the send buffer of a flow.
constexpr std::size_t read_buffer_size = 65536;

std::mt19937_64 seeded_generator()
{
  std::random_device device;
  std::seed_seq seed{device(), device(), device(), device()};
  return std::mt19937_64(seed);
}

} // namespace

agent_runtime::agent_runtime(agent_options options, udp_channel channel,
                             claim_client& claims)
    : options_(options), channel_(std::move(channel)),
      reader_(
          context_, channel_,
          [this](byte_view datagram, const endpoint&)
          {
            on_datagram(datagram);
          },
          [this]
          {
            process_stack();
          }),
      claims_(claims), dispatch_(options.dispatch),
      slots_(context_, options.admission, counts_,
             [this](const admission_change& change)
             {
               on_admission_change(change);
             }),
      budget_(options.http.retry_ratio), read_buffer_(read_buffer_size),
      claim_id_generator_(seeded_generator()),
      stack_(options.tcp,
             [this]
             {
               asio::post(context_,
                          [this]
                          {
                            process_stack();
                          });
             })
{
}

void agent_runtime::run()
{
  const auto work = asio::make_work_guard(context_);
  reader_.start();
  context_.run();
}

void agent_runtime::on_event(const tcp_event& event)
{
  if (std::holds_alternative<tcp_established>(event.what))
    return start_flow(event.connection);
  if (std::holds_alternative<tcp_closed>(event.what))
    return end_flow(event);
  if (const auto found = flows_.find(event.connection.get());
      found != flows_.end())
  {
    const auto flow = found->second;
    flow->on_caller_event(event);
  }
}

void agent_runtime::start_flow(const tcp_connection_ptr& connection)
{
  const session_id id{++last_session_};
  auto session = kind_ == service_kind::http
                     ? make_http_session(options_.http, budget_)
                     : make_stream_session();
  const auto flow =
      std::make_shared<agent_flow>(*this, id, connection, std::move(session));
  flows_[connection.get()] = flow;
  sessions_[id] = flow;
  ++counts_.new_flows;
  counts_.open_flows = flows_.size();
  flow->handle(caller_bytes{});
  if (leaving_)
    flow->handle(drain_started{});
}

/// Also handles flows whose handshake was never completed.
void agent_runtime::end_flow(const tcp_event& event)
{
  const auto& connection = *event.connection;
  dispatch_.on_flow_closed({connection.remote(), connection.local()});
  const auto found = flows_.find(event.connection.get());
  if (found == flows_.end())
    return;
  const auto flow = found->second;
  flow->on_caller_event(event);
  sessions_.erase(flow->id());
  flows_.erase(event.connection.get());
  counts_.open_flows = flows_.size();
}

void agent_runtime::on_admission_change(const admission_change& change)
{
  const auto found = sessions_.find(change.session);
  const auto flow = found == sessions_.end() ? nullptr : found->second.lock();
  if (flow && change.granted)
    flow->handle(slot_granted{});
  else if (flow)
    flow->handle(slot_refused{slots_.retry_after()});
}

void agent_runtime::set_table(service_table table)
{
  dispatch_.on_table(table);
  if (dispatch_.version() != table.version)
    return;
  kind_ = table.kind;
  service_ = table.id;
  const auto listening = stack_.listen(table.address);
  has_table_ =
      listening || listening.error().code == error_code::already_exists;
  publish_holdings();
}

void agent_runtime::set_confirmed(time_point now)
{
  dispatch_.on_confirmed(now);
}

void agent_runtime::set_leaving(bool leaving)
{
  const bool before = std::exchange(leaving_, leaving);
  dispatch_.set_leaving(leaving);
  if (before || !leaving)
    return;
  const auto flows = flows_;
  for (const auto& [connection, flow] : flows)
    flow->handle(drain_started{});
}

void agent_runtime::stop()
{
  const auto flows = flows_;
  for (const auto& [connection, flow] : flows)
  {
    if (flow->busy())
      ++counts_.interrupted;
    flow->reset();
  }
  process_stack();
  context_.stop();
}

void agent_runtime::count_busy(bool busy)
{
  if (busy)
    ++counts_.busy_sessions;
  else
    --counts_.busy_sessions;
}

void agent_runtime::count_request(request_event event)
{
  ++counts_.requests[static_cast<std::size_t>(event)];
}

void agent_runtime::publish_holdings()
{
  if (dispatch_.take_holdings_changes().empty() &&
      held_version_ == dispatch_.version())
    return;
  auto buckets = dispatch_.held_buckets();
  const std::lock_guard lock(holdings_mutex_);
  held_version_ = dispatch_.version();
  held_buckets_ = std::move(buckets);
}

agent_status agent_runtime::status() const
{
  agent_status value;
  value.counts = counts_.snapshot();
  value.open_flows = counts_.open_flows;
  value.busy_sessions = counts_.busy_sessions;
  value.slots_in_use = counts_.slots_in_use;
  value.queue_length = counts_.queue_length;
  const std::lock_guard lock(holdings_mutex_);
  value.version = held_version_;
  value.held_buckets = held_buckets_;
  return value;
}

} // namespace toucanmill::detail
