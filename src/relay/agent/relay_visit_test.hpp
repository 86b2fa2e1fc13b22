#ifndef TOUCANMILL_SRC_RELAY_RELAY_VISIT_TEST_HPP
#define TOUCANMILL_SRC_RELAY_RELAY_VISIT_TEST_HPP

#include "../relay_fixture_test.hpp"

namespace toucanmill::relay_test
{

/// `stops`: number of agents that the packet may visit; this one is `stop`.
inline relay_message visit(std::uint8_t stops = 1, std::uint8_t stop = 0)
{
  relay_message message;
  message.header.service = key_of_service("notes");
  message.header.configuration = 5;
  message.header.balancer = endpoint_at(1, 7720);
  for (std::uint8_t i = 0; i < stops; ++i)
    message.header.stops.add(endpoint_at(100U + i));
  message.header.stop = stop;
  return message;
}

} // namespace toucanmill::relay_test

#endif
