#ifndef TOUCANMILL_OBSERVE_LOG_LINE_HPP
#define TOUCANMILL_OBSERVE_LOG_LINE_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace toucanmill
{

/// Named values of a log line, in the order in which they are written.
class log_fields
{
public:
  log_fields& add(std::string_view key, std::string_view value);
  log_fields& add(std::string_view key, std::int64_t value);

  /// "key=value key=\"value with spaces\"", as logfmt.
  const std::string& text() const
  {
    return text_;
  }

private:
  std::string text_;
};

/// A value as logfmt writes it: quoted and escaped where it must be.
std::string logfmt_value(std::string_view value);

} // namespace toucanmill

#endif
