#ifndef TOUCANMILL_CONTROL_CONTROL_CHANNEL_HPP
#define TOUCANMILL_CONTROL_CONTROL_CHANNEL_HPP

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include <kj/async-io.h>
#include <toucanmill.capnp.h>

#include <toucanmill/base/address.hpp>
#include <toucanmill/control/rpc_connection.hpp>

namespace toucanmill
{

/// Connection to the control instance that leads, as far as known. Lives on one
/// kj thread. A call that fails or meets a follower moves the channel to the
/// hint or to the next instance; the caller decides whether to repeat it.
class control_channel
{
public:
  /// Limit of one connection attempt. Regions are 25 ms apart; an instance
  /// without power swallows the attempt.
  static constexpr auto connect_timeout = 200 * kj::MILLISECONDS;

  /// Limit of one call. A connection that went silent is replaced after it, and
  /// a change must be in force within 3 s.
  static constexpr auto call_timeout = 1 * kj::SECONDS;

  /// endpoints must not be empty.
  control_channel(kj::AsyncIoContext& io, std::vector<endpoint> endpoints);
  ~control_channel();

  /// The instance that the channel points to, connecting first when needed.
  kj::Promise<schema::Control::Client> client();

  /// Instances to try from now on; not empty. Keeps the present connection.
  void set_endpoints(std::vector<endpoint> endpoints);

  /// Drops the connection and moves to the next instance.
  void move_on();

  /// Drops the connection and moves to the hint, or to the next instance when
  /// the hint has port 0.
  void redirect(const endpoint& hint);

  /// Ends a promise that takes longer than call_timeout with an exception.
  template <class T>
  kj::Promise<T> limited(kj::Promise<T>&& promise)
  {
    return timer_.timeoutAfter(call_timeout, kj::mv(promise));
  }

private:
  void drop();

  kj::AsyncIoContext& io_;
  kj::Timer& timer_;
  std::vector<endpoint> endpoints_;
  std::size_t next_ = 0;
  endpoint target_;
  std::shared_ptr<rpc_connection> connection_;
};

} // namespace toucanmill

#endif
