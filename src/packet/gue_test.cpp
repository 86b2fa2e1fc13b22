#include "packet_builder_test.hpp"

#include <CppUTest/TestHarness.h>

using namespace toucanmill;
using namespace toucanmill::test;

namespace
{

const char* decode_outcome(const octets& datagram)
{
  const auto decoded = decode_gue(view(datagram));
  const auto* fault = std::get_if<packet_fault>(&decoded);
  return fault != nullptr ? to_string(*fault) : "accepted";
}

octets stamped(const route_stamp& stamp)
{
  return encapsulate(encode_gue_header(stamp), octets(40, 'x'));
}

} // namespace

TEST_GROUP(gue){};

// Guards against stamp fields that are lost or altered by encode and decode.
TEST(gue, stamp_round_trip_keeps_every_field)
{
  for (std::uint8_t holders = 1; holders <= stamped_chain::capacity; ++holders)
  {
    const auto stamp = sample_stamp(holders);
    const auto datagram = stamped(stamp);
    const auto decoded = decode_gue(view(datagram));
    const auto& packet = std::get<gue_packet>(decoded);
    CHECK_TRUE(packet.stamped);
    CHECK_TRUE(packet.stamp == stamp);
    CHECK_EQUAL(40U, packet.inner.size);
    CHECK_TRUE(packet.inner.data == datagram.data() + datagram.size() - 40);
  }
}

// Guards against rejecting datagrams of the fabric edge, which have no stamp.
TEST(gue, plain_header_has_no_stamp)
{
  const auto datagram = encapsulate(encode_gue_header(), octets(40, 'x'));
  const auto decoded = decode_gue(view(datagram));
  CHECK_FALSE(std::get<gue_packet>(decoded).stamped);
  CHECK_EQUAL(40U, std::get<gue_packet>(decoded).inner.size);
}

// Guards against an announcement that is decoded as a withdrawal.
TEST(gue, fabric_message_round_trip)
{
  for (const auto message :
       {fabric_message::announce, fabric_message::withdraw})
  {
    const auto datagram = encapsulate(encode_fabric_message(message), {});
    CHECK_TRUE(std::get<fabric_message>(decode_gue(view(datagram))) == message);
  }
}

// Guards against a corrupted stamp that sends a packet to the wrong agent.
TEST(gue, stamp_with_any_changed_octet_is_rejected)
{
  const auto valid = stamped(sample_stamp(3));
  for (std::size_t i = 4; i < valid.size() - 40; ++i)
  {
    auto datagram = valid;
    datagram[i] ^= 0x01;
    STRCMP_EQUAL("bad_stamp", decode_outcome(datagram));
  }
}

// Guards against indexes beyond the chain and endless forwarding loops.
TEST(gue, stamp_fields_out_of_range_are_rejected)
{
  auto stamp = sample_stamp(3);
  stamp.position = 3;
  STRCMP_EQUAL("bad_stamp", decode_outcome(stamped(stamp)));
  stamp = sample_stamp(3);
  stamp.hops = route_stamp::max_hops + 1;
  STRCMP_EQUAL("bad_stamp", decode_outcome(stamped(stamp)));
  stamp = sample_stamp(3);
  stamp.chain.suspects = 0x08;
  STRCMP_EQUAL("bad_stamp", decode_outcome(stamped(stamp)));
  stamp = sample_stamp(3);
  stamp.purpose = static_cast<stamp_purpose>(3);
  STRCMP_EQUAL("bad_stamp", decode_outcome(stamped(stamp)));
  stamp = sample_stamp(1);
  stamp.chain = {};
  stamp.position = 0;
  STRCMP_EQUAL("bad_stamp", decode_outcome(stamped(stamp)));
}

// Guards against accepting encapsulations other than IPv4 in GUE variant 0.
TEST(gue, unsupported_headers_are_rejected)
{
  const auto with = [](std::size_t offset, std::uint8_t value)
  {
    auto datagram = encapsulate(encode_gue_header(), octets(40, 'x'));
    datagram[offset] = value;
    return decode_outcome(datagram);
  };
  STRCMP_EQUAL("bad_encapsulation_version", with(0, 0x40));
  STRCMP_EQUAL("bad_encapsulation_version", with(0, 0x80));
  STRCMP_EQUAL("bad_encapsulation_header", with(0, 0x20));
  STRCMP_EQUAL("bad_encapsulation_header", with(2, 0x80));
  STRCMP_EQUAL("not_ipv4", with(1, 41));
  STRCMP_EQUAL("truncated", with(0, 0x1F));
  STRCMP_EQUAL("truncated", decode_outcome({0, 4, 0}));
  STRCMP_EQUAL("oversized", decode_outcome(encapsulate(encode_gue_header(),
                                                       octets(1401, 0))));
}
