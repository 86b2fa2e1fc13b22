#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include <platform/packet_layout.hpp>
#include <toucanmill/base/invariant.hpp>

using namespace toucanmill;

namespace
{

constexpr std::size_t longest_request_id = 64;
constexpr std::uint32_t some_tag = 0xA1B2C3D4;

bool is_within(std::string_view part, byte_view whole)
{
  const auto* const first = reinterpret_cast<const char*>(whole.data);
  const std::less_equal<const char*> not_after;
  return part.empty() ||
         (not_after(first, part.data()) &&
          not_after(part.data() + part.size(), first + whole.size));
}

void check_data(const flow_packet& packet, byte_view bytes)
{
  TOUCANMILL_INVARIANT(platform::packet_head_size + packet.payload_size ==
                           bytes.size,
                       "an accepted packet fills the datagram");
  TOUCANMILL_INVARIANT(is_within(packet.request_id, bytes) &&
                           packet.request_id.size() <= longest_request_id,
                       "the id of a request is part of the packet");
  const auto status = packet.response_status;
  TOUCANMILL_INVARIANT(status == 0 || (status >= 100 && status <= 599),
                       "a status is valid or none");
  TOUCANMILL_INVARIANT(status == 0 || packet.request_id.empty(),
                       "a packet starts a request or a response");
}

/// A marked packet differs in its marks only, and can be restored.
void check_marks(const packet_codec& codec, const flow_packet& packet,
                 byte_view bytes)
{
  std::vector<std::uint8_t> copy(bytes.data, bytes.data + bytes.size);
  codec.set_tag(copy.data(), some_tag);
  const auto tagged = codec.parse({copy.data(), copy.size()});
  TOUCANMILL_INVARIANT(tagged && tagged->tag == some_tag &&
                           tagged->bounced == packet.bounced,
                       "a tag can be read back");
  codec.clear_marks(copy.data());
  const auto cleared = codec.parse({copy.data(), copy.size()});
  TOUCANMILL_INVARIANT(cleared && cleared->tag == 0 && !cleared->bounced,
                       "marks can be removed");
  TOUCANMILL_INVARIANT(cleared->from_caller() == packet.from_caller() &&
                           cleared->sequence == packet.sequence &&
                           cleared->acknowledged == packet.acknowledged &&
                           cleared->opens == packet.opens &&
                           cleared->accepts == packet.accepts &&
                           cleared->finishes == packet.finishes &&
                           cleared->resets == packet.resets &&
                           cleared->response_status == packet.response_status,
                       "marks change nothing else");
}

void check_reset(const packet_codec& codec, const flow_packet& packet)
{
  const auto bytes = codec.make_reset(packet.from_caller(), packet.sequence);
  const auto reset = codec.parse({bytes.data(), bytes.size()});
  TOUCANMILL_INVARIANT(reset && reset->resets && !reset->opens &&
                           reset->payload_size == 0 &&
                           reset->sequence == packet.sequence &&
                           reset->from_upstream() == packet.from_caller(),
                       "a reset ends the flow of the packet");
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): the name is libFuzzer's.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
  static const auto codec = platform::make_packet_codec();
  const byte_view bytes{data, size};
  const auto packet = codec->parse(bytes);
  if (!packet)
    return 0;
  check_data(*packet, bytes);
  check_marks(*codec, *packet, bytes);
  check_reset(*codec, *packet);
  return 0;
}
