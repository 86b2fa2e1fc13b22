#include <toucanmill/relay/relay_message.hpp>

#include <CppUTest/TestHarness.h>

#include <random>
#include <vector>

#include "../relay_fixture_test.hpp"

using namespace toucanmill;
using namespace toucanmill::relay_test;

namespace
{

relay_header sample()
{
  relay_header header;
  header.reason = miss_reason::refused;
  header.remembered = true;
  header.inconclusive = true;
  header.stage = 2;
  header.stop = 1;
  header.locates = true;
  header.undecided = 513;
  header.service = key_of_service("notes");
  header.configuration = 0x0123456789ABCDEF;
  header.table = 0xFEDCBA9876543210;
  header.balancer = endpoint_at(1, 7720);
  for (std::uint32_t i = 0; i < visit_stops::capacity; ++i)
    header.stops.add(endpoint_at(i + 2));
  return header;
}

} // namespace

TEST_GROUP(relay_message){};

TEST(relay_message, header_survives_encoding)
{
  const auto encoded = encode(sample());
  std::vector<std::uint8_t> datagram(encoded.bytes.begin(),
                                     encoded.bytes.begin() + encoded.size);
  datagram.push_back(7);
  const auto decoded = decode_relay_message({datagram.data(), datagram.size()});
  CHECK_TRUE(decoded.has_value());
  CHECK_TRUE(decoded->header == sample());
  CHECK_EQUAL(1U, decoded->packet.size);
}

// Guards against a corrupted datagram that is forwarded to a wrong agent, and
// against reads past its end (detected when run with the sanitizers).
TEST(relay_message, damaged_header_is_refused)
{
  const auto encoded = encode(sample());
  std::mt19937 random(1);
  for (int i = 0; i < 20000; ++i)
  {
    std::vector<std::uint8_t> datagram(encoded.bytes.begin(),
                                       encoded.bytes.begin() + encoded.size);
    datagram[random() % datagram.size()] ^=
        static_cast<std::uint8_t>(1U << random() % 8);
    if (random() % 2 == 0)
      datagram.resize(random() % datagram.size());
    CHECK_FALSE(
        decode_relay_message({datagram.data(), datagram.size()}).has_value());
  }
}

TEST(relay_message, flow_survives_encoding)
{
  const flow_key flow{caller(), public_address()};
  const auto bytes = encode(flow);
  CHECK_TRUE(*decode_flow({bytes.data(), bytes.size()}) == flow);
  CHECK_FALSE(decode_flow({bytes.data(), bytes.size() - 1}).has_value());
}
