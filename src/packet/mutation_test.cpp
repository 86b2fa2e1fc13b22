#include "packet_builder_test.hpp"

#include <CppUTest/TestHarness.h>

#include <cstdlib>
#include <cstring>
#include <memory>
#include <random>

using namespace toucanmill;
using namespace toucanmill::test;

namespace
{

constexpr unsigned datagrams_per_seed = 120000;

using random_engine = std::mt19937_64;

std::size_t random_below(random_engine& random, std::size_t limit)
{
  return static_cast<std::size_t>(random() % limit);
}

octets valid_inner_packet(random_engine& random)
{
  return build_packet(sample_flow, static_cast<std::uint8_t>(random()),
                      random_below(random, 1361));
}

octets valid_datagram(random_engine& random, const octets& inner)
{
  switch (random_below(random, 6))
  {
  case 0:
    return encapsulate(encode_gue_header(), inner);
  case 1:
    return encapsulate(encode_fabric_message(fabric_message::announce), {});
  default:
    const auto holders = static_cast<std::uint8_t>(1 + random_below(random, 8));
    return encapsulate(encode_gue_header(sample_stamp(holders)), inner);
  }
}

void mutate(random_engine& random, octets& bytes)
{
  static constexpr std::uint8_t boundary_values[] = {0, 1, 0x7F, 0x80, 0xFF};
  if (bytes.empty())
    return;
  // Most parser faults are in headers, so half of the changes go there.
  const std::size_t range = random_below(random, 2) == 0
                                ? bytes.size()
                                : std::min<std::size_t>(bytes.size(), 48);
  switch (random_below(random, 6))
  {
  case 0:
    bytes.resize(random_below(random, bytes.size() + 1));
    break;
  case 1:
    bytes.resize(bytes.size() + random_below(random, 200), 0xA5);
    break;
  case 2:
    bytes[random_below(random, range)] =
        boundary_values[random_below(random, std::size(boundary_values))];
    break;
  case 3:
    bytes[random_below(random, range)] = static_cast<std::uint8_t>(random());
    break;
  default:
    bytes[random_below(random, range)] ^=
        static_cast<std::uint8_t>(1U << random_below(random, 8));
  }
}

/// Mutates the inner packet, the encapsulation, both or neither. Half of the
/// mutated inner headers get a valid checksum, so that later checks run.
octets mutated_datagram(random_engine& random)
{
  auto inner = valid_inner_packet(random);
  if (random_below(random, 2) == 0)
  {
    mutate(random, inner);
    if (inner.size() >= 20 && random_below(random, 2) == 0)
      fix_checksum(inner);
  }
  auto datagram = valid_datagram(random, inner);
  for (auto mutations = random_below(random, 4); mutations != 0; --mutations)
    mutate(random, datagram);
  return datagram;
}

/// Checks the guarantees of parse_tcp_packet() independently of its code.
bool is_valid_tcp_packet(const octets& inner)
{
  if (inner.size() < 40 || inner.size() > max_inner_packet)
    return false;
  const std::size_t ip_length = (inner[0] & 0x0F) * 4U;
  const std::size_t tcp_length = (inner[ip_length + 12] >> 4) * 4U;
  const auto sum = ipv4_checksum(inner, ip_length);
  return inner[0] >> 4 == 4 && ip_length >= 20 && tcp_length >= 20 &&
         ip_length + tcp_length <= inner.size() &&
         inner[2] * 256U + inner[3] == inner.size() && inner[9] == 6 &&
         (inner[6] & 0x3F) == 0 && inner[7] == 0 &&
         inner[10] * 256U + inner[11] == sum;
}

void check_header_round_trip(const octets& datagram, const gue_packet& packet)
{
  const auto header =
      packet.stamped ? encode_gue_header(packet.stamp) : encode_gue_header();
  CHECK_EQUAL(datagram.size(), header.size + packet.inner.size);
  MEMCMP_EQUAL(header.bytes.data(), datagram.data(), header.size);
}

struct outcome_counts
{
  std::array<unsigned, packet_fault_count> faults{};
  unsigned messages = 0;
  unsigned delivered = 0;

  void count(packet_fault fault)
  {
    ++faults.at(static_cast<std::size_t>(fault));
  }
};

void check_datagram(const octets& datagram, outcome_counts& counts)
{
  // An allocation of the exact size lets the sanitizer detect any overread.
  const std::unique_ptr<std::uint8_t[]> exact(
      new std::uint8_t[datagram.size()]);
  std::copy(datagram.begin(), datagram.end(), exact.get());
  const auto decoded = decode_gue({exact.get(), datagram.size()});
  if (const auto* fault = std::get_if<packet_fault>(&decoded))
    return counts.count(*fault);
  if (std::holds_alternative<fabric_message>(decoded))
  {
    ++counts.messages;
    return;
  }
  const auto& packet = std::get<gue_packet>(decoded);
  check_header_round_trip(datagram, packet);
  const auto parsed = parse_tcp_packet(packet.inner);
  if (const auto* fault = std::get_if<packet_fault>(&parsed))
    return counts.count(*fault);
  ++counts.delivered;
  const octets inner(packet.inner.data, packet.inner.data + packet.inner.size);
  CHECK_TRUE(is_valid_tcp_packet(inner));
}

unsigned seed_count()
{
  const char* text = std::getenv("TOUCANMILL_SEEDS");
  return text == nullptr ? 1 : static_cast<unsigned>(std::atoi(text));
}

} // namespace

TEST_GROUP(mutation){};

// Guards against overreads, crashes and delivery of malformed datagrams, and
// against a packet_fault that no input produces.
TEST(mutation, malformed_datagrams_are_counted_and_never_delivered)
{
  for (unsigned seed = 1; seed <= seed_count(); ++seed)
  {
    random_engine random(seed);
    outcome_counts counts;
    for (unsigned i = 0; i < datagrams_per_seed; ++i)
      check_datagram(mutated_datagram(random), counts);
    unsigned total = counts.messages + counts.delivered;
    for (std::size_t i = 0; i < packet_fault_count; ++i)
    {
      total += counts.faults.at(i);
      const auto fault = static_cast<packet_fault>(i);
      // The end points verify the TCP checksum.
      const bool reachable = fault != packet_fault::bad_tcp_checksum;
      CHECK_EQUAL_TEXT(reachable, counts.faults.at(i) != 0, to_string(fault));
    }
    CHECK_EQUAL(datagrams_per_seed, total);
    CHECK_TRUE(counts.messages != 0 && counts.delivered != 0);
  }
}
