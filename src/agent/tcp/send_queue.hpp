#ifndef TOUCANMILL_SRC_AGENT_TCP_SEND_QUEUE_HPP
#define TOUCANMILL_SRC_AGENT_TCP_SEND_QUEUE_HPP

#include <cstddef>
#include <string>

#include <toucanmill/agent/tcp_stack.hpp>

namespace toucanmill::detail
{

/// Octets for the caller that the TCP stack has not accepted yet.
class send_queue
{
public:
  void push(std::string bytes);

  /// Sends as many octets as the connection accepts.
  void flush(tcp_connection& connection);

  void clear();

  std::size_t size() const
  {
    return bytes_.size() - sent_;
  }

private:
  std::string bytes_;
  std::size_t sent_ = 0;
};

} // namespace toucanmill::detail

#endif
