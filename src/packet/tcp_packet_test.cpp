#include "packet_builder_test.hpp"

#include <CppUTest/TestHarness.h>

using namespace toucanmill;
using namespace toucanmill::test;

namespace
{

packet_fault fault_of(const octets& packet)
{
  const auto parsed = parse_tcp_packet(view(packet));
  CHECK_TRUE(std::holds_alternative<packet_fault>(parsed));
  return std::get<packet_fault>(parsed);
}

/// Fault of a valid packet after one octet is set and the checksum updated.
packet_fault fault_with(std::size_t offset, std::uint8_t value)
{
  auto packet = build_packet(sample_flow, syn_flag, 100);
  packet[offset] = value;
  fix_checksum(packet);
  return fault_of(packet);
}

void check_fault(packet_fault expected, packet_fault actual)
{
  STRCMP_EQUAL(to_string(expected), to_string(actual));
}

} // namespace

TEST_GROUP(tcp_packet){};

// Guards against byte-order mistakes and wrong offsets.
TEST(tcp_packet, fields_of_a_valid_packet)
{
  const auto bytes = build_packet(sample_flow, syn_flag, 100);
  const auto parsed = parse_tcp_packet(view(bytes));
  const auto& packet = std::get<tcp_packet>(parsed);
  CHECK_TRUE(packet.flow == sample_flow);
  CHECK_EQUAL(0x01020304U, packet.sequence);
  CHECK_EQUAL(0x05060708U, packet.acknowledgement);
  CHECK_EQUAL(100U, packet.payload_size);
  CHECK_TRUE(packet.opens_flow());
  CHECK_EQUAL(bytes.size(), packet.bytes.size);
}

// Guards against a SYN+ACK that is treated as a new flow.
TEST(tcp_packet, only_a_bare_syn_opens_a_flow)
{
  const auto bytes = build_packet(sample_flow, syn_flag | ack_flag);
  const auto parsed = parse_tcp_packet(view(bytes));
  CHECK_FALSE(std::get<tcp_packet>(parsed).opens_flow());
}

// Guards against header options that are counted as payload.
TEST(tcp_packet, options_are_not_payload)
{
  auto bytes = build_packet(sample_flow, ack_flag, 100);
  bytes[0] = 0x46;
  bytes[20 + 4 + 12] = 0x60;
  bytes[20 + 4 + 13] = ack_flag;
  fix_checksum(bytes);
  const auto parsed = parse_tcp_packet(view(bytes));
  CHECK_EQUAL(92U, std::get<tcp_packet>(parsed).payload_size);
}

// Guards against delivery of a packet with inconsistent length fields.
TEST(tcp_packet, inconsistent_lengths_are_rejected)
{
  auto packet = build_packet(sample_flow, syn_flag, 100);
  packet.pop_back();
  check_fault(packet_fault::truncated, fault_of(packet));
  packet.resize(142);
  check_fault(packet_fault::bad_total_length, fault_of(packet));
  check_fault(packet_fault::truncated, fault_of({}));
  check_fault(packet_fault::truncated, fault_of(octets(19, 0x45)));
  check_fault(packet_fault::bad_header_length, fault_with(0, 0x44));
  check_fault(packet_fault::oversized,
              fault_of(build_packet(sample_flow, syn_flag, 1361)));
}

// Guards against delivery of fragments, corrupt headers and other protocols.
TEST(tcp_packet, other_protocols_and_fragments_are_rejected)
{
  check_fault(packet_fault::not_ipv4, fault_with(0, 0x65));
  check_fault(packet_fault::not_tcp, fault_with(9, 17));
  check_fault(packet_fault::fragment, fault_with(6, 0x20));
  check_fault(packet_fault::fragment, fault_with(7, 1));
  auto packet = build_packet(sample_flow, syn_flag);
  packet[8] ^= 1;
  check_fault(packet_fault::bad_header_checksum, fault_of(packet));
}

// Guards against a TCP header that lwIP or the flow hash would misinterpret.
TEST(tcp_packet, malformed_tcp_headers_are_rejected)
{
  check_fault(packet_fault::bad_tcp_header, fault_with(32, 0x40));
  check_fault(packet_fault::bad_tcp_header,
              fault_of(
                  []
                  {
                    auto packet = build_packet(sample_flow, syn_flag);
                    packet[32] = 0x60;
                    return packet;
                  }()));
  check_fault(packet_fault::bad_tcp_header, fault_with(33, 0x03));
  check_fault(packet_fault::bad_tcp_header, fault_with(33, 0x06));
  check_fault(packet_fault::bad_tcp_header,
              fault_of(build_packet({sample_flow.caller, {}}, syn_flag)));
}
