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

/// Connection to the control leader, as far as it is known. Must be used on a
/// single kj thread. After a failed call or a not-leader reply the owner calls
/// select_next_instance() or redirect() and decides whether to retry.
class control_channel
{
public:
  /// Timeout of one connection attempt. Regions are 25 ms apart; a powered-off
  /// instance never answers the attempt.
  static constexpr auto connect_timeout = 200 * kj::MILLISECONDS;

  /// Timeout of one call, after which an unresponsive connection is replaced.
  /// It is short because a change must be in force within 3 s.
  static constexpr auto call_timeout = 1 * kj::SECONDS;

  /// `endpoints` must not be empty.
  control_channel(kj::AsyncIoContext& io, std::vector<endpoint> endpoints);
  ~control_channel();

  /// Client of the current target instance; connects first if necessary. Calls
  /// during a connection attempt share it: a second connection would replace
  /// the first one and fail the calls on it.
  kj::Promise<schema::Control::Client> client();

  /// Changes with each selection of an instance.
  std::uint64_t generation() const
  {
    return generation_;
  }

  /// Replaces the instances to try; must not be empty. Keeps the current
  /// connection.
  void set_endpoints(std::vector<endpoint> endpoints);

  /// Closes the connection and selects the next instance, after the failure of
  /// a call that began at this generation. Does nothing if another instance was
  /// selected since: one failure of a connection fails all calls on it.
  void select_next_instance(std::uint64_t failed);

  /// Closes the connection and selects the hinted instance, or the next one if
  /// the port of the hint is 0.
  void redirect(const endpoint& hint);

  /// Rejects the promise with an exception if it takes longer than
  /// call_timeout.
  template <class T>
  kj::Promise<T> with_timeout(kj::Promise<T>&& promise)
  {
    return timer_.timeoutAfter(call_timeout, kj::mv(promise));
  }

private:
  void connect();
  void move_to_next_instance();
  void close_connection();

  kj::AsyncIoContext& io_;
  kj::Timer& timer_;
  std::vector<endpoint> endpoints_;
  std::size_t selected_ = 0; ///< index of the last selected endpoint
  endpoint target_;
  std::shared_ptr<rpc_connection> connection_;
  std::uint64_t generation_ = 0;
  kj::Maybe<kj::ForkedPromise<void>> connecting_;
  std::uint64_t connecting_generation_ = 0; ///< of connecting_
};

} // namespace toucanmill

#endif
