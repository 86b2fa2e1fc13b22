#ifndef TOUCANMILL_CLUSTER_TEXT_HPP
#define TOUCANMILL_CLUSTER_TEXT_HPP

#include <string>

#include <capnp/blob.h>

namespace toucanmill::detail
{

/// Copies the whole text, with any NUL inside, so that validation sees it.
inline std::string text(capnp::Text::Reader value)
{
  return {value.begin(), value.size()};
}

} // namespace toucanmill::detail

#endif
