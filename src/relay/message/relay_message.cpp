#include <toucanmill/relay/relay_message.hpp>

#include <algorithm>

#include <boost/endian/conversion.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace toucanmill
{

namespace
{

constexpr std::uint8_t message_format = 4;
constexpr std::size_t endpoint_size = 6;
constexpr std::size_t checksum_size = 4;
constexpr std::size_t fixed_header_size = 48;
constexpr std::uint8_t remembered_bit = 1;
constexpr std::uint8_t inconclusive_bit = 2;
constexpr std::uint8_t probe_bit = 4;
constexpr std::uint8_t locates_bit = 8;
constexpr std::uint8_t final_stop_bit = 16;

std::uint8_t* store(std::uint8_t* to, const endpoint& value)
{
  boost::endian::store_big_u32(to, value.address.value);
  boost::endian::store_big_u16(to + 4, value.port);
  return to + endpoint_size;
}

endpoint load_endpoint(const std::uint8_t* from)
{
  return {{boost::endian::load_big_u32(from)},
          boost::endian::load_big_u16(from + 4)};
}

// The 16-bit UDP checksum misses one corrupted datagram in 65,536, and agents
// would forward the packet to a corrupted stop.
std::uint32_t checksum_of(const std::uint8_t* header, std::size_t size)
{
  return static_cast<std::uint32_t>(
      XXH3_64bits(header + checksum_size, size - checksum_size));
}

bool has_known_kind_and_reason(const std::uint8_t* from)
{
  return from[5] >= static_cast<std::uint8_t>(relay_kind::visit) &&
         from[5] <= static_cast<std::uint8_t>(relay_kind::missed) &&
         from[6] < miss_reason_count;
}

/// Includes the number of stops, but not their addresses.
void load_fixed_header(const std::uint8_t* from, relay_header& header)
{
  header.kind = static_cast<relay_kind>(from[5]);
  header.reason = static_cast<miss_reason>(from[6]);
  header.remembered = (from[7] & remembered_bit) != 0;
  header.inconclusive = (from[7] & inconclusive_bit) != 0;
  header.probe = (from[7] & probe_bit) != 0;
  header.locates = (from[7] & locates_bit) != 0;
  header.final_stop = (from[7] & final_stop_bit) != 0;
  header.stage = from[8];
  header.stop = from[9];
  header.undecided = boost::endian::load_big_u16(from + 10);
  header.service = boost::endian::load_big_u64(from + 12);
  header.configuration = boost::endian::load_big_u64(from + 20);
  header.balancer = load_endpoint(from + 28);
  header.table = boost::endian::load_big_u64(from + 36);
  header.stops.size = from[34];
  header.plan = from[35];
  header.near_stops = from[44];
  header.best_stop = from[45];
  header.best_wait_ms = boost::endian::load_big_u16(from + 46);
}

/// Each index of a stop, and the number of near stops, is within the stops.
bool has_valid_positions(const relay_header& header)
{
  const auto count = header.stops.size;
  if (header.kind == relay_kind::visit && header.stop >= count)
    return false;
  return header.near_stops <= count &&
         (header.best_stop == no_stop || header.best_stop < count) &&
         (!header.final_stop || header.best_stop == header.stop);
}

void load_stops(const std::uint8_t* from, visit_stops& stops)
{
  for (std::size_t i = 0; i < stops.size; ++i)
    stops.agents[i] = load_endpoint(from + i * endpoint_size);
}

} // namespace

service_key key_of_service(std::string_view name)
{
  return XXH3_64bits(name.data(), name.size());
}

bool visit_stops::add(const endpoint& agent)
{
  const auto end = agents.begin() + size;
  if (size == capacity || std::find(agents.begin(), end, agent) != end)
    return false;
  agents[size++] = agent;
  return true;
}

bool visit_stops::operator==(const visit_stops& other) const
{
  return size == other.size && std::equal(agents.begin(), agents.begin() + size,
                                          other.agents.begin());
}

bool relay_header::operator==(const relay_header& other) const
{
  return kind == other.kind && reason == other.reason &&
         remembered == other.remembered && inconclusive == other.inconclusive &&
         probe == other.probe && stage == other.stage && stop == other.stop &&
         plan == other.plan && locates == other.locates &&
         undecided == other.undecided && service == other.service &&
         configuration == other.configuration && table == other.table &&
         balancer == other.balancer && stops == other.stops &&
         near_stops == other.near_stops && best_stop == other.best_stop &&
         best_wait_ms == other.best_wait_ms && final_stop == other.final_stop;
}

const char* to_string(miss_reason reason)
{
  switch (reason)
  {
  case miss_reason::unknown_flow:
    return "unknown_flow";
  case miss_reason::refused:
    return "refused";
  case miss_reason::other_service:
    return "other_service";
  case miss_reason::route_replaced:
    return "route_replaced";
  }
  return "unknown";
}

encoded_relay_header encode(const relay_header& header)
{
  encoded_relay_header out;
  std::uint8_t* const to = out.bytes.data();
  to[4] = message_format;
  to[5] = static_cast<std::uint8_t>(header.kind);
  to[6] = static_cast<std::uint8_t>(header.reason);
  to[7] = static_cast<std::uint8_t>(
      (header.remembered ? remembered_bit : 0) |
      (header.inconclusive ? inconclusive_bit : 0) |
      (header.probe ? probe_bit : 0) | (header.locates ? locates_bit : 0) |
      (header.final_stop ? final_stop_bit : 0));
  to[8] = header.stage;
  to[9] = header.stop;
  boost::endian::store_big_u16(to + 10, header.undecided);
  boost::endian::store_big_u64(to + 12, header.service);
  boost::endian::store_big_u64(to + 20, header.configuration);
  store(to + 28, header.balancer);
  to[34] = header.stops.size;
  to[35] = header.plan;
  boost::endian::store_big_u64(to + 36, header.table);
  to[44] = header.near_stops;
  to[45] = header.best_stop;
  boost::endian::store_big_u16(to + 46, header.best_wait_ms);
  auto* at = to + fixed_header_size;
  for (std::size_t i = 0; i < header.stops.size; ++i)
    at = store(at, header.stops.agents[i]);
  out.size = static_cast<std::size_t>(at - to);
  boost::endian::store_big_u32(to, checksum_of(to, out.size));
  return out;
}

std::optional<relay_message> decode_relay_message(byte_view datagram)
{
  const auto* const from = datagram.data;
  if (datagram.size < fixed_header_size || from[4] != message_format ||
      from[34] > visit_stops::capacity)
    return std::nullopt;
  const std::size_t size = fixed_header_size + from[34] * endpoint_size;
  if (datagram.size < size ||
      boost::endian::load_big_u32(from) != checksum_of(from, size) ||
      !has_known_kind_and_reason(from))
    return std::nullopt;
  relay_message message;
  load_fixed_header(from, message.header);
  if (!has_valid_positions(message.header))
    return std::nullopt;
  load_stops(from + fixed_header_size, message.header.stops);
  message.packet = {from + size, datagram.size - size};
  return message;
}

encoded_flow encode(const flow_key& flow)
{
  encoded_flow out{};
  store(store(out.data(), flow.caller), flow.service);
  return out;
}

std::optional<flow_key> decode_flow(byte_view bytes)
{
  if (bytes.size != encoded_flow_size)
    return std::nullopt;
  return flow_key{load_endpoint(bytes.data),
                  load_endpoint(bytes.data + endpoint_size)};
}

} // namespace toucanmill
