#ifndef TOUCANMILL_BASE_ADDRESS_HPP
#define TOUCANMILL_BASE_ADDRESS_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

#include <toucanmill/base/outcome.hpp>

namespace toucanmill
{

/// IPv4 address in host byte order.
struct ipv4_address
{
  std::uint32_t value = 0;

  bool operator==(ipv4_address other) const
  {
    return value == other.value;
  }
  bool operator!=(ipv4_address other) const
  {
    return value != other.value;
  }
  bool operator<(ipv4_address other) const
  {
    return value < other.value;
  }
};

/// Address and port of a TCP or UDP socket, both in host byte order.
struct endpoint
{
  ipv4_address address;
  std::uint16_t port = 0;

  bool operator==(const endpoint& other) const
  {
    return address == other.address && port == other.port;
  }
  bool operator!=(const endpoint& other) const
  {
    return !(*this == other);
  }
  bool operator<(const endpoint& other) const
  {
    return std::tie(address, port) < std::tie(other.address, other.port);
  }
};

/// Parses dotted-quad notation, for example "203.0.113.10".
result<ipv4_address> parse_ipv4_address(std::string_view text);

/// Parses "address:port"; the port is 1 to 65535.
result<endpoint> parse_endpoint(std::string_view text);

std::string to_string(ipv4_address address);
std::string to_string(const endpoint& value);

} // namespace toucanmill

#endif
