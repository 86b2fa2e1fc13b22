#ifndef TOUCANMILL_SRC_DAEMON_SAMPLES_HPP
#define TOUCANMILL_SRC_DAEMON_SAMPLES_HPP

#include <cstdint>
#include <vector>

#include <toucanmill/observe/sample.hpp>

namespace toucanmill::daemon
{

/// Appends a counter without labels.
inline void add_counter(std::vector<sample>& out, const char* name,
                        const char* help, std::uint64_t value)
{
  out.push_back({name, help, true, static_cast<double>(value), {}});
}

/// Appends a gauge without labels.
inline void add_gauge(std::vector<sample>& out, const char* name,
                      const char* help, std::uint64_t value)
{
  out.push_back({name, help, false, static_cast<double>(value), {}});
}

/// Appends the counter of packets dropped for a reason.
inline void add_drop(std::vector<sample>& out, const char* reason,
                     std::uint64_t value)
{
  out.push_back({"toucanmill_drops_total",
                 "Packets dropped, by reason.",
                 true,
                 static_cast<double>(value),
                 {{"reason", reason}}});
}

} // namespace toucanmill::daemon

#endif
