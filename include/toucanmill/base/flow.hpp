#ifndef TOUCANMILL_BASE_FLOW_HPP
#define TOUCANMILL_BASE_FLOW_HPP

#include <cstddef>
#include <functional>
#include <tuple>

#include <toucanmill/base/address.hpp>

namespace toucanmill
{

/// A TCP flow as the caller sees it; the protocol is always TCP.
struct flow_key
{
  endpoint caller;
  endpoint service;

  bool operator==(const flow_key& other) const
  {
    return caller == other.caller && service == other.service;
  }
  bool operator<(const flow_key& other) const
  {
    return std::tie(caller, service) < std::tie(other.caller, other.service);
  }
};

} // namespace toucanmill

template <>
struct std::hash<toucanmill::flow_key>
{
  std::size_t operator()(const toucanmill::flow_key& key) const
  {
    const auto pack = [](const toucanmill::endpoint& value)
    {
      return static_cast<std::size_t>(value.address.value) << 16 | value.port;
    };
    return pack(key.caller) * 0x9E3779B97F4A7C15ULL ^ pack(key.service);
  }
};

#endif
