#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include <boost/endian/conversion.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <toucanmill/base/invariant.hpp>
#include <toucanmill/relay/relay_message.hpp>

using namespace toucanmill;

namespace
{

// Layout of the header, as in relay_message.cpp.
constexpr std::size_t checksum_size = 4;
constexpr std::size_t flags_at = 7;
constexpr std::size_t stop_count_at = 34;
constexpr std::size_t endpoint_size = 6;
constexpr std::size_t fixed_size =
    max_relay_header - endpoint_size * visit_stops::capacity;

/// Flags that the decoder ignores.
constexpr std::uint8_t unused_flags = 0xE0;

/// Random octets hardly ever have the right checksum; without this no input
/// would get past it.
void repair_checksum(std::vector<std::uint8_t>& datagram)
{
  if (datagram.size() < fixed_size)
    return;
  const std::size_t size = fixed_size + endpoint_size * datagram[stop_count_at];
  if (datagram.size() < size)
    return;
  boost::endian::store_big_u32(
      datagram.data(),
      static_cast<std::uint32_t>(
          XXH3_64bits(datagram.data() + checksum_size, size - checksum_size)));
}

/// Stops refer to the list, and the packet is the rest of the datagram.
void check_ranges(const relay_message& message, byte_view datagram,
                  std::size_t header_size)
{
  const auto& header = message.header;
  TOUCANMILL_INVARIANT(
      header.stops.size <= visit_stops::capacity &&
          header.near_stops <= header.stops.size &&
          (header.best_stop == no_stop || header.best_stop < header.stops.size),
      "accepted stops are in the list");
  TOUCANMILL_INVARIANT(header.kind != relay_kind::visit ||
                           header.stop < header.stops.size,
                       "a visit has a stop");
  TOUCANMILL_INVARIANT(message.packet.data == datagram.data + header_size &&
                           message.packet.size + header_size == datagram.size,
                       "the packet is the rest of the datagram");
}

void check_message(byte_view datagram)
{
  const auto message = decode_relay_message(datagram);
  if (!message)
    return;
  const auto encoded = encode(message->header);
  check_ranges(*message, datagram, encoded.size);
  const auto again = decode_relay_message(encoded.view());
  TOUCANMILL_INVARIANT(again && again->header == message->header,
                       "an accepted header survives encoding");
  if ((datagram.data[flags_at] & unused_flags) == 0)
    TOUCANMILL_INVARIANT(std::equal(encoded.bytes.begin(),
                                    encoded.bytes.begin() + encoded.size,
                                    datagram.data),
                         "an accepted header encodes to the same octets");
  if (const auto flow = decode_flow(message->packet))
  {
    const auto body = encode(*flow);
    TOUCANMILL_INVARIANT(
        std::equal(body.begin(), body.end(), message->packet.data),
        "an accepted flow encodes to the same octets");
  }
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): the name is libFuzzer's.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
  check_message({data, size});
  std::vector<std::uint8_t> datagram(data, data + size);
  repair_checksum(datagram);
  check_message({datagram.data(), datagram.size()});
  return 0;
}
