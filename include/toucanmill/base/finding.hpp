#ifndef TOUCANMILL_BASE_FINDING_HPP
#define TOUCANMILL_BASE_FINDING_HPP

#include <string>
#include <vector>

namespace toucanmill
{

/// One problem in a file, with its place. Line and column count from 1; 0 means
/// unknown.
struct finding
{
  std::string file;
  unsigned line = 0;
  unsigned column = 0;
  std::string key;
  std::string message;

  bool operator==(const finding& other) const
  {
    return file == other.file && line == other.line && column == other.column &&
           key == other.key && message == other.message;
  }
};

using findings = std::vector<finding>;

/// "file:line:column: key: message".
std::string to_string(const finding& value);

} // namespace toucanmill

#endif
