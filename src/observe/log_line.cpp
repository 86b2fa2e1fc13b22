#include <toucanmill/observe/log_line.hpp>

#include <algorithm>

namespace toucanmill
{

namespace
{

bool is_plain(char c)
{
  return c > ' ' && c < 0x7F && c != '"' && c != '=' && c != '\\';
}

} // namespace

std::string logfmt_value(std::string_view value)
{
  if (!value.empty() && std::all_of(value.begin(), value.end(), is_plain))
    return std::string(value);
  std::string out = "\"";
  for (const char c : value)
  {
    if (c == '"' || c == '\\')
      out += '\\';
    // A line break would split one event into two lines.
    out += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
  }
  return out + "\"";
}

log_fields& log_fields::add(std::string_view key, std::string_view value)
{
  if (!text_.empty())
    text_ += ' ';
  text_ += key;
  text_ += '=';
  text_ += logfmt_value(value);
  return *this;
}

log_fields& log_fields::add(std::string_view key, std::int64_t value)
{
  return add(key, std::to_string(value));
}

} // namespace toucanmill
