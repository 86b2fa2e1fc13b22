#include "send_queue.hpp"

#include <string_view>
#include <utility>

namespace toucanmill::detail
{

void send_queue::push(std::string bytes)
{
  if (size() == 0)
  {
    bytes_ = std::move(bytes);
    sent_ = 0;
    return;
  }
  bytes_.erase(0, std::exchange(sent_, 0));
  bytes_ += bytes;
}

void send_queue::flush(tcp_connection& connection)
{
  if (size() == 0)
    return;
  sent_ += connection.send(std::string_view(bytes_).substr(sent_));
  if (size() == 0)
    clear();
}

void send_queue::clear()
{
  // Releases the memory, because most flows are idle.
  bytes_ = std::string();
  sent_ = 0;
}

} // namespace toucanmill::detail
