#include <toucanmill/base/address.hpp>

#include <arpa/inet.h>

#include <charconv>

namespace toucanmill
{

result<ipv4_address> parse_ipv4_address(std::string_view text)
{
  in_addr parsed{};
  if (inet_pton(AF_INET, std::string(text).c_str(), &parsed) != 1)
    return error{error_code::invalid_argument,
                 "\"" + std::string(text) + "\" is not an IPv4 address"};
  return ipv4_address{ntohl(parsed.s_addr)};
}

result<endpoint> parse_endpoint(std::string_view text)
{
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return error{error_code::invalid_argument,
                 "\"" + std::string(text) + "\" has no port"};
  BOOST_OUTCOME_TRY(address, parse_ipv4_address(text.substr(0, colon)));
  const auto digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, status] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (status != std::errc{} || end != digits.data() + digits.size() ||
      port == 0)
    return error{error_code::invalid_argument,
                 "\"" + std::string(text) + "\" has no port from 1 to 65535"};
  return endpoint{address, port};
}

std::string to_string(ipv4_address address)
{
  const in_addr raw{htonl(address.value)};
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &raw, text, sizeof text);
  return text;
}

std::string to_string(const endpoint& value)
{
  return to_string(value.address) + ":" + std::to_string(value.port);
}

} // namespace toucanmill
