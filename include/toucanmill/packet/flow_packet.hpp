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

/// What the system reads of a packet whose flow ends at the upstream.
struct flow_packet
{
  endpoint source;
  endpoint destination;
  bool opens = false;        ///< first packet of a flow
  bool accepts = false;      ///< answer to an opening packet
  bool acknowledges = false; ///< `acknowledged` is valid
  bool finishes = false;     ///< its sender sends no more data
  bool resets = false;
  bool bounced = false;           ///< returned by an upstream without the flow
  std::uint32_t sequence = 0;     ///< position of the data in the stream
  std::uint32_t acknowledged = 0; ///< opening packet: number of earlier copies
  std::uint32_t tag = 0; ///< comes back unchanged with a bounced packet
  std::uint16_t payload_size = 0; ///< octets of data

  /// Id of the request that starts in this packet; empty when none does, or
  /// its id is in a later packet. Points into the packet.
  std::string_view request_id;

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

/// How packets are laid out. Implementations know one layout and decide
/// nothing.
class packet_codec
{
public:
  virtual ~packet_codec() = default;

  /// None when the octets are not one whole packet.
  virtual std::optional<flow_packet> parse(byte_view packet) const = 0;

  /// Writes the tag into a packet that parse() accepted.
  virtual void set_tag(std::uint8_t* packet, std::uint32_t tag) const = 0;

  /// Restores a bounced or tagged packet to what its sender wrote.
  virtual void clear_marks(std::uint8_t* packet) const = 0;

  /// A reset of the flow, from its service to its caller.
  virtual std::vector<std::uint8_t>
  make_reset(const flow_key& flow, std::uint32_t sequence) const = 0;
};

} // namespace toucanmill

#endif
