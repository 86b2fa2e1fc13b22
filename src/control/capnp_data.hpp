#ifndef TOUCANMILL_SRC_CONTROL_CAPNP_DATA_HPP
#define TOUCANMILL_SRC_CONTROL_CAPNP_DATA_HPP

#include <string>

#include <capnp/blob.h>

namespace toucanmill::detail
{

inline capnp::Data::Reader to_data(const std::string& bytes)
{
  return kj::StringPtr(bytes.c_str(), bytes.size()).asBytes();
}

inline std::string to_string(capnp::Data::Reader bytes)
{
  return std::string(bytes.asChars().begin(), bytes.size());
}

} // namespace toucanmill::detail

#endif
