#ifndef TOUCANMILL_FABRIC_EDGE_EDGE_HPP
#define TOUCANMILL_FABRIC_EDGE_EDGE_HPP

#include <array>
#include <asio.hpp>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include <toucanmill/agent/tcp_stack.hpp>

#include "counters.hpp"
#include "fabric.hpp"

namespace toucanmill::fabric_edge
{

/// A caller's ordinary TCP connection and its connection in user space. Kept
/// alive by pending operations and by the edge until the flow is closed.
class caller_link : public std::enable_shared_from_this<caller_link>
{
public:
  caller_link(asio::ip::tcp::socket socket, tcp_connection_ptr connection,
              counters& counts);

  void handle(const tcp_event& event);

private:
  void read_caller();
  void send_to_service();
  void write_caller();
  void on_service_bytes(const std::string& bytes);
  void on_closed(tcp_end reason);
  void close_when_done();
  void abort_caller();

  asio::ip::tcp::socket socket_;
  tcp_connection_ptr connection_;
  counters& counts_;
  std::array<char, 16384> piece_{};
  std::string to_service_; ///< read from the caller, not yet accepted below
  std::string to_caller_;
  std::string writing_;
  bool established_ = false;
  bool caller_finished_ = false;
  bool service_finished_ = false;
};

/// Accepts callers and gives each a synthetic address in 10.0.0.0/8.
class edge
{
public:
  edge(asio::io_context& context, fabric& network, std::uint64_t seed,
       counters& counts);

  /// Callers of this local port reach the public address.
  void listen(const endpoint& local, const endpoint& service);

private:
  struct listener
  {
    asio::ip::tcp::acceptor acceptor;
    endpoint service;
  };

  void accept(listener& from);
  void open(asio::ip::tcp::socket socket, const endpoint& service);
  endpoint draw_caller();
  void process();

  asio::io_context& context_;
  fabric& fabric_;
  std::mt19937_64 random_;
  counters& counts_;
  std::vector<std::unique_ptr<listener>> listeners_;
  std::unordered_map<tcp_connection*, std::shared_ptr<caller_link>> links_;
  tcp_stack stack_;
};

} // namespace toucanmill::fabric_edge

#endif
