#ifndef TOUCANMILL_PACKET_FLOW_PACKET_HPP
#define TOUCANMILL_PACKET_FLOW_PACKET_HPP

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include <toucanmill/base/flow.hpp>
#include <toucanmill/packet/tcp_packet.hpp>

namespace toucanmill
{

/// Whether a position of a stream comes after another. Positions wrap around,
/// so they are compared by their distance.
inline bool is_after(std::uint32_t left, std::uint32_t right)
{
  return static_cast<std::int32_t>(left - right) > 0;
}

/// Fields parsed from a packet of a flow that terminates at the upstream.
struct flow_packet
{
  endpoint source;
  endpoint destination;
  bool opens = false;        ///< requests a new flow
  bool accepts = false;      ///< reply that accepts an opening packet
  bool acknowledges = false; ///< `acknowledged` is valid
  bool finishes = false;     ///< its sender sends no more data
  bool resets = false;
  bool bounced = false;       ///< returned by an upstream that lacks the flow
  std::uint32_t sequence = 0; ///< position of the data in the stream

  /// Position up to which the sender has received the other direction; in an
  /// opening packet, its retransmission count.
  std::uint32_t acknowledged = 0;

  std::uint32_t tag = 0;          ///< echoed unchanged in a bounced packet
  std::uint16_t payload_size = 0; ///< octets of data

  /// Id of the request that starts in this packet; empty when no request
  /// starts here or its id is in a later packet. Points into the packet.
  std::string_view request_id;

  /// Status of the HTTP response that starts in this packet; 0: none starts
  /// here, or it is unreadable.
  std::uint16_t response_status = 0;

  /// The flow of a packet that a caller sent.
  flow_key from_caller() const
  {
    return {source, destination};
  }

  /// The flow of a packet that an upstream sent.
  flow_key from_upstream() const
  {
    return {destination, source};
  }
};

/// Parses and writes packets of one wire format. Implementations make no
/// routing decisions.
class packet_codec
{
public:
  virtual ~packet_codec() = default;

  /// std::nullopt unless the octets are exactly one complete packet.
  virtual std::optional<flow_packet> parse(byte_view packet) const = 0;

  /// Writes the tag into a packet that parse() accepted.
  virtual void set_tag(std::uint8_t* packet, std::uint32_t tag) const = 0;

  /// Clears the tag and the bounced flag, so that the packet is again as its
  /// sender wrote it.
  virtual void clear_marks(std::uint8_t* packet) const = 0;

  /// Builds a reset of the flow, sent from its service to its caller.
  virtual std::vector<std::uint8_t>
  make_reset(const flow_key& flow, std::uint32_t sequence) const = 0;
};

} // namespace toucanmill

#endif
