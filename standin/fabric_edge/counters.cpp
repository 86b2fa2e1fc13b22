#include "counters.hpp"

#include <fmt/format.h>

namespace toucanmill::fabric_edge
{

namespace
{

struct field
{
  const char* name;
  std::uint64_t counters::*member;
};

constexpr field fields[] = {
    {"packets_sent", &counters::packets_sent},
    {"packets_received", &counters::packets_received},
    {"packets_without_balancer", &counters::packets_without_balancer},
    {"packets_malformed", &counters::packets_malformed},
    {"duplicated", &counters::duplicated},
    {"reordered", &counters::reordered},
    {"dropped", &counters::dropped},
    {"connections", &counters::connections},
    {"connections_refused", &counters::connections_refused},
    {"connections_reset", &counters::connections_reset},
    {"connections_timed_out", &counters::connections_timed_out},
    {"connections_open", &counters::connections_open},
};

} // namespace

std::string to_json(const counters& value)
{
  std::string text = "{";
  for (const auto& [name, member] : fields)
    text += fmt::format("\"{}\": {}, ", name, value.*member);
  text += fmt::format("\"connections_broken\": {}, \"balancers\": {{",
                      value.connections_reset + value.connections_timed_out);
  const char* separator = "";
  for (const auto& [balancer, packets] : value.sent_to)
  {
    text +=
        fmt::format("{}\"{}\": {}", separator, to_string(balancer), packets);
    separator = ", ";
  }
  return text + "}}";
}

} // namespace toucanmill::fabric_edge
