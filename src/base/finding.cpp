#include <toucanmill/base/finding.hpp>

namespace toucanmill
{

std::string to_string(const finding& value)
{
  std::string text = value.file;
  if (value.line != 0)
    text +=
        ":" + std::to_string(value.line) + ":" + std::to_string(value.column);
  text += ": ";
  if (!value.key.empty())
    text += value.key + ": ";
  return text + value.message;
}

} // namespace toucanmill
