#ifndef TOUCANMILL_LOAD_UPSTREAM_METER_HPP
#define TOUCANMILL_LOAD_UPSTREAM_METER_HPP

#include <cstddef>
#include <cstdint>

#include <toucanmill/base/time.hpp>

namespace toucanmill
{

/// Measures what an upstream bears, from the requests that its agent passes to
/// it and the responses that come back.
class upstream_meter
{
public:
  struct options
  {
    /// Assumed until the first response.
    duration initial_service_time = std::chrono::milliseconds(20);
  };

  explicit upstream_meter(options chosen) : options_(chosen) {}

  /// Requests that the upstream runs at once; at least 1.
  void set_slots(std::uint32_t slots);

  /// A new start of the upstream: forgets what was measured.
  void reset();

  /// A request was passed to the upstream.
  void on_request(time_point now);

  /// The first octet of the response to a request that was passed on at `sent`.
  /// `status`: of the HTTP response; 0: unknown.
  void on_response(time_point sent, std::uint16_t status, time_point now);

  /// A request that was passed on at `sent` ended without a response.
  void on_failure(time_point sent, time_point now);

  /// Requests passed on whose response has not begun.
  std::size_t in_progress() const
  {
    return in_progress_;
  }

  /// Mean time to serve one request, without waiting for a slot.
  duration service_time() const;

  /// Time until a request starts that has `ahead` requests before it, those in
  /// progress included.
  duration expected_wait(std::size_t ahead) const;

  /// Share of new flows that the upstream should get, above 0 and up to 1;
  /// below 1 after failures.
  double admitted_share(time_point now) const;

private:
  options options_;
  std::uint32_t slots_ = 1;
  std::size_t in_progress_ = 0;
};

} // namespace toucanmill

#endif
