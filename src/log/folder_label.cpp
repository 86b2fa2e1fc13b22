#include "folder_label.hpp"

#include <charconv>
#include <string_view>

namespace toucanmill::log_detail
{

namespace
{

constexpr std::string_view format_prefix = "format ";

/// Moves a number and the newline behind it out of `text`.
template <class Number>
bool take_line(std::string_view& text, Number& value)
{
  const auto* const last = text.data() + text.size();
  const auto [end, code] = std::from_chars(text.data(), last, value);
  if (code != std::errc{} || end == last || *end != '\n')
    return false;
  text.remove_prefix(static_cast<std::size_t>(end - text.data()) + 1);
  return true;
}

} // namespace

std::string to_text(const folder_label& label)
{
  auto text = to_string(label.replica) + "\n";
  if (label.format != first_format_version)
    text += std::string(format_prefix) + std::to_string(label.format) + "\n";
  return text;
}

result<folder_label> parse_folder_label(const std::string& path,
                                        const std::string& content)
{
  folder_label label;
  std::string_view text = content;
  if (!take_line(text, label.replica.value))
    return error{error_code::corrupt_data,
                 path + ": not a decimal replica id followed by a newline"};
  unsigned format = first_format_version;
  if (!text.empty())
  {
    const bool prefixed = text.substr(0, format_prefix.size()) == format_prefix;
    text.remove_prefix(prefixed ? format_prefix.size() : 0);
    if (!prefixed || !take_line(text, format) || !text.empty())
      return error{error_code::corrupt_data,
                   path + ": unknown text after the replica id"};
  }
  if (format > this_build().newest || format < this_build().oldest)
    return error{error_code::corrupt_data,
                 path + ": the folder needs format version " +
                     std::to_string(format) + "; this is " +
                     to_string(this_build()) + "; nothing was changed"};
  label.format = static_cast<format_version>(format);
  return label;
}

} // namespace toucanmill::log_detail
