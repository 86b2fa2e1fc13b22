#include <toucanmill/agent/tcp_stack.hpp>

#include <string>
#include <utility>

#include "tcp_stack_state.hpp"

namespace toucanmill
{

namespace
{

error to_error(err_t code, const std::string& failed_action)
{
  return {code == ERR_USE ? error_code::already_exists
                          : error_code::limit_reached,
          failed_action + ": " + lwip_strerr(code)};
}

} // namespace

std::uint8_t* packet_batch::append(const entry& addresses, std::size_t size)
{
  auto added = addresses;
  added.offset = buffer_.size();
  added.size = size;
  entries_.push_back(added);
  buffer_.resize(buffer_.size() + size);
  return buffer_.data() + added.offset;
}

tcp_stack::tcp_stack(tcp_stack_options options, std::function<void()> notify)
    : state_(
          std::make_unique<detail::tcp_stack_state>(options, std::move(notify)))
{
}

tcp_stack::~tcp_stack() = default;

result<void> tcp_stack::listen(const endpoint& address)
{
  const detail::core_guard guard;
  const auto error = state_->listen(address);
  if (error == ERR_OK)
    return outcome::success();
  return to_error(error, "cannot listen on " + to_string(address));
}

result<tcp_connection_ptr> tcp_stack::open(const endpoint& local,
                                           const endpoint& remote)
{
  const detail::core_guard guard;
  err_t error = ERR_OK;
  if (auto opened = state_->open(local, remote, error))
    return opened;
  return to_error(error, "cannot connect " + to_string(local) + " to " +
                             to_string(remote));
}

bool tcp_stack::inject(const tcp_packet& packet)
{
  const detail::core_guard guard;
  return state_->inject(packet);
}

void tcp_stack::send_reset(const tcp_packet& packet)
{
  const detail::core_guard guard;
  state_->send_reset(packet);
}

packet_batch tcp_stack::take_packets()
{
  const detail::core_guard guard;
  return state_->take_packets();
}

std::vector<tcp_event> tcp_stack::take_events()
{
  const detail::core_guard guard;
  return state_->take_events();
}

std::size_t tcp_stack::flow_count() const
{
  const detail::core_guard guard;
  return state_->flow_count();
}

std::uint64_t tcp_stack::dropped_packets() const
{
  const detail::core_guard guard;
  return state_->dropped_packets();
}

} // namespace toucanmill
