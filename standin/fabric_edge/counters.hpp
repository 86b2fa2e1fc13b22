#ifndef TOUCANMILL_FABRIC_EDGE_COUNTERS_HPP
#define TOUCANMILL_FABRIC_EDGE_COUNTERS_HPP

#include <cstdint>
#include <map>
#include <string>

#include <toucanmill/base/address.hpp>

namespace toucanmill::fabric_edge
{

struct counters
{
  std::uint64_t packets_sent = 0;
  std::uint64_t packets_received = 0;
  std::uint64_t packets_without_balancer = 0;
  std::uint64_t packets_malformed = 0;
  std::uint64_t duplicated = 0;
  std::uint64_t reordered = 0;
  std::uint64_t dropped = 0;
  std::uint64_t connections = 0;
  std::uint64_t connections_refused = 0; ///< ended before the handshake
  std::uint64_t connections_reset = 0;   ///< by the service, when established
  std::uint64_t connections_timed_out = 0;
  std::uint64_t connections_open = 0;
  std::map<endpoint, std::uint64_t> sent_to; ///< packets by balancer
};

/// One JSON object on one line.
std::string to_json(const counters& value);

} // namespace toucanmill::fabric_edge

#endif
