#include "packet_builder_test.hpp"

#include <CppUTest/TestHarness.h>

using namespace toucanmill;
using namespace toucanmill::test;

namespace
{

const char* outcome_of(const octets& datagram)
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

// Guards against a stamp that means something else at the other end.
TEST(gue, every_field_of_a_stamp_survives)
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

// Guards against datagrams of the fabric edge that are refused.
TEST(gue, plain_header_has_no_stamp)
{
  const auto datagram = encapsulate(encode_gue_header(), octets(40, 'x'));
  const auto decoded = decode_gue(view(datagram));
  CHECK_FALSE(std::get<gue_packet>(decoded).stamped);
  CHECK_EQUAL(40U, std::get<gue_packet>(decoded).inner.size);
}

// Guards against an announcement that is read as a withdrawal.
TEST(gue, fabric_messages_survive)
{
  for (const auto message :
       {fabric_message::announce, fabric_message::withdraw})
  {
    const auto datagram = encapsulate(encode_fabric_message(message), {});
    CHECK_TRUE(std::get<fabric_message>(decode_gue(view(datagram))) == message);
  }
}

// Guards against a corrupted stamp that sends a packet to another agent.
TEST(gue, any_changed_octet_of_a_stamp_is_refused)
{
  const auto good = stamped(sample_stamp(3));
  for (std::size_t i = 4; i < good.size() - 40; ++i)
  {
    auto datagram = good;
    datagram[i] ^= 0x01;
    STRCMP_EQUAL("bad_stamp", outcome_of(datagram));
  }
}

// Guards against fields that index beyond the chain or loop indefinitely.
TEST(gue, stamp_fields_out_of_range_are_refused)
{
  auto stamp = sample_stamp(3);
  stamp.position = 3;
  STRCMP_EQUAL("bad_stamp", outcome_of(stamped(stamp)));
  stamp = sample_stamp(3);
  stamp.hops = route_stamp::max_hops + 1;
  STRCMP_EQUAL("bad_stamp", outcome_of(stamped(stamp)));
  stamp = sample_stamp(3);
  stamp.chain.suspects = 0x08;
  STRCMP_EQUAL("bad_stamp", outcome_of(stamped(stamp)));
  stamp = sample_stamp(3);
  stamp.purpose = static_cast<stamp_purpose>(3);
  STRCMP_EQUAL("bad_stamp", outcome_of(stamped(stamp)));
  stamp = sample_stamp(1);
  stamp.chain = {};
  stamp.position = 0;
  STRCMP_EQUAL("bad_stamp", outcome_of(stamped(stamp)));
}

// Guards against acceptance of other encapsulations.
TEST(gue, headers_of_other_kinds_are_refused)
{
  const auto with = [](std::size_t offset, std::uint8_t value)
  {
    auto datagram = encapsulate(encode_gue_header(), octets(40, 'x'));
    datagram[offset] = value;
    return outcome_of(datagram);
  };
  STRCMP_EQUAL("bad_encapsulation_version", with(0, 0x40));
  STRCMP_EQUAL("bad_encapsulation_version", with(0, 0x80));
  STRCMP_EQUAL("bad_encapsulation_header", with(0, 0x20));
  STRCMP_EQUAL("bad_encapsulation_header", with(2, 0x80));
  STRCMP_EQUAL("not_ipv4", with(1, 41));
  STRCMP_EQUAL("truncated", with(0, 0x1F));
  STRCMP_EQUAL("truncated", outcome_of({0, 4, 0}));
  STRCMP_EQUAL("oversized",
               outcome_of(encapsulate(encode_gue_header(), octets(1401, 0))));
}
