#include <cstddef>
#include <cstdint>
#include <cstring>

#include <toucanmill/base/invariant.hpp>
#include <toucanmill/packet/gue.hpp>

using namespace toucanmill;

namespace
{

/// The decoder accepts only what the encoder writes.
void check_encoding(const std::uint8_t* data, std::size_t size,
                    const gue_packet& packet)
{
  const auto header =
      packet.stamped ? encode_gue_header(packet.stamp) : encode_gue_header();
  TOUCANMILL_INVARIANT(
      header.size + packet.inner.size == size &&
          std::memcmp(header.bytes.data(), data, header.size) == 0,
      "an accepted header encodes to the same octets");
}

/// The payload must lie in the packet, which must lie in the datagram.
void check_packet(const gue_packet& outer, const tcp_packet& packet)
{
  TOUCANMILL_INVARIANT(packet.bytes.data == outer.inner.data &&
                           packet.bytes.size == outer.inner.size &&
                           packet.payload_size + 40U <= packet.bytes.size,
                       "an accepted packet fills the datagram");
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): the name is libFuzzer's.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
  const auto decoded = decode_gue({data, size});
  const auto* outer = std::get_if<gue_packet>(&decoded);
  if (outer == nullptr)
    return 0;
  check_encoding(data, size, *outer);
  const auto parsed = parse_tcp_packet(outer->inner);
  if (const auto* packet = std::get_if<tcp_packet>(&parsed))
    check_packet(*outer, *packet);
  return 0;
}
