#include "status_json.hpp"

#include <fmt/format.h>

namespace toucanmill::static_path
{

namespace
{

struct field
{
  const char* name;
  std::uint64_t agent_counts::*member;
};

constexpr field fields[] = {
    {"unstamped", &agent_counts::unstamped},
    {"delivered", &agent_counts::delivered},
    {"passed_on", &agent_counts::passed_on},
    {"resets", &agent_counts::resets},
    {"new_flows", &agent_counts::new_flows},
    {"replies", &agent_counts::replies},
    {"unroutable", &agent_counts::unroutable},
    {"unsent", &agent_counts::unsent},
    {"silent_flows", &agent_counts::silent_flows},
    {"reset_by_caller", &agent_counts::reset_by_caller},
    {"interrupted", &agent_counts::interrupted},
};

template <class Reason, class Counts>
std::string by_reason(const Counts& counts)
{
  std::string text;
  for (std::size_t i = 0; i < counts.size(); ++i)
    if (counts[i] != 0)
      text += fmt::format("{}\"{}\": {}", text.empty() ? "" : ", ",
                          to_string(static_cast<Reason>(i)), counts[i]);
  return "{" + text + "}";
}

} // namespace

std::string to_json(const agent_status& status)
{
  const auto& counts = status.counts;
  std::string text = "{";
  for (const auto& [name, member] : fields)
    text += fmt::format("\"{}\": {}, ", name, counts.*member);
  text +=
      fmt::format("\"open_flows\": {}, \"busy_sessions\": {}, "
                  "\"slots_in_use\": {}, \"queue_length\": {}, "
                  "\"held_buckets\": {}, ",
                  status.open_flows, status.busy_sessions, status.slots_in_use,
                  status.queue_length, status.held_buckets.size());
  return text + fmt::format("\"drops\": {}, \"faults\": {}, \"requests\": {}}}",
                            by_reason<dispatch_drop>(counts.drops),
                            by_reason<packet_fault>(counts.faults),
                            by_reason<request_event>(counts.requests));
}

} // namespace toucanmill::static_path
