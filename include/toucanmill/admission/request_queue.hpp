#ifndef TOUCANMILL_ADMISSION_REQUEST_QUEUE_HPP
#define TOUCANMILL_ADMISSION_REQUEST_QUEUE_HPP

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include <toucanmill/admission/waiting_list.hpp>

namespace toucanmill
{

/// Place of a packet's data in the stream of its flow.
struct data_range
{
  std::uint32_t begin = 0;
  std::uint32_t size = 0;

  bool operator==(const data_range& other) const
  {
    return begin == other.begin && size == other.size;
  }
  bool operator!=(const data_range& other) const
  {
    return !(*this == other);
  }
};

enum class hold_verdict : std::uint8_t
{
  held,
  merged, ///< already held; the packet is not needed
  full,
};

/// Requests of open flows and opening packets that wait at the agent. Counts
/// their data; the packets themselves are the caller's.
class request_queue
{
public:
  struct options
  {
    std::size_t max_data = 1 << 20; ///< octets, with packet_overhead for each
    std::size_t max_openings = 256;
    /// Callers give up an attempt 1.4 s after its first opening packet.
    duration max_opening_wait = std::chrono::milliseconds(1000);
    /// A caller has 16 packets in flight at most; small ones come on top.
    std::size_t max_packets_per_request = 64;
  };

  /// Memory of a held packet besides its data.
  static constexpr std::size_t packet_overhead = 384;

  explicit request_queue(options chosen) : options_(chosen) {}

  /// `service_time`: of one request; a request must start this much before its
  /// deadlines. `since`: its objective and limit count from then.
  hold_verdict add_request(const flow_key& flow, const waiting_terms& terms,
                           data_range data, duration service_time,
                           time_point since, time_point now);

  /// Further data of a flow whose request waits.
  hold_verdict add_data(const flow_key& flow, data_range data);

  /// full also if it could not be answered any more.
  hold_verdict add_opening(const flow_key& flow, const waiting_terms& terms,
                           duration service_time, time_point now);

  bool has_room_for_opening() const
  {
    return openings_.size() < options_.max_openings;
  }

  /// Removes a request.
  void remove_request(const flow_key& flow);

  /// Releases the request that requests().next() returned.
  waiting_entry take_request(const flow_key& flow);

  std::vector<waiting_entry> take_expired_requests(time_point now);

  waiting_list& requests()
  {
    return requests_;
  }
  const waiting_list& requests() const
  {
    return requests_;
  }
  waiting_list& openings()
  {
    return openings_;
  }
  const waiting_list& openings() const
  {
    return openings_;
  }

  bool empty() const
  {
    return requests_.empty() && openings_.empty();
  }

  /// Octets held, with packet_overhead for each packet.
  std::size_t data() const
  {
    return data_;
  }

private:
  bool has_room(data_range data) const;
  void forget_data(const flow_key& flow);

  options options_;
  waiting_list requests_;
  waiting_list openings_;
  std::unordered_map<flow_key, std::vector<data_range>> ranges_;
  std::size_t data_ = 0;
};

} // namespace toucanmill

#endif
