#ifndef TOUCANMILL_SRC_RELAY_MESSAGE_RELAY_SAMPLES_TEST_HPP
#define TOUCANMILL_SRC_RELAY_MESSAGE_RELAY_SAMPLES_TEST_HPP

#include <map>
#include <string>

#include <toucanmill/relay/relay_message.hpp>

namespace toucanmill::relay_test
{

inline endpoint numbered_endpoint(std::uint32_t number)
{
  return {ipv4_address{0x0a000000U + number},
          static_cast<std::uint16_t>(8000 + number)};
}

inline relay_header header_with_stops(std::uint32_t stops)
{
  relay_header header;
  header.service = key_of_service("notes");
  header.configuration = 0x0123456789ABCDEF;
  header.table = 0xFEDCBA9876543210;
  header.balancer = numbered_endpoint(1);
  for (std::uint32_t i = 0; i < stops; ++i)
    header.stops.add(numbered_endpoint(i + 2));
  return header;
}

inline relay_header opening_header()
{
  auto header = header_with_stops(8);
  header.stage = 1;
  header.stop = 7;
  header.near_stops = 3;
  header.best_stop = 7;
  header.best_wait_ms = 513;
  header.final_stop = true;
  return header;
}

inline relay_header search_header()
{
  auto header = header_with_stops(visit_stops::capacity);
  header.remembered = true;
  header.probe = true;
  header.locates = true;
  header.stage = 5;
  header.stop = 11;
  header.plan = 201;
  header.undecided = 0x8421;
  return header;
}

inline relay_header found_header()
{
  auto header = header_with_stops(1);
  header.kind = relay_kind::found;
  header.plan = 4;
  return header;
}

inline relay_header missed_header(miss_reason reason)
{
  auto header = header_with_stops(2);
  header.kind = relay_kind::missed;
  header.reason = reason;
  header.inconclusive = reason == miss_reason::unknown_flow;
  header.stop = 1;
  return header;
}

/// One header of each kind and reason.
inline std::map<std::string, relay_header> sample_headers()
{
  std::map<std::string, relay_header> samples{{"visit", header_with_stops(3)},
                                              {"opening", opening_header()},
                                              {"search", search_header()},
                                              {"found", found_header()}};
  for (std::size_t i = 0; i < miss_reason_count; ++i)
  {
    const auto reason = static_cast<miss_reason>(i);
    samples[std::string("missed_") + to_string(reason)] = missed_header(reason);
  }
  return samples;
}

inline flow_key sample_flow()
{
  return {numbered_endpoint(70), numbered_endpoint(71)};
}

template <class Bytes>
std::string octets_of(const Bytes& bytes, std::size_t size)
{
  return {reinterpret_cast<const char*>(bytes.data()), size};
}

/// What this build writes.
inline std::map<std::string, std::string> encoded_samples()
{
  const auto flow = encode(sample_flow());
  std::map<std::string, std::string> encoded{
      {"flow", octets_of(flow, flow.size())}};
  for (const auto& [name, header] : sample_headers())
  {
    const auto bytes = encode(header);
    encoded[name] = octets_of(bytes.bytes, bytes.size);
  }
  return encoded;
}

} // namespace toucanmill::relay_test

#endif
