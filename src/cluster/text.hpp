#ifndef TOUCANMILL_CLUSTER_TEXT_HPP
#define TOUCANMILL_CLUSTER_TEXT_HPP

#include <string>

#include <capnp/blob.h>

namespace toucanmill::detail
{

/// Copies the whole text, including embedded NULs, so that validation sees
/// them.
inline std::string copy_text(capnp::Text::Reader value)
{
  return {value.begin(), value.size()};
}

} // namespace toucanmill::detail

#endif
