#include "edge.hpp"

#include <utility>

namespace toucanmill::fabric_edge
{

namespace
{

constexpr std::uint32_t caller_network = 0x0A000000;
constexpr std::uint32_t caller_hosts = 0x00FFFFFF;
constexpr std::uint16_t first_port = 1024;

} // namespace

edge::edge(asio::io_context& context, fabric& network, std::uint64_t seed,
           counters& counts)
    : context_(context), fabric_(network), random_(seed), counts_(counts),
      stack_({},
             [this]
             {
               asio::post(context_,
                          [this]
                          {
                            process();
                          });
             })
{
  fabric_.start(
      [this](const tcp_packet& packet)
      {
        stack_.inject(packet);
      });
}

void edge::listen(const endpoint& local, const endpoint& service)
{
  const asio::ip::tcp::endpoint address(
      asio::ip::address_v4(local.address.value), local.port);
  listeners_.push_back(std::make_unique<listener>(
      listener{asio::ip::tcp::acceptor(context_, address), service}));
  accept(*listeners_.back());
}

void edge::accept(listener& from)
{
  from.acceptor.async_accept(
      [this, &from](std::error_code error, asio::ip::tcp::socket socket)
      {
        if (error == asio::error::operation_aborted)
          return;
        if (!error)
          open(std::move(socket), from.service);
        accept(from);
      });
}

void edge::open(asio::ip::tcp::socket socket, const endpoint& service)
{
  ++counts_.connections;
  auto opened = stack_.open(draw_caller(), service);
  if (!opened)
  {
    ++counts_.connections_refused;
    return;
  }
  auto connection = std::move(opened).value();
  auto* const key = connection.get();
  links_.emplace(key, std::make_shared<caller_link>(
                          std::move(socket), std::move(connection), counts_));
  counts_.connections_open = links_.size();
}

endpoint edge::draw_caller()
{
  std::uniform_int_distribution<std::uint32_t> host(1, caller_hosts - 1);
  std::uniform_int_distribution<std::uint16_t> port(first_port, 0xffff);
  const auto address = caller_network | host(random_);
  return {{address}, port(random_)};
}

void edge::process()
{
  const auto events = stack_.take_events();
  const auto packets = stack_.take_packets();
  for (const auto& entry : packets.entries())
    fabric_.send(packets.bytes(entry));
  fabric_.flush();
  for (const auto& event : events)
  {
    const auto found = links_.find(event.connection.get());
    if (found == links_.end())
      continue;
    const auto link = found->second;
    if (std::holds_alternative<tcp_closed>(event.what))
      links_.erase(found);
    link->handle(event);
  }
  counts_.connections_open = links_.size();
}

} // namespace toucanmill::fabric_edge
