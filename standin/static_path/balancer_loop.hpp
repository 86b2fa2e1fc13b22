#ifndef TOUCANMILL_STATIC_PATH_BALANCER_LOOP_HPP
#define TOUCANMILL_STATIC_PATH_BALANCER_LOOP_HPP

#include <atomic>
#include <memory>
#include <thread>

#include <toucanmill/net/udp_channel.hpp>
#include <toucanmill/packet/gue.hpp>
#include <toucanmill/table/service_table.hpp>

namespace toucanmill::static_path
{

/// A minimal balancer for one service: announces itself to the fabric edge,
/// stamps each packet and sends it to the owner of its bucket.
class balancer_loop
{
public:
  balancer_loop(udp_channel channel, endpoint fabric,
                std::shared_ptr<const service_table> table);

  /// Stops the thread.
  ~balancer_loop();
  balancer_loop(const balancer_loop&) = delete;
  balancer_loop& operator=(const balancer_loop&) = delete;

  /// Any thread.
  void set_table(std::shared_ptr<const service_table> table);

private:
  void run();
  void announce();
  void forward(byte_view datagram, const endpoint& from);

  udp_channel channel_;
  endpoint fabric_;
  std::shared_ptr<const service_table> table_; ///< by std::atomic_load only
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

} // namespace toucanmill::static_path

#endif
