#ifndef TOUCANMILL_FABRIC_EDGE_FABRIC_HPP
#define TOUCANMILL_FABRIC_EDGE_FABRIC_HPP

#include <asio.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <random>
#include <vector>

#include <toucanmill/net/udp_channel_reader.hpp>
#include <toucanmill/packet/gue.hpp>

#include "counters.hpp"

namespace toucanmill::fabric_edge
{

/// What happens to packets on their way to the balancers. Probabilities are 0
/// to 1.
struct impairments
{
  double duplicate = 0;
  double reorder = 0; ///< held back for up to max_reorder_delay
  double drop = 0;
  std::chrono::milliseconds delay{0}; ///< of each packet
};

/// Sprays packets over the balancers that announced themselves within the last
/// second, and takes announcements and replies.
class fabric
{
public:
  using clock = std::chrono::steady_clock;
  using reply_handler = std::function<void(const tcp_packet&)>;

  fabric(asio::io_context& context, udp_channel channel, impairments harm,
         std::uint64_t seed, counters& counts);

  /// Starts to receive.
  void start(reply_handler on_reply);

  void send(byte_view packet);

  /// Call after a series of send().
  void flush();

private:
  struct balancer
  {
    endpoint address;
    clock::time_point announced;
  };

  void on_datagram(byte_view datagram, const endpoint& from);
  void on_message(fabric_message message, const endpoint& from);
  bool happens(double probability);
  void send_one(byte_view packet);
  void hold(byte_view packet, clock::duration delay);
  void arm_timer();
  void release_due();
  void transmit(byte_view packet);

  udp_channel channel_;
  impairments harm_;
  std::mt19937_64 random_;
  counters& counts_;
  reply_handler on_reply_;
  std::vector<balancer> balancers_;
  std::multimap<clock::time_point, std::vector<std::uint8_t>> held_;
  asio::steady_timer timer_;
  udp_channel_reader reader_;
};

} // namespace toucanmill::fabric_edge

#endif
